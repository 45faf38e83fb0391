"""Measures the cost of one changed service by configuration size.

Prints JSON lines. The baseline of each case is the cost of sending and parsing
the complete text, which an entry would need if the text were not divided into
parts. ``python -m bench.configuration``
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping
import dataclasses
import statistics
import time

import orjson
import pydantic

from bench import rows
from godwitvalve import clock
from godwitvalve.configuration import refresher
from godwitvalve.configuration import tracker
from godwitvalve.store import port
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts

SIZES = (10, 100, 1000, 7100)
SERVICES = 22
ACCOUNTS = 830
REPEATS = 15
_TEXT = pydantic.TypeAdapter(model.Text)


class _Store:
    """Stores the head row and parts in memory and counts the bytes read."""

    def __init__(self) -> None:
        self.row: port.Row | None = None
        self.objects: dict[str, bytes] = {}
        self.read_bytes = 0

    async def read(self, table: str, key: str) -> port.Row | None:
        if self.row is not None:
            self.read_bytes += len(self.row.value)
        return self.row

    async def scan(self, table: str, prefix: str) -> list[port.Row]:
        return []

    async def compare_and_set(
        self, table: str, key: str, expected_version: int, value: bytes
    ) -> port.WriteOutcome:
        self.row = port.Row(key, expected_version + 1, value)
        return port.Written(expected_version + 1)

    async def put(self, key: str, body: bytes) -> None:
        self.objects[key] = body

    async def get(self, key: str) -> bytes | None:
        body = self.objects[key]
        self.read_bytes += len(body)
        return body


class _NoPeers:
    async def fetch_parts(self, hashes: frozenset[str]) -> Mapping[str, bytes]:
        return {}


def _endpoint(index: int) -> model.EndpointText:
    address = f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000'
    return model.EndpointText(f'endpoint-{index}', address, f'fd-{index % 8}')


def _service(number: int, endpoints: int, count: int) -> model.ServiceText:
    """Return a model service with every ``count``-th endpoint."""
    listed = tuple(map(_endpoint, range(number, endpoints, count)))
    version = model.VersionText(weights='weights-1', endpoints=listed)
    return model.ServiceText('model', {'v1': version})


def build_text(endpoints: int) -> model.Text:
    """Return a text whose endpoints are distributed over its services."""
    count = min(SERVICES, endpoints)
    return model.Text(
        {
            f'service-{number}': _service(number, endpoints, count)
            for number in range(count)
        },
        {
            f'account-{number}': model.ClientAccountText(
                (f'{number:064x}',), 10.0, 1000.0, 10
            )
            for number in range(ACCOUNTS)
        },
    )


def _change_weights(text: model.Text, weights: str) -> model.Text:
    service = text.services['service-0']
    version = dataclasses.replace(service.versions['v1'], weights=weights)
    changed = dataclasses.replace(service, versions={'v1': version})
    services = text.services | {'service-0': changed}
    return dataclasses.replace(text, services=services)


async def _accept(store: _Store, text: model.Text, revision: int) -> None:
    base = text_head.decode(store.row.value) if store.row else None
    split = parts.split(text)
    for part in split.values():
        await store.put(parts.object_key(part.content_hash), part.body)
    head = text_head.next_head(base, text, split, 'nonce', float(revision))
    value = text_head.encode(head)
    await store.compare_and_set('config', 'head', revision - 1, value)


async def _measure_change(endpoints: int) -> tuple[list[float], int]:
    """Return the CPU seconds and the bytes read to install one change."""
    store, text = _Store(), build_text(endpoints)
    node = refresher.Refresher(
        tracker.ConfigurationTracker('a'),
        store,
        store,
        _NoPeers(),
        clock.SystemClock(),
        lambda installed: None,
    )
    times = []
    for revision in range(1, REPEATS + 2):
        await _accept(
            store, _change_weights(text, f'weights-{revision}'), revision
        )
        store.read_bytes = 0
        start_s = time.process_time()
        await node.poll_once()
        await node.install_once()
        times.append(time.process_time() - start_s)
        if node.tracker.revision != revision:
            raise RuntimeError('the change was not installed')
    return times[1:], store.read_bytes


def _measure_complete_text(text: model.Text) -> tuple[list[float], int]:
    body = orjson.dumps(text)
    times = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        _TEXT.validate_json(body)
        times.append(time.process_time() - start_s)
    return times, len(body)


def run() -> Iterator[rows.Row]:
    """Yield the bytes and CPU time of one change at each size."""
    for endpoints in SIZES:
        times, read_bytes = asyncio.run(_measure_change(endpoints))
        baseline_times, baseline_bytes = _measure_complete_text(
            build_text(endpoints)
        )
        case = f'{endpoints} endpoints'
        yield rows.Row(
            'configuration change, bytes',
            read_bytes,
            'bytes',
            baseline_bytes,
            0,
            case,
        )
        yield rows.Row(
            'configuration change, processor time',
            statistics.median(times) * 1000,
            'ms',
            statistics.median(baseline_times) * 1000,
            0,
            case,
        )


if __name__ == '__main__':
    rows.print_rows(run())
