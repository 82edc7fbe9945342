"""Copies the site files of deploy/sites/ and the files of a site of the test kit into one folder.

    python benchmarks/sites.py KIT_FOLDER [INTO]

The operators' test bench runs the sites from that folder. KIT_FOLDER is the folder of a site of the test kit,
with wire.json, real.json and unlock.txt. INTO is the target folder, by default `found/sites` in the checkout,
which git ignores. Prints the path of each copied site file, one per line.
"""

import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
KIT_FILES = ("wire.json", "real.json", "unlock.txt")


def copy_sites(kit: Path, into: Path) -> list[Path]:
    """Copies the site files and the files of the test kit; replaces older copies.

    Returns:
        The paths of the copied site files.

    Raises:
        FileNotFoundError: A file of the test kit is missing.
    """
    into.mkdir(parents=True, exist_ok=True)
    for name in KIT_FILES:
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
        for each in copy_sites(Path(sys.argv[1]), into):
            print(each)
    except FileNotFoundError as error:
        print(f"sites: {error.filename} is missing", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
