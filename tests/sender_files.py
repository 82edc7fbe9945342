"""Configuration files of a sender with a control plane, for tests."""

import base64
from pathlib import Path

KEY = bytes(32)
KEY_FILE = "control.key"
SENDER = """
name = "n1"
listen = "127.0.0.1:0"
[classes.c]
effect = "safe"
aim_ms = 4000
deadline_ms = 8000
[[endpoints]]
id = "own"
destination = 1
dial = "127.0.0.1:1"
"""
FLEET = """
[fleet]
listen = "127.0.0.1:0"
advertise = "127.0.0.1:1"
key_file = "control.key"
size = 1
"""


def nodes_line(ports: dict[str, int]) -> str:
    """Returns the `nodes` line of a sender's or a node's file for these ports by node name."""
    nodes = [f'{{ name = "{name}", address = "127.0.0.1:{port}" }}' for name, port in ports.items()]
    return f"nodes = [{', '.join(nodes)}]\n"


def control_section(ports: dict[str, int]) -> str:
    """Returns the `[control]` table of a sender for these ports of control nodes by name."""
    return f'\n[control]\n{nodes_line(ports)}key_file = "{KEY_FILE}"\nlisten = "127.0.0.1:0"\n'


def write_key(folder: Path) -> None:
    """Writes the key file that all control nodes and senders share."""
    key = folder / KEY_FILE
    key.write_text(base64.b64encode(KEY).decode())
    key.chmod(0o600)


def write_sender(folder: Path, text: str) -> Path:
    """Writes the key and the configuration file; returns the path of the configuration file."""
    write_key(folder)
    file = folder / "sender.toml"
    file.write_text(text)
    return file
