"""Selection of the endpoints that one entry uses."""

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

    Each failure domain contributes its share of ``size``, so that the
    failure of a domain removes the same part of every entry's endpoints.
    Each endpoint of a domain is equally likely to be selected; the number
    of entries that select it varies as in independent draws.

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
    by_domain: dict[str, list[endpoint_model.Endpoint]] = {}
    for item in ranked:
        by_domain.setdefault(item.failure_domain, []).append(item)
    # The domains are ordered by their highest-ranked endpoint, which
    # differs between entries, so the remainder of size is spread evenly too.
    rounds = itertools.zip_longest(*by_domain.values())
    flat = (item for items in rounds for item in items if item is not None)
    return list(itertools.islice(flat, size))
