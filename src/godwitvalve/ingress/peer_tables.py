"""Relays tables of the platform's store between entries."""

from __future__ import annotations

import asyncio
from collections import abc
import time

import aiohttp
from aiohttp import web
import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.fleet import relay as relays
from godwitvalve.fleet import sources
from godwitvalve.forwarding import sockets
from godwitvalve.gossip import members as member_model
from godwitvalve.ingress import compression
from godwitvalve.parsing import connectors
from godwitvalve.platform import bodies
from godwitvalve.platform import store as stores

TABLE_PATH = '/fleet/table'
# Added to the wait for changes; entries answer one another in milliseconds.
ANSWER_MARGIN_S = 0.5


class _TableMessage(msgspec.Struct, array_like=True):
    """Rows sent to another entry.

    Times are sent as ages, because the clocks of machines differ.

    :param age_ms: milliseconds since the store confirmed the rows.
    :param removals_untrusted_ms: milliseconds for which removals are not
        trusted.
    :param compressed_keys: keys of the rows whose values are compressed.
    """

    version: bounds.Count
    age_ms: bounds.Milliseconds
    removals_untrusted_ms: bounds.Milliseconds
    rows: list[stores.StoredRow]
    era: bounds.Era = 0
    compressed_keys: list[str] = []


_DECODER = msgspec.msgpack.Decoder(_TableMessage)


def _compress_rows(
    rows: list[stores.StoredRow],
) -> tuple[list[stores.StoredRow], list[str]]:
    """Compress large values; also return the keys of their rows."""
    large_keys = [
        row.key
        for row in rows
        if row.value is not None and len(row.value) >= compression.MIN_BYTES
    ]
    return [
        row._replace(value=compression.compress(row.value))
        if row.value is not None and row.key in large_keys
        else row
        for row in rows
    ], large_keys


def _decompress_rows(message: _TableMessage) -> list[stores.StoredRow]:
    return [
        row._replace(value=compression.decompress(row.value))
        if row.value is not None and row.key in message.compressed_keys
        else row
        for row in message.rows
    ]


class RelayServer:
    """Serves the relayed tables of this entry to other entries."""

    def __init__(self, tables: abc.Mapping[str, relays.TableRelay]) -> None:
        self._tables = tables

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a request for a complete table or for its changes."""
        relay = self._tables.get(request.query.get('table', ''))
        after = contents.parse_count(request.query.get('after', ''))
        era = contents.parse_count(request.query.get('era', '0'))
        wait_ms = contents.parse_count(request.query.get('wait_ms', '0'))
        if relay is None or wait_ms is None or era is None:
            return web.Response(status=404)
        now_s = time.monotonic()
        try:
            answer = (
                await relay.changes(
                    stores.StoreRevision(era, after), wait_ms / 1000, now_s
                )
                if after is not None
                else relay.snapshot()
            )
        except stores.HistoryExpired:
            return web.Response(status=410)
        except stores.StoreUnavailable:
            return web.Response(status=503)
        rows, compressed_keys = (
            _compress_rows(answer.rows)
            if compression.PARAMETER in request.query
            else (answer.rows, [])
        )
        now_s = time.monotonic()
        message = _TableMessage(
            answer.version,
            int((now_s - answer.confirmed_s) * 1000),
            int(max(answer.trusted_from_s - now_s, 0.0) * 1000),
            rows,
            answer.era or 0,
            compressed_keys,
        )
        return web.Response(body=msgspec.msgpack.encode(message))


class PeerSource:
    """Reads a table from another entry.

    :param address: ``IP:port`` of its control interface.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f'http://{address}{TABLE_PATH}'
        self._session = session

    async def rows(self, table: str) -> sources.TableAnswer:
        """Return the complete table.

        :raises StoreUnavailable: if no fresh answer arrived.
        """
        return await self._fetch({'table': table}, 0.0)

    async def changes(
        self, table: str, after: stores.StoreRevision, wait_s: float
    ) -> sources.TableAnswer:
        """Wait for changes of a table.

        :raises HistoryExpired: if the complete table must be read again.
        :raises StoreUnavailable: if no fresh answer arrived.
        """
        query = {
            'table': table,
            'after': str(after.version),
            'era': str(after.era),
            'wait_ms': str(int(wait_s * 1000)),
        }
        return await self._fetch(query, wait_s)

    async def _fetch(
        self, query: dict[str, str], wait_s: float
    ) -> sources.TableAnswer:
        timeout = aiohttp.ClientTimeout(total=wait_s + ANSWER_MARGIN_S)
        try:
            async with self._session.get(
                self._url,
                params=query | {compression.PARAMETER: '1'},
                timeout=timeout,
            ) as answer:
                content = await bodies.read(answer)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            reason = f'{self._url}: {type(error).__name__}'
            raise stores.StoreUnavailable(reason) from error
        if answer.status == 410:
            raise stores.HistoryExpired
        if answer.status != 200:
            raise stores.StoreUnavailable(
                f'{self._url}: expected status 200, got {answer.status}'
            )
        try:
            message = contents.decode(_DECODER, content)
            rows = _decompress_rows(message)
        except (
            contents.InvalidContent,
            compression.InvalidCompression,
        ) as error:
            raise stores.StoreUnavailable(str(error)) from error
        return self._to_answer(message, rows)

    def _to_answer(
        self, message: _TableMessage, rows: list[stores.StoredRow]
    ) -> sources.TableAnswer:
        now_s = time.monotonic()
        if message.age_ms > sources.STALE_S * 1000:
            raise stores.StoreUnavailable(
                f'rows were last confirmed {message.age_ms} ms ago'
            )
        return sources.TableAnswer(
            rows,
            message.version,
            now_s - message.age_ms / 1000,
            now_s + message.removals_untrusted_ms / 1000
            if message.removals_untrusted_ms
            else float('-inf'),
            message.era,
        )


class PeerSources:
    """Chooses the source of each call; in a small fleet always the store.

    :param alive: returns the records of the other live entries.
    :param control_port: port of the control interface, the same on all
        machines.
    :param longest_waits_s: longest wait by table at the entries that read
        frequently.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        selector: sources.SourceSelector,
        alive: abc.Callable[[], list[member_model.Record]],
        control_port: int,
        longest_waits_s: abc.Mapping[str, float],
    ) -> None:
        self._store = sources.StoreSource(store)
        self._selector = selector
        self._alive = alive
        self._control_port = control_port
        self._longest_waits_s = longest_waits_s
        self._session: aiohttp.ClientSession | None = None

    def set_longest_waits(
        self, longest_waits_s: abc.Mapping[str, float]
    ) -> None:
        """Change the longest waits of further calls."""
        self._longest_waits_s = longest_waits_s

    def choose(self) -> tuple[sources.TableSource, str]:
        """Return a source and its instance id, empty for the store."""
        record = self._selector.choose(self._alive(), time.monotonic())
        if record is None:
            return self._store, ''
        if self._session is None:
            self._session = connectors.new_session(
                limit=0, socket_factory=sockets.create
            )
        host = record.peer_address.rpartition(':')[0]
        source = PeerSource(f'{host}:{self._control_port}', self._session)
        return source, record.instance_id

    def wait_s(self, table: str) -> float:
        """Return how long a call waits for changes of a table at most.

        The store may report nothing to waiting calls and drop its history
        meanwhile, or its answer may be lost. Some entries ask again in time;
        the others follow the versions in their heartbeats.
        """
        alive = self._alive()
        if len(alive) >= member_model.DIRECT_MEMBERS:
            return sources.RELAYED_WAIT_S
        if not self._selector.is_frequent_reader(alive):
            return sources.STORE_WAIT_S
        return self._longest_waits_s.get(table, sources.STORE_WAIT_S)

    def mark_failed(self, instance_id: str) -> None:
        """Record that an entry did not return fresh rows."""
        self._selector.mark_failed(instance_id, time.monotonic())

    async def close(self) -> None:
        """Close the connections to other entries."""
        if self._session is not None:
            await self._session.close()
