"""Lays out the site files of deploy/sites/ for a run of the bench, and what the kit provides beside them.

    python benchmarks/sites.py KIT_FOLDER [INTO]

KIT_FOLDER is where the kit keeps a site of its own (with wire.json, real.json and unlock.txt); INTO is where
to, `found/sites` in the checkout by default, which git ignores. Prints the path of each site, one a line.
"""

import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
PROVIDED = ("wire.json", "real.json", "unlock.txt")


def lay_out(kit: Path, into: Path) -> list[Path]:
    """Raises FileNotFoundError where the kit lacks one of what is provided."""
    into.mkdir(parents=True, exist_ok=True)
    for name in PROVIDED:
        (into / name).unlink(missing_ok=True)
        shutil.copyfile(kit / name, into / name)
    sites = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
    return [Path(shutil.copyfile(each, into / each.name)) for each in sites]


def main() -> int:
    if len(sys.argv) not in (2, 3):
        print(__doc__, file=sys.stderr)
        return 2
    into = Path(sys.argv[2]) if len(sys.argv) == 3 else ROOT / "found" / "sites"
    try:
        for each in lay_out(Path(sys.argv[1]), into):
            print(each)
    except FileNotFoundError as error:
        print(f"sites: {error.filename} is missing", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
