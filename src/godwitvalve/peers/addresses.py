"""Selection of the entry addresses that a client account should use."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.peers import membership
from godwitvalve.peers import overlay


class AddressAnswer(NamedTuple):
    """Entry addresses in order of preference.

    :param valid_until_wall_s: expiry time in Unix seconds.
    """

    addresses: tuple[str, ...]
    valid_until_wall_s: float


def addresses_for(
    client_account: str,
    members: abc.Iterable[membership.Member],
    count: int,
    now_wall_s: float,
    validity_s: float,
) -> AddressAnswer:
    """Choose entry addresses for a client account.

    :param count: maximum number of addresses.
    :param now_wall_s: current time in Unix seconds.
    :param validity_s: seconds for which callers may cache the answer.
    :returns: addresses of live members only; a change of one member
        changes at most one address.
    """
    by_id = {
        member.instance_id: member.address
        for member in members
        if member.state == membership.LIVE and member.address
    }
    chosen = overlay.rendezvous(client_account, by_id, count)
    return AddressAnswer(
        tuple(by_id[each] for each in chosen), now_wall_s + validity_s
    )
