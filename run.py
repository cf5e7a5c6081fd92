"""Start spoolcourse from a checkout, with the dependencies built into target/deps.

The deployment's build puts a compiled copy of the package into target/app: a controller
that is started again while leases run out has no time to compile. An outdated copy, as in
a checkout that is being worked on, is passed over.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
APP = ROOT / "target" / "app"


def up_to_date() -> bool:
    """Whether the compiled copy is newer than every source."""
    try:
        built = (APP / "built").stat().st_mtime
        return all(p.stat().st_mtime <= built for p in (ROOT / "spoolcourse").rglob("*.py"))
    except OSError:
        return False


sys.path[:0] = [str(APP if up_to_date() else ROOT), str(ROOT / "target" / "deps")]

from spoolcourse.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
