"""Entry point of the scale tests: `./with-env python benchmarks/scale.py [DIMENSION ...]`; all by default."""

import sys
from pathlib import Path

sys.path[0] = str(Path(__file__).resolve().parent.parent)

from benchmarks.scale.command import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
