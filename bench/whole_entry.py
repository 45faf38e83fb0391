"""Measures the cost of one entry process under load.

Measures relaying, the time to the first token and load reports. The baseline
sends requests directly to the same stand-in engines in the same run.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
import contextlib
import statistics
import tempfile
import time
from typing import NamedTuple

import aiohttp
import orjson
import psutil  # type: ignore[import-untyped]

from bench import resume
from bench import rows
from godwitvalve.engine import http_adapter
from godwitvalve.engine import port as engine_port
from godwitvalve.engine import sse
from godwitvalve.routing import endpoint as endpoint_model
from standins import small_site

ENGINES = 4
STREAMS = (100, 400)
TOKEN_INTERVAL_MS = 79
STARTS_PER_S = 100
SETTLE_S = 1.5
WINDOW_S = 5.0
FIRST_TOKENS = 200
LOAD_READS = 1000
MAX_CONCURRENT_LOAD_READS = 16
MAX_EVENT_BYTES = 1024 * 1024
SEED = 3
TARGET_TOKENS_PER_CORE_S = 20_000.0
TARGET_ADDED_MS = 3.0


class _RelayCost(NamedTuple):
    tokens: int
    events: int
    entry_cpu_s: float
    wall_s: float


class _Reader:
    """Reads answers from an entry and counts their tokens."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._url = f'http://{address}/v1/completions'
        self.tokens = 0
        self.events = 0

    async def events_of(
        self, prompt: str, count: int
    ) -> AsyncIterator[dict[str, object]]:
        """Yield the data events of one answer."""
        body = {'model': small_site.MODEL, 'prompt': prompt, 'seed': SEED}
        splitter = sse.EventSplitter(MAX_EVENT_BYTES)
        async with self._session.post(
            self._url,
            data=orjson.dumps({**body, 'max_tokens': count}),
            headers={'Authorization': f'Bearer {small_site.CREDENTIAL}'},
        ) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())
            async for chunk in response.content.iter_any():
                for block in splitter.feed(chunk):
                    data = sse.parse_block(block).data
                    if data.startswith(b'{'):
                        yield orjson.loads(data)

    async def read(self, number: int) -> None:
        """Read one long answer until cancelled."""
        await asyncio.sleep(number / STARTS_PER_S)
        async for event in self.events_of(f'diary {number}', 5000):
            extension = event['godwitvalve']
            assert isinstance(extension, dict)
            self.tokens += len(extension.get('token_ids', ()))
            self.events += 1


async def _relay(site: small_site.SmallSite, streams: int) -> _RelayCost:
    entry = psutil.Process(site.members['entry-1'].process.pid)
    async with http_adapter.new_session() as session:
        reader = _Reader(session, site.addresses()[0])
        tasks = [
            asyncio.create_task(reader.read(number))
            for number in range(streams)
        ]
        await asyncio.sleep(streams / STARTS_PER_S + SETTLE_S)
        begin = (reader.tokens, reader.events, _cpu_s(entry), time.monotonic())
        await asyncio.sleep(WINDOW_S)
        end = (reader.tokens, reader.events, _cpu_s(entry), time.monotonic())
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
    return _RelayCost(
        end[0] - begin[0],
        end[1] - begin[1],
        end[2] - begin[2],
        end[3] - begin[3],
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


class _FirstTokens(NamedTuple):
    entry_s: list[float]
    direct_s: list[float]


async def _first_tokens(site: small_site.SmallSite) -> _FirstTokens:
    times = _FirstTokens([], [])
    async with http_adapter.new_session() as session:
        reader = _Reader(session, site.addresses()[0])
        engine = http_adapter.HttpEngine(session)
        for number in range(FIRST_TOKENS):
            started_s = time.monotonic()
            events = reader.events_of(f'first {number}', 1)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                await anext(events)
            times.entry_s.append(time.monotonic() - started_s)
            started_s = time.monotonic()
            await _direct_token(engine, _endpoint(site), number)
            times.direct_s.append(time.monotonic() - started_s)
    return times


def _endpoint(site: small_site.SmallSite) -> endpoint_model.Endpoint:
    address = site.members['engine-1'].address
    return endpoint_model.Endpoint(
        'engine-1', address, 'fd-1', small_site.MODEL, 'v1', True
    )


async def _direct_token(
    engine: engine_port.Engine,
    endpoint: endpoint_model.Endpoint,
    number: int,
) -> None:
    order = engine_port.GenerationOrder(
        request_id=f'direct-{number}',
        attempt=1,
        prompt=f'direct {number}',
        prefix_token_ids=(),
        model=small_site.MODEL,
        version='v1',
        adapter='',
        seed=SEED,
        max_tokens=1,
        priority=5,
        deadline_wall_s=time.time() + 60,
    )
    stream = engine.generate(endpoint, order)
    async with contextlib.aclosing(stream):
        async for event in stream:
            if isinstance(event, engine_port.Tokens):
                return


async def _load_reads(
    site: small_site.SmallSite,
    new_session: Callable[[], aiohttp.ClientSession],
) -> float:
    """Return the CPU seconds of reading one load report."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_LOAD_READS)
    async with new_session() as session:
        engine = http_adapter.HttpEngine(session)

        async def read() -> None:
            async with limit:
                await engine.load(_endpoint(site))

        begin_s = time.process_time()
        await asyncio.gather(*(read() for _ in range(LOAD_READS)))
        return (time.process_time() - begin_s) / LOAD_READS


def run() -> Iterator[rows.Row]:
    """Yield the rows of all measurements."""
    with tempfile.TemporaryDirectory() as folder:
        site = small_site.new_site(folder)
        try:
            interval = str(TOKEN_INTERVAL_MS)
            site.start(1, ENGINES, '--token-interval-ms', interval)
            text = small_site.build_text(
                {'v1': small_site.version()},
                concurrent=10_000,
                tokens_per_s=1e8,
                requests_per_s=1e5,
            )
            site.apply(text, 0)
            site.wait_ready('entry-1')
            resume.warm_up(site)
            yield from _measure(site)
        finally:
            site.stop()


def _measure(site: small_site.SmallSite) -> Iterator[rows.Row]:
    entry = psutil.Process(site.members['entry-1'].process.pid)
    idle_bytes = entry.memory_info().rss
    yield _row('entry memory, idle', idle_bytes / 1e6, 'MB', 'idle')
    first = asyncio.run(_first_tokens(site))
    direct_ms = statistics.median(first.direct_s) * 1e3
    entry_ms = statistics.median(first.entry_s) * 1e3
    yield rows.Row(
        'added time to first token, median',
        entry_ms - direct_ms,
        'ms',
        direct_ms,
        SEED,
        'one request at a time',
        TARGET_ADDED_MS,
        entry_ms - direct_ms <= TARGET_ADDED_MS,
    )
    for streams in STREAMS:
        cost = asyncio.run(_relay(site, streams))
        case = f'{streams} streams, 79 ms between tokens'
        per_core_s = cost.tokens / cost.entry_cpu_s
        yield rows.Row(
            'tokens relayed per core second',
            per_core_s,
            'tokens/s',
            None,
            SEED,
            case,
            TARGET_TOKENS_PER_CORE_S,
            per_core_s >= TARGET_TOKENS_PER_CORE_S,
        )
        rate = cost.tokens / cost.wall_s
        yield _row('tokens relayed', rate, 'tokens/s', case)
        per_event = cost.tokens / cost.events
        yield _row('tokens per event', per_event, 'tokens', case)
        growth_bytes = entry.memory_info().rss - idle_bytes
        yield _row(
            'memory per stream', growth_bytes / streams / 1e3, 'kB', case
        )
    new_connection_s = asyncio.run(_load_reads(site, http_adapter.new_session))
    reused_connection_s = asyncio.run(
        _load_reads(site, http_adapter.new_report_session)
    )
    yield rows.Row(
        'processor time of a load read',
        reused_connection_s * 1e3,
        'ms',
        new_connection_s * 1e3,
        SEED,
        'kept connection against a fresh one',
    )


def _row(measure: str, value: float, unit: str, case: str) -> rows.Row:
    return rows.Row(measure, value, unit, None, SEED, case)


if __name__ == '__main__':
    rows.print_rows(run())
