"""Selects the entry instances that callers should use."""

from __future__ import annotations

from collections import abc
import random

from godwitvalve.gossip import members as member_model

# Short, because a caller that uses the address of a dead entry loses a
# second.
ADDRESS_VALIDITY_S = 1.0
# Some callers cache an answer for three times its validity.
MAX_CACHE_FACTOR = 3.0
# How long other entries may still list one that has begun to leave.
LEAVING_PROPAGATION_S = 0.5


def choose_addresses(
    own_address: str | None,
    others: abc.Iterable[member_model.Record],
    rng: random.Random,
) -> list[str]:
    """Return the caller addresses of the serving entries, shuffled.

    Load pattern: entries are killed, partitioned or stopped one after the
    other; callers pick one address at random for each new connection.

    :param own_address: address of this entry, or None if it does not serve.
    """
    addresses = [
        record.caller_address
        for record in others
        if record.state == member_model.SERVING
    ]
    if own_address is not None:
        addresses.append(own_address)
    rng.shuffle(addresses)
    return addresses
