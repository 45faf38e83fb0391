"""Compresses what entries send to each other."""

from __future__ import annotations

import functools
import zlib

from godwitvalve.platform import bodies

# Parameter by which an entry asks for compressed contents. Entries of
# earlier versions neither ask for them nor send them.
PARAMETER = 'compressed'
# Rows of endpoints take some 300 bytes, of which little would be saved.
MIN_BYTES = 4096
# Higher levels take three times as long and save 2 % more.
LEVEL = 1
# Each entry of a failure domain reads the newest configuration once.
CACHED_CONTENTS = 2


class InvalidCompression(Exception):
    """The content is damaged or expands beyond ``bodies.MAX_BODY_BYTES``."""


@functools.lru_cache(maxsize=CACHED_CONTENTS)
def compress(content: bytes) -> bytes:
    """Return the compressed content."""
    return zlib.compress(content, LEVEL)


def decompress(content: bytes) -> bytes:
    """Return the content that was compressed.

    :raises InvalidCompression: if it is damaged or too large.
    """
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(content, bodies.MAX_BODY_BYTES)
    except zlib.error as error:
        raise InvalidCompression(str(error)) from error
    if not expander.eof:
        raise InvalidCompression('incomplete or too large')
    return expanded
