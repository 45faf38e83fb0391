"""Selection of the peers that an entry instance connects to.

The instances are arranged in two rings, in the order of two hashes of their
ids, and each one is connected with its neighbours in both rings.
"""

from __future__ import annotations

from collections import abc
import functools
import hashlib

MAX_PEERS = 6
# Two successors in the first ring and one in the second give each instance
# three outgoing and three incoming links, which makes ``MAX_PEERS``.
_FIRST_RING_SUCCESSORS = 2
_RINGS = (b'gw-ring-1', b'gw-ring-2')


# Cached because the overlay is computed several times a second from all
# members, and hashing their ids would be most of the cost.
@functools.lru_cache(maxsize=4096)
def _position(ring: bytes, instance_id: str) -> bytes:
    return hashlib.blake2b(
        instance_id.encode(), digest_size=8, person=ring
    ).digest()


def _neighbours(
    ring: bytes, own_id: str, members: abc.Collection[str], distance: int
) -> set[str]:
    """Return the instances at most ``distance`` places away in a ring."""
    order = sorted(members, key=lambda each: _position(ring, each))
    here = order.index(own_id)
    steps = [step for step in range(-distance, distance + 1) if step]
    return {order[(here + step) % len(order)] for step in steps} - {own_id}


def choose_peers(own_id: str, others: abc.Collection[str]) -> frozenset[str]:
    """Return the peers of an instance.

    The choice is symmetric: two instances with the same view either both
    choose each other or neither does.

    :param others: the other instances that can be reached.
    :returns: at most ``MAX_PEERS`` of them.
    """
    members = {own_id, *others}
    near = _neighbours(_RINGS[0], own_id, members, _FIRST_RING_SUCCESSORS)
    far = _neighbours(_RINGS[1], own_id, members, 1)
    return frozenset(near | far)


def rendezvous(
    key: str, candidates: abc.Iterable[str], count: int
) -> list[str]:
    """Choose candidates for a key by rendezvous hashing.

    Adding or removing a candidate changes the choice for few keys.

    :param count: maximum number of candidates.
    :returns: the candidates with the highest hash of key and name, in
        descending order.
    """

    def weight(candidate: str) -> tuple[bytes, str]:
        digest = hashlib.blake2b(digest_size=8, person=b'gw-rendezvous')
        digest.update(len(key.encode()).to_bytes(4, 'big') + key.encode())
        digest.update(candidate.encode())
        return digest.digest(), candidate

    return sorted(candidates, key=weight, reverse=True)[:count]
