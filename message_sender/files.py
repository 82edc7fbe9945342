"""Atomic replacement of small files."""

import json
import os
from pathlib import Path


def replace_json(path: Path, content: object, sync: bool) -> None:
    """Writes a JSON file and atomically replaces the file at `path` with it.

    Args:
        path: The file to replace; the content is first written to a file of this name with the suffix `.new`.
        content: An object that `json.dump` can serialize.
        sync: Whether the content is synced to disk before the file is replaced.

    Raises:
        OSError: The file could not be written; the file at `path` is unchanged.
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
