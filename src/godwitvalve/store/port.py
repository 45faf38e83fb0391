"""Port to the platform: tables, objects, weights and the instance list.

Assumption: a write of one row is one atomic write. No operation needs a
transaction over several rows.
"""

from __future__ import annotations

import dataclasses
from typing import Literal, NamedTuple, Protocol, TypeAlias


class PlatformUnavailable(Exception):
    """The platform did not answer a read in time."""


class Row(NamedTuple):
    """One row of a table; versions start at 1 and grow by one a write."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The row had another version; nothing was written."""

    current: Row | None


@dataclasses.dataclass(frozen=True)
class WriteUnknown:
    """The write was sent and may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True)
class WriteRefused:
    """The write provably did not take effect."""

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

    ``address`` is ``host:port`` for callers, ``peer_address`` the one for
    other entry instances. ``service`` and ``version`` are empty for an
    entry instance.
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
    """Lagging list of live and leaving instances."""

    async def instances(self) -> list[ListedInstance]:
        """Return the listed instances.

        :raises PlatformUnavailable: if no answer came in time.
        """
