"""Seals the datagrams between senders and control nodes with keys that all of them have.

A datagram is the version, a random nonce of 96 bits and the output of ChaCha20-Poly1305 for the rest (RFC
8439, by the library `cryptography`). A key file has one 32-byte key in base64 per line: the first one seals,
all of them open. To change the key of a fleet, add the new one last on every member, then move it to the
front, then remove the old one. With random nonces one key is good for 2^32 datagrams, a year at 100 per
second; then it must be changed.
"""

import base64
import binascii
import logging
import os
import stat
from collections.abc import Callable, Sequence
from pathlib import Path

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305

log = logging.getLogger(__name__)

VERSION = b"EL1"
NONCE_BYTES = 12
KEY_BYTES = 32
TAG_BYTES = 16
DATAGRAM_BYTES_MIN = len(VERSION) + NONCE_BYTES + TAG_BYTES
DATAGRAM_BYTES_LIMIT = 1400  # fits the MTU of any link
KEY_FILE_FORBIDDEN_MODE = 0o077  # group and others


class RefusedError(ValueError):
    """A datagram that is not accepted; the text gives the reason."""


class KeyFileError(ValueError):
    """A key file that cannot be used; the text gives the reason."""


def read_keys(path: Path) -> list[bytes]:
    """Reads a key file.

    Raises:
        KeyFileError: If it cannot be read, has no valid keys, or other users may read it.
    """
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        lines = path.read_text("ascii").split()
    except (OSError, ValueError) as error:
        raise KeyFileError(f"{path}: {error}") from None
    if mode & KEY_FILE_FORBIDDEN_MODE:
        raise KeyFileError(f"{path}: others may read it (mode {mode:o}); it must be 600")
    if not lines:
        raise KeyFileError(f"{path}: it holds no key")
    return [decode_key(line, f"{path}: line {number}") for number, line in enumerate(lines, 1)]


def decode_key(line: str, where: str) -> bytes:
    """Decodes one line of a key file; `where` begins the text of an error.

    Raises:
        KeyFileError: If it is not a key.
    """
    try:
        key = base64.b64decode(line, validate=True)
    except binascii.Error as error:
        raise KeyFileError(f"{where}: no base64: {error}") from None
    if len(key) != KEY_BYTES:
        raise KeyFileError(f"{where}: a key of {len(key)} bytes; {KEY_BYTES} are wanted")
    return key


class Seal:
    """Seals and opens datagrams."""

    def __init__(self, keys: Sequence[bytes], random: Callable[[int], bytes] = os.urandom) -> None:
        """Creates a seal.

        Args:
            keys: The keys; the first one seals.
            random: Returns that many unpredictable bytes.
        """
        self.set_keys(keys)
        self.random = random

    def set_keys(self, keys: Sequence[bytes]) -> None:
        """Replaces the keys; the first one seals."""
        self.ciphers = [ChaCha20Poly1305(key) for key in keys]

    def seal(self, data: bytes) -> bytes:
        """Returns the datagram with this content."""
        nonce = self.random(NONCE_BYTES)
        return VERSION + nonce + self.ciphers[0].encrypt(nonce, data, VERSION)

    def open(self, datagram: bytes) -> bytes:
        """Returns the content of a datagram.

        Raises:
            RefusedError: If it was not sealed with one of the keys, or changed.
        """
        if len(datagram) > DATAGRAM_BYTES_LIMIT:
            raise RefusedError(f"a datagram of {len(datagram)} bytes; {DATAGRAM_BYTES_LIMIT} at the most")
        if len(datagram) < DATAGRAM_BYTES_MIN:
            raise RefusedError(f"a datagram of {len(datagram)} bytes is cut short")
        if not datagram.startswith(VERSION):
            raise RefusedError(f"another version: {datagram[: len(VERSION)]!r}")
        nonce = datagram[len(VERSION) : len(VERSION) + NONCE_BYTES]
        for cipher in self.ciphers:
            try:
                return cipher.decrypt(nonce, datagram[len(VERSION) + NONCE_BYTES :], VERSION)
            except InvalidTag:
                continue
        raise RefusedError("sealed with another key, or changed on its way")


def reread_keys(seal: Seal, path: Path, part: str) -> None:
    """Sets the keys that the file has now; if it cannot be used, logs the reason and changes nothing.

    Args:
        seal: The seal to change.
        path: The key file.
        part: The component that uses the seal, for the log.
    """
    try:
        keys = read_keys(path)
    except KeyFileError as error:
        log.error("%s: key file refused, keys unchanged: error=%s", part, error)
        return
    seal.set_keys(keys)
    log.info("%s: keys replaced: count=%d", part, len(keys))
