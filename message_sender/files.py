"""Atomic replacement of small files."""

import json
import os
from pathlib import Path


def replace_json(path: Path, content: object, sync: bool) -> None:
    """Writes a JSON file that takes the place of the one at `path` in one step.

    Args:
        path: The file to replace; a file of that name with `.new` behind it is written first.
        content: What `json.dump` can write.
        sync: Whether the content is on the disk before the file is replaced.

    Raises:
        OSError: The file could not be written; the one at `path` is as it was.
    """
    new_path = path.with_name(path.name + ".new")
    try:
        with new_path.open("w") as file:
            json.dump(content, file, separators=(",", ":"))
            if sync:
                file.flush()
                os.fsync(file.fileno())
        os.replace(new_path, path)
    except OSError:
        new_path.unlink(missing_ok=True)
        raise
