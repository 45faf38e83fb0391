"""Limits of a client account and messages between entries about them."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple


class AccountLimit(NamedTuple):
    """Limit of one client account over all entries together.

    :param priority: weight in fair admission, at least 1.
    """

    requests_per_s: float
    tokens_per_s: float
    concurrent: int
    priority: int = 1


class Grant(NamedTuple):
    """Part of a limit that one entry lends to another.

    The borrower counts the lease from the moment it sent the report that
    ``borrower_sequence`` names, which lies before the grant was made.
    """

    client_account: str
    borrower: str
    borrower_incarnation: int
    borrower_sequence: int
    fraction: float


class AccountDemand(NamedTuple):
    """Demand of one account at one entry.

    :param demand: offered load as a fraction of the account's limit.
    :param in_use: part of the concurrency limit that is in flight.
    """

    client_account: str
    demand: float
    in_use: float = 0.0


class AccountUse(NamedTuple):
    """What an entry's own limiter knows of one account.

    :param units: concurrency limit, which is only usable in whole units.
    """

    in_use: float
    units: int


class Acknowledgement(NamedTuple):
    """Newest report of a listed entry that the sender has heard."""

    entry_id: str
    incarnation: int
    sequence: int


class DemandReport(NamedTuple):
    """What an entry tells the others.

    :param members_digest: digest of the listed entries that the sender
        has made room for.
    :param counted: entries among which the sender splits limits.
    :param active: whether the sender uses a base share.
    :param acknowledgements: newest reports of the listed entries that
        want acknowledgements.
    :param wants_acknowledgements: whether the sender needs
        acknowledgements, because it does not use a base share yet or has
        not read the list lately.
    """

    origin: str
    incarnation: int
    sequence: int
    members_digest: bytes
    counted: int
    active: bool
    acknowledgements: tuple[Acknowledgement, ...]
    demands: tuple[AccountDemand, ...]
    grants: tuple[Grant, ...]
    wants_acknowledgements: bool = True


def report_from_wire(fields: abc.Sequence[object]) -> DemandReport:
    """Rebuild a report from the plain sequences that msgpack returns.

    :raises ValueError: if the fields have another shape.
    """
    if len(fields) != len(DemandReport._fields):
        raise ValueError(f'{len(fields)} fields')
    origin, incarnation, sequence, digest, counted, active = fields[:6]
    acknowledgements, demands, grants, wants_acknowledgements = fields[6:]
    return DemandReport(
        str(origin),
        _integer(incarnation),
        _integer(sequence),
        _bytes(digest),
        _integer(counted),
        bool(active),
        tuple(_acknowledgement(item) for item in _items(acknowledgements)),
        tuple(_demand(item) for item in _items(demands)),
        tuple(_grant(item) for item in _items(grants)),
        _boolean(wants_acknowledgements),
    )


def _acknowledgement(item: object) -> Acknowledgement:
    entry_id, incarnation, sequence = _items(item)
    return Acknowledgement(
        str(entry_id), _integer(incarnation), _integer(sequence)
    )


def _demand(item: object) -> AccountDemand:
    account, demand, in_use = _items(item)
    return AccountDemand(str(account), _fraction(demand), _fraction(in_use))


def _grant(item: object) -> Grant:
    account, borrower, incarnation, sequence, fraction = _items(item)
    return Grant(
        str(account),
        str(borrower),
        _integer(incarnation),
        _integer(sequence),
        _fraction(fraction),
    )


def _items(value: object) -> tuple[object, ...] | list[object]:
    if not isinstance(value, (tuple, list)):
        raise ValueError(f'sequence expected, not {type(value).__name__}')
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int):
        raise ValueError(f'integer expected, not {type(value).__name__}')
    return value


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f'boolean expected, not {type(value).__name__}')
    return value


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f'bytes expected, not {type(value).__name__}')
    return value


def _fraction(value: object) -> float:
    if not isinstance(value, (int, float)) or not 0 <= value < 1e9:
        raise ValueError('number from 0 expected')
    return float(value)
