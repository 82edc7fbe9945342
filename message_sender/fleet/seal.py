"""What goes between senders is sealed with a key that all of them have; without it nobody learns or says a
thing.

A datagram is the version, a random nonce of 96 bits and what ChaCha20-Poly1305 makes of the rest (RFC 8439,
by the library `cryptography`). A key file has a 32-byte key in base64 a line: the first one seals, all of
them open, so that a fleet changes its key by adding the new one last everywhere, then moving it to the
front, then taking the old one out. With random nonces one key is good for 2^32 datagrams: a year at 100 a
second; then it is changed.
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
NONCE_BYTES, KEY_BYTES = 12, 32  # bytes
DATAGRAM_BYTES_MIN = len(VERSION) + NONCE_BYTES + 16
DATAGRAM_BYTES_LIMIT = 1400  # bytes of a datagram: below what any link carries whole


class RefusedError(ValueError):
    """A datagram that is not believed; the text says why."""


class KeyFileError(ValueError):
    """A key file that cannot be used; the text says why."""


def read_keys(path: Path) -> list[bytes]:
    """Raises KeyFileError, also for a file that others may read."""
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        lines = path.read_text("ascii").split()
    except (OSError, ValueError) as error:
        raise KeyFileError(f"{path}: {error}") from None
    if mode & 0o077:
        raise KeyFileError(f"{path}: others may read it (mode {mode:o}); it must be 600")
    if not lines:
        raise KeyFileError(f"{path}: it holds no key")
    return [decode_key(line, f"{path}: line {number}") for number, line in enumerate(lines, 1)]


def decode_key(line: str, where: str) -> bytes:
    try:
        key = base64.b64decode(line, validate=True)
    except binascii.Error as error:
        raise KeyFileError(f"{where}: no base64: {error}") from None
    if len(key) != KEY_BYTES:
        raise KeyFileError(f"{where}: a key of {len(key)} bytes; {KEY_BYTES} are wanted")
    return key


class Seal:
    def __init__(self, keys: Sequence[bytes], random: Callable[[int], bytes] = os.urandom) -> None:
        """`random` gives so many unpredictable bytes."""
        self.change(keys)
        self.random = random

    def change(self, keys: Sequence[bytes]) -> None:
        self.ciphers = [ChaCha20Poly1305(key) for key in keys]

    def seal(self, data: bytes) -> bytes:
        nonce = self.random(NONCE_BYTES)
        return VERSION + nonce + self.ciphers[0].encrypt(nonce, data, VERSION)

    def open(self, datagram: bytes) -> bytes:
        """Raises RefusedError."""
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
    """Takes the keys that the file holds now. One that cannot be used changes nothing, and the log says why
    with `part`, the name of who seals."""
    try:
        keys = read_keys(path)
    except KeyFileError as error:
        log.error("%s: the keys stay as they were: %s", part, error)
        return
    seal.change(keys)
    log.info("%s: %d keys from now on", part, len(keys))
