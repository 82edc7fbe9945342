"""A small file that is replaced in one step."""

import json
import os
from pathlib import Path


def replace_json(path: Path, told: object, sync: bool) -> None:
    """A file with this in it in place of the one before; `sync`: on the disk before that. Raises OSError;
    then the file is as it was."""
    fresh = path.with_name(path.name + ".new")
    try:
        with fresh.open("w") as out:
            json.dump(told, out, separators=(",", ":"))
            if sync:
                out.flush()
                os.fsync(out.fileno())
        os.replace(fresh, path)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
