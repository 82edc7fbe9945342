"""The work for an endpoint list is in proportion to its size, however it is laid out."""

import json

from peers import host


def list_text(entries: int, indent: int | None = None) -> str:
    """A complete list, which ends with its line."""
    hosts = [host(f"127.1.{each >> 8}.{each & 255}:3000", f"s-{each}") for each in range(entries)]
    return json.dumps({"seq": 42, "whole": True, "hosts": hosts}, indent=indent) + "\n"
