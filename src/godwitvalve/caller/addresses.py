"""Addresses of entry instances, cached until they expire."""

from __future__ import annotations

from collections import abc
import itertools
import random
from typing import Any, NamedTuple

from godwitvalve.caller import errors


class EntryAddress(NamedTuple):
    """Address at which one entry instance accepts calls."""

    instance_id: str
    address: str
    failure_domain: str


class AddressAnswer(NamedTuple):
    """Body of an answer to ``GET /v1/addresses``."""

    addresses: tuple[EntryAddress, ...]
    valid_until_wall_s: float


def decode(body: Any) -> AddressAnswer:
    """Decode and validate an address answer.

    :raises CorruptAnswer: if a field is missing or invalid.
    """
    try:
        found = tuple(
            EntryAddress(
                str(item['instance_id']),
                str(item['address']),
                str(item.get('failure_domain', '')),
            )
            for item in body['addresses']
        )
        return AddressAnswer(found, float(body['valid_until_wall_s']))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.CorruptAnswer('malformed address answer') from error


class AddressPool:
    """Addresses to call, those of the same failure domain first.

    An address that failed moves to the end until a call to it succeeds.

    :param initial_addresses: configured addresses from which the current
        ones are requested.
    :param failure_domain: failure domain of this caller, may be empty.
    """

    def __init__(
        self,
        initial_addresses: abc.Sequence[str],
        failure_domain: str,
        chooser: random.Random,
    ) -> None:
        self._initial_addresses = tuple(initial_addresses)
        self._failure_domain = failure_domain
        self._chooser = chooser
        self._current: tuple[str, ...] = ()
        self._valid_until_wall_s = 0.0
        self._failed: dict[str, None] = {}

    def is_valid(self, now_wall_s: float) -> bool:
        """Tell whether the last address answer may still be used.

        It may not after it expired or all of its addresses failed.
        """
        if now_wall_s >= self._valid_until_wall_s:
            return False
        return any(item not in self._failed for item in self._current)

    def update(self, answer: AddressAnswer) -> None:
        """Replace the current addresses by those of a new answer."""
        entries = list(answer.addresses)
        self._chooser.shuffle(entries)
        entries.sort(
            key=lambda entry: entry.failure_domain != self._failure_domain
        )
        self._current = tuple(entry.address for entry in entries)
        self._valid_until_wall_s = answer.valid_until_wall_s
        for address in list(self._failed):
            if (
                address not in self._current
                and address not in self._initial_addresses
            ):
                del self._failed[address]

    def mark_failed(self, address: str) -> None:
        """Move an address to the end of the order."""
        self._failed.pop(address, None)
        self._failed[address] = None

    def mark_working(self, address: str) -> None:
        """Restore the normal position of an address."""
        self._failed.pop(address, None)

    def lookup_order(self) -> list[str]:
        """Return current and initial addresses in the order of preference."""
        candidates = itertools.chain(self._current, self._initial_addresses)
        return self._failed_last(dict.fromkeys(candidates))

    def call_order(self, now_wall_s: float) -> list[str]:
        """Return the addresses to call in the order of preference."""
        if self.is_valid(now_wall_s):
            return self._failed_last(self._current)
        return self.lookup_order()

    def _failed_last(self, addresses: abc.Iterable[str]) -> list[str]:
        found = list(addresses)
        working = [item for item in found if item not in self._failed]
        return working + [item for item in self._failed if item in found]
