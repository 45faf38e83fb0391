"""Stable choice of a version for one request."""

from __future__ import annotations

import hashlib

from godwitvalve.moves import move

_POINTS = 1 << 64


def request_hash(client_account: str, request_key: bytes) -> int:
    """Return a hash that is the same for each retry of a request.

    :param request_key: idempotency key, or digest of the request.
    """
    joined = client_account.encode() + b'\0' + request_key
    digest = hashlib.blake2b(joined, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def choose_version(moving: move.Move, share: float, hash_value: int) -> str:
    """Return the version that serves a request.

    The request's point on the line depends on the move as well, so that
    the first requests of each move differ. A share that grows keeps the
    requests that it already had.

    :param share: part of the traffic for the new version, 0 to 1.
    :param hash_value: 64-bit hash from :func:`request_hash`.
    """
    key = hash_value.to_bytes(8, 'big')
    salted = key + moving.move_id.encode()
    point_digest = hashlib.blake2b(salted, digest_size=8).digest()
    point = int.from_bytes(point_digest, 'big') / _POINTS
    return moving.new_version if point < share else moving.old_version
