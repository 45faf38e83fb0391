"""Limits of client accounts and the demand reports between entries."""

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

    The borrower's lease starts when it sent the report numbered
    ``borrower_sequence``, which is before the grant was made.
    """

    client_account: str
    borrower: str
    borrower_incarnation: int
    borrower_sequence: int
    fraction: float


class AccountDemand(NamedTuple):
    """Demand of one account at one entry.

    :param demand: offered load as a fraction of the account's limit.
    :param in_use: requests in flight as a fraction of the concurrency
        limit.
    """

    client_account: str
    demand: float
    in_use: float = 0.0


class AccountUse(NamedTuple):
    """Concurrency of one account at this entry.

    :param in_use: requests in flight as a fraction of ``units``.
    :param units: concurrency limit, which is only usable in whole units.
    """

    in_use: float
    units: int


class Acknowledgement(NamedTuple):
    """Newest report that the sender has received from a listed entry."""

    entry_id: str
    incarnation: int
    sequence: int


class DemandReport(NamedTuple):
    """Demand, grants and acknowledgements that an entry sends to others.

    :param members_digest: digest of the newest list to whose entries the
        sender leaves a base share each.
    :param counted: number of entries that the sender counts by its own
        list.
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

    :raises ValueError: if the number or type of the fields is wrong.
    """
    if len(fields) != len(DemandReport._fields):
        raise ValueError(
            f'{len(fields)} fields found, another number expected'
        )
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
        raise ValueError(f'expected a sequence, found {type(value).__name__}')
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int):
        raise ValueError(f'expected an integer, found {type(value).__name__}')
    return value


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f'expected a boolean, found {type(value).__name__}')
    return value


def _bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f'expected bytes, found {type(value).__name__}')
    return value


def _fraction(value: object) -> float:
    if not isinstance(value, (int, float)) or not 0 <= value < 1e9:
        raise ValueError('expected a number of at least 0 and below 1e9')
    return float(value)
