"""Addresses of entry instances, kept until their deadline."""

from __future__ import annotations

from collections import abc
import itertools
import random
from typing import Any, NamedTuple

from godwitvalve.caller import errors


class EntryAddress(NamedTuple):
    """Where one entry instance takes calls."""

    instance_id: str
    address: str
    failure_domain: str


class AddressAnswer(NamedTuple):
    """Answer to ``GET /v1/addresses``."""

    addresses: tuple[EntryAddress, ...]
    valid_until_wall_s: float


def decode(body: Any) -> AddressAnswer:
    """Return a checked address answer.

    :raises CorruptAnswer: if it does not have the agreed form.
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
    """Addresses to try, the near failure domain first.

    An address that failed moves to the end until it works again.

    :param initial_addresses: addresses given by the user, used to ask for others.
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
        """Tell whether the last answer may still be used.

        It may not once every address in it has failed.
        """
        if now_wall_s >= self._valid_until_wall_s:
            return False
        return any(item not in self._failed for item in self._current)

    def update(self, answer: AddressAnswer) -> None:
        """Take a new answer."""
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
        """Try an address last from now on."""
        self._failed.pop(address, None)
        self._failed[address] = None

    def mark_working(self, address: str) -> None:
        """Trust an address again."""
        self._failed.pop(address, None)

    def lookup_order(self) -> list[str]:
        """Return all addresses that may answer, the best first."""
        both = itertools.chain(self._current, self._initial_addresses)
        return self._failed_last(dict.fromkeys(both))

    def call_order(self, now_wall_s: float) -> list[str]:
        """Return the addresses to call, the best first."""
        if self.is_valid(now_wall_s):
            return self._failed_last(self._current)
        return self.lookup_order()

    def _failed_last(self, addresses: abc.Iterable[str]) -> list[str]:
        found = list(addresses)
        good = [item for item in found if item not in self._failed]
        return good + [item for item in self._failed if item in found]
