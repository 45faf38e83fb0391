"""Rolling digest over token ids."""

from __future__ import annotations

from collections import abc
import hashlib

DIGEST_BYTES = 16
EMPTY = bytes(DIGEST_BYTES)


def extend(digest: bytes, token_ids: abc.Iterable[int]) -> bytes:
    """Return the digest of a sequence extended by more tokens.

    The digest does not depend on how the sequence is split into calls: it
    is a BLAKE2b-128 hash chain with one link per token.

    :param digest: digest of the sequence so far, or :data:`EMPTY`.
    :param token_ids: ids that follow, each of at most 4 bytes.
    """
    blake2b = hashlib.blake2b
    for token in token_ids:
        digest = blake2b(
            digest + token.to_bytes(4, 'little'), digest_size=DIGEST_BYTES
        ).digest()
    return digest


def digest_of(token_ids: abc.Iterable[int]) -> bytes:
    """Return the digest of a complete sequence."""
    return extend(EMPTY, token_ids)
