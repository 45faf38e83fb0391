"""Rolling digest over token ids."""

from __future__ import annotations

from collections import abc
import hashlib

DIGEST_BYTES = 16
EMPTY = bytes(DIGEST_BYTES)


def extend(digest: bytes, token_ids: abc.Iterable[int]) -> bytes:
    """Return the digest of a longer sequence.

    The digest of a sequence does not depend on how it was cut into calls:
    it is a BLAKE2b-128 chain with one link for each token.

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
    """Return the digest of a whole sequence."""
    return extend(EMPTY, token_ids)
