"""Encrypts and authenticates the datagrams between senders and control nodes with shared keys.

A datagram consists of the version, a random 96-bit nonce and the ChaCha20-Poly1305 ciphertext of the content
(RFC 8439, from the library `cryptography`). A key file has one base64-encoded 32-byte key per line: the first
key seals, all keys open. To rotate the key of a fleet, append the new key on every member, then move it to
the first line on every member, then remove the old key. With random nonces a key may seal at most 2^32
datagrams, a year at 100 per second; then it must be rotated.
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
DATAGRAM_BYTES_LIMIT = 1400  # fits the MTU of any network link
KEY_FILE_FORBIDDEN_MODE = 0o077  # any permission of group or others


class RefusedError(ValueError):
    """A datagram is rejected; the text gives the reason."""


class KeyFileError(ValueError):
    """A key file cannot be used; the text gives the reason."""


def read_keys(path: Path) -> list[bytes]:
    """Reads a key file.

    Raises:
        KeyFileError: If the file cannot be read, has no valid keys, or other users have access to it.
    """
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        lines = path.read_text("ascii").split()
    except (OSError, ValueError) as error:
        raise KeyFileError(f"{path}: {error}") from None
    if mode & KEY_FILE_FORBIDDEN_MODE:
        raise KeyFileError(f"{path}: file mode must deny access to group and others (600), not {mode:o}")
    if not lines:
        raise KeyFileError(f"{path}: expected at least one key, found none")
    return [decode_key(line, f"{path}: line {number}") for number, line in enumerate(lines, 1)]


def decode_key(line: str, where: str) -> bytes:
    """Decodes one line of a key file; `where` is the prefix of error texts.

    Raises:
        KeyFileError: If the line is not a base64-encoded key of 32 bytes.
    """
    try:
        key = base64.b64decode(line, validate=True)
    except binascii.Error as error:
        raise KeyFileError(f"{where}: invalid base64: {error}") from None
    if len(key) != KEY_BYTES:
        raise KeyFileError(f"{where}: expected a key of {KEY_BYTES} bytes, got {len(key)} bytes")
    return key


class Seal:
    """Encrypts (seals) and decrypts (opens) datagrams."""

    def __init__(self, keys: Sequence[bytes], random: Callable[[int], bytes] = os.urandom) -> None:
        """Creates a seal.

        Args:
            keys: The keys; the first one seals, all of them open.
            random: Returns the given number of unpredictable bytes.
        """
        self.set_keys(keys)
        self.random = random

    def set_keys(self, keys: Sequence[bytes]) -> None:
        """Replaces the keys; the first one seals, all of them open."""
        self.ciphers = [ChaCha20Poly1305(key) for key in keys]

    def seal(self, data: bytes) -> bytes:
        """Returns the sealed datagram for the given content."""
        nonce = self.random(NONCE_BYTES)
        return VERSION + nonce + self.ciphers[0].encrypt(nonce, data, VERSION)

    def open(self, datagram: bytes) -> bytes:
        """Returns the content of a datagram.

        Raises:
            RefusedError: If the datagram has a wrong size or version, was not sealed with one of the keys, or
                was modified.
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


def reload_keys(seal: Seal, path: Path, component: str) -> None:
    """Reloads the keys from the file; if it cannot be used, logs the reason and keeps the current keys.

    Args:
        seal: The seal to change.
        path: The key file.
        component: The component that uses the seal, for the log.
    """
    try:
        keys = read_keys(path)
    except KeyFileError as error:
        log.error("%s: key file refused, keys unchanged: error=%s", component, error)
        return
    seal.set_keys(keys)
    log.info("%s: keys replaced: count=%d", component, len(keys))
