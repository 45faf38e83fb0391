"""Fetches parts by content hash, from peers or the object store."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from godwitvalve.logs import setup
from godwitvalve.store import port
from godwitvalve.text import parts

# Peers hold the parts in memory, so a slow answer means that the peer is
# unreachable.
PEER_FETCH_LIMIT_S = 1.0
# Concurrent reads of the object store by one entry.
MAX_FETCHES = 8

_LOG = setup.get('configuration')


class PeerParts(Protocol):
    """Fetches parts from other entries."""

    async def fetch_parts(self, hashes: frozenset[str]) -> Mapping[str, bytes]:
        """Return the requested parts that a peer holds, by content hash.

        :raises OSError: if no peer answered.
        """


class PartsUnavailable(Exception):
    """Some parts were found neither at peers nor in the object store."""


class PartFetcher:
    """Fetches from peers first to reduce the load of the object store."""

    def __init__(self, objects: port.ObjectStore, peers: PeerParts) -> None:
        self._objects = objects
        self._peers = peers

    async def fetch(self, names: Mapping[str, str]) -> dict[str, bytes]:
        """Return serialized parts by content hash.

        :param names: name of each part by its content hash.
        :raises PartsUnavailable: if any of them was not found.
        """
        if not names:
            return {}
        fetched = await self._fetch_from_peers(frozenset(names))
        missing = [item for item in names if item not in fetched]
        limit = asyncio.Semaphore(MAX_FETCHES)
        found = await asyncio.gather(
            *(self._fetch_from_store(item, limit) for item in missing)
        )
        fetched.update(
            (item, body) for item, body in zip(missing, found) if body
        )
        absent = [name for item, name in names.items() if item not in fetched]
        if absent:
            raise PartsUnavailable(f'parts not found: {", ".join(absent)}')
        return fetched

    async def _fetch_from_peers(
        self, hashes: frozenset[str]
    ) -> dict[str, bytes]:
        try:
            async with asyncio.timeout(PEER_FETCH_LIMIT_S):
                received = await self._peers.fetch_parts(hashes)
        except (asyncio.TimeoutError, OSError) as error:
            _LOG.info(
                'No parts received from peers: %s.', type(error).__name__
            )
            return {}
        return {
            item: body
            for item, body in received.items()
            if item in hashes and parts.content_hash(body) == item
        }

    async def _fetch_from_store(
        self, part_hash: str, limit: asyncio.Semaphore
    ) -> bytes | None:
        key = parts.object_key(part_hash)
        try:
            async with limit:
                body = await self._objects.get(key)
        except port.PlatformUnavailable as error:
            _LOG.info('Failed to read a part from the store: %s.', error)
            return None
        if body is None or parts.content_hash(body) != part_hash:
            return None
        return body
