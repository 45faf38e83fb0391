"""Choice of the endpoints that one entry keeps in touch with."""

from __future__ import annotations

from collections import abc
import hashlib
import itertools

from godwitvalve.routing import endpoint as endpoint_model


def score(entry_id: str, endpoint_id: str) -> int:
    """Return the rendezvous score of a pair, a number below 2**64."""
    text = f'{entry_id}\0{endpoint_id}'.encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest)


def subset(
    entry_id: str,
    endpoints: abc.Iterable[endpoint_model.Endpoint],
    size: int,
) -> list[endpoint_model.Endpoint]:
    """Return the endpoints that an entry uses, by rendezvous hashing.

    Each failure domain gives its share of ``size``, so that a dead domain
    takes the same part of every entry's endpoints. Each endpoint of a
    domain is equally likely to be taken; the number of entries that take
    it varies as in independent draws.

    :param endpoints: endpoints of one service version.
    :param size: number of endpoints wanted.
    """
    ranked = sorted(
        endpoints,
        key=lambda item: score(entry_id, item.endpoint_id),
        reverse=True,
    )
    if len(ranked) <= size:
        return ranked
    queues: dict[str, list[endpoint_model.Endpoint]] = {}
    for item in ranked:
        queues.setdefault(item.failure_domain, []).append(item)
    # The domains come in the order of their best endpoint, which differs
    # from entry to entry; so the remainder of size is spread evenly too.
    rounds = itertools.zip_longest(*queues.values())
    flat = (item for items in rounds for item in items if item is not None)
    return list(itertools.islice(flat, size))
