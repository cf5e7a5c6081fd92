"""Start spoolcourse from a checkout, with the dependencies built into target/deps.

The deployment's build puts a compiled copy of the package into target/app, because a
controller that restarts while leases expire has no time to compile. An outdated copy, as
in a development checkout, is ignored.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
COMPILED_APP = ROOT / "target" / "app"


def is_compiled_app_current() -> bool:
    """Whether the compiled copy is newer than every source."""
    try:
        built_at = (COMPILED_APP / "built").stat().st_mtime
        return all(p.stat().st_mtime <= built_at for p in (ROOT / "spoolcourse").rglob("*.py"))
    except OSError:
        return False


sys.path[:0] = [
    str(COMPILED_APP if is_compiled_app_current() else ROOT),
    str(ROOT / "target" / "deps"),
]

from spoolcourse.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
