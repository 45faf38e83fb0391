"""Port to the platform: tables, objects, weights and the instance list.

Writes of a single row are assumed to be atomic. No operation needs a
transaction over several rows.
"""

from __future__ import annotations

import dataclasses
from typing import Literal, NamedTuple, Protocol, TypeAlias


class PlatformUnavailable(Exception):
    """The platform did not give a valid answer in time."""


class Row(NamedTuple):
    """A table row; versions start at 1 and increase by one per write."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The row had another version, so nothing was written."""

    current: Row | None


@dataclasses.dataclass(frozen=True)
class WriteUnknown:
    """The write was sent and may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True)
class WriteRefused:
    """The write did not take effect: it was not sent or not applied."""

    reason: str


WriteOutcome: TypeAlias = Written | Conflict | WriteUnknown | WriteRefused


class TableService(Protocol):
    """Transactional table service."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row or None.

        :raises PlatformUnavailable: if no answer came in time.
        """

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the rows whose key starts with a prefix, by key.

        :raises PlatformUnavailable: if no answer came in time.
        """

    async def compare_and_set(
        self, table: str, key: str, expected_version: int, value: bytes
    ) -> WriteOutcome:
        """Write a row if it still has the expected version.

        :param expected_version: 0 if the row must be absent.
        """


class ObjectStore(Protocol):
    """Store of immutable objects."""

    async def put(self, key: str, body: bytes) -> None:
        """Store an object.

        :raises PlatformUnavailable: if the store did not confirm it.
        """

    async def get(self, key: str) -> bytes | None:
        """Return an object or None.

        :raises PlatformUnavailable: if no answer came in time.
        """


class WeightStore(Protocol):
    """Rate-limited store of model weights."""

    async def has(self, weights: str) -> bool:
        """Tell whether the weights are stored.

        :raises PlatformUnavailable: if no answer came in time.
        """


class ListedInstance(NamedTuple):
    """An instance as the platform lists it.

    ``address`` is the ``host:port`` for callers and ``peer_address`` the
    one for other entries. ``service`` and ``version`` are empty for an entry.
    """

    instance_id: str
    kind: Literal['entry', 'endpoint']
    address: str
    peer_address: str
    failure_domain: str
    service: str
    version: str
    state: Literal['live', 'leaving']


class InstanceList(Protocol):
    """List of live and leaving instances, which may be out of date."""

    async def instances(self) -> list[ListedInstance]:
        """Return the listed instances.

        :raises PlatformUnavailable: if no answer came in time.
        """
