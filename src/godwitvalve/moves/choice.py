"""Deterministic choice of a version for a request."""

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

    The request is hashed together with the move, so that the first requests
    to reach a new version differ from move to move. A request that goes to
    the new version still does so when the share grows.

    :param share: share of the traffic for the new version, 0 to 1.
    :param hash_value: 64-bit hash from :func:`request_hash`.
    """
    key = hash_value.to_bytes(8, 'big')
    salted = key + moving.move_id.encode()
    point_digest = hashlib.blake2b(salted, digest_size=8).digest()
    point = int.from_bytes(point_digest, 'big') / _POINTS
    return moving.new_version if point < share else moving.old_version
