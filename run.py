"""Start spoolcourse from a checkout, with the dependencies built into target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from spoolcourse.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
