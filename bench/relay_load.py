"""Measures the throughput of the relay with stand-in engines.

Rates are given per CPU second of this process, because wall-clock rates depend
on other load on the machine. The baseline reads the same engines directly in
the same run.
"""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import time
from typing import NamedTuple

from bench import engines
from bench import rows
from godwitvalve import clock
from godwitvalve.engine import http_adapter
from godwitvalve.engine import port
from godwitvalve.generations import events
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import requests
from godwitvalve.generations import results

KEY = b'k' * 32
SEED = 1
ENGINE_COUNT = 4
# Streams start one after another to keep connection set-up out of the result.
STARTS_PER_S = 150
SETTLE_S = 1.0
DIRECT = 'engine read directly'


class Load(NamedTuple):
    """Load on the engines.

    :param window_s: time for which the steady state is measured, or 0 to
        measure from the start to the end of all streams.
    """

    case: str
    streams: int
    tokens_each: int
    interval_ms: float
    tokens_per_event: int
    window_s: float


LOADS = (
    # 79 ms between tokens is the target at full size.
    Load('79 ms between tokens, 10000 tokens/s', 790, 250, 79.0, 1, 6.0),
    Load('79 ms between tokens, 20000 tokens/s', 1580, 250, 79.0, 1, 6.0),
    Load('316 ms between 4 tokens, 20000 tokens/s', 1580, 250, 79.0, 4, 6.0),
    Load('as fast as the engines can', 64, 4000, 0.0, 1, 0.0),
)


class Rate(NamedTuple):
    """Tokens and events relayed in a wall and CPU time."""

    tokens: int
    events: int
    wall_s: float
    cpu_s: float


class Meter:
    """Counts tokens and events of all streams."""

    def __init__(self) -> None:
        self.tokens = 0
        self.events = 0
        # Streams that failed because the process was overloaded.
        self.failed = 0

    def _sample(self) -> Rate:
        return Rate(
            self.tokens, self.events, time.monotonic(), time.process_time()
        )

    async def measure(
        self,
        load: Load,
        work: abc.Iterable[abc.Coroutine[object, object, None]],
    ) -> Rate:
        """Run all streams and return the rate in the measured window."""
        tasks = [asyncio.create_task(item) for item in work]
        begin = self._sample()
        if load.window_s:
            await asyncio.sleep(load.streams / STARTS_PER_S + SETTLE_S)
            begin = self._sample()
            await asyncio.sleep(load.window_s)
        else:
            await asyncio.gather(*tasks)
        end = self._sample()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        return Rate(
            end.tokens - begin.tokens,
            end.events - begin.events,
            end.wall_s - begin.wall_s,
            end.cpu_s - begin.cpu_s,
        )


def request(number: int, count: int) -> requests.CompletionRequest:
    return requests.CompletionRequest(
        'summaries', f'diary {number}', count, seed=SEED
    )


async def _read_direct(
    engine: port.Engine,
    picker: plan.EndpointPicker,
    number: int,
    load: Load,
    meter: Meter,
) -> None:
    await asyncio.sleep(number / STARTS_PER_S)
    endpoint = picker.pick(frozenset(), '', '')
    assert isinstance(endpoint, tuple)
    order = port.GenerationOrder(
        *(f'direct-{number}', 1, f'diary {number}', (), 'summaries', 'v1', ''),
        *(SEED, load.tokens_each, 5, time.time() + 600),
    )
    stream = engine.generate(endpoint, order)
    try:
        async for event in stream:
            if type(event) is port.Tokens:
                meter.tokens += len(event.token_ids)
                meter.events += 1
    except port.EngineError:
        meter.failed += 1
    finally:
        await stream.aclose()


async def relay_one(
    relayed: relay.Relay,
    picker: plan.EndpointPicker,
    number: int,
    tokens_each: int,
    meter: Meter,
) -> None:
    """Relay one answer and format its events for the caller."""
    await asyncio.sleep(number / STARTS_PER_S)
    generation = plan.plan_generation(
        request(number, tokens_each), None, 'account', [KEY], time.time()
    )
    assert isinstance(generation, plan.Generation)
    formatter = events.EventFormatter(generation.request_id, 'm', 'v1')
    stream = relayed.run(generation, picker)
    async with contextlib.aclosing(stream):
        async for result in stream:
            if type(result) is results.Delivered:
                formatter.delivered(result)
                meter.tokens += len(result.token_ids)
                meter.events += 1
            elif type(result) is results.Failed:
                meter.failed += 1


async def measure_load(load: Load) -> abc.AsyncIterator[rows.Row]:
    """Yield the rows for rates with and without the relay."""
    options = (
        *('--token-interval-ms', str(load.interval_ms)),
        *('--tokens-per-event', str(load.tokens_per_event)),
    )
    with contextlib.ExitStack() as stack:
        processes = [
            engines.EngineProcess(f'e{number}', *options)
            for number in range(ENGINE_COUNT)
        ]
        for process in processes:
            stack.callback(process.stop)
        endpoints = [process.endpoint for process in processes]
        async with http_adapter.new_session() as session:
            engine = http_adapter.HttpEngine(session)
            picker = engines.LeastOutstandingPicker(endpoints, False)
            meter = Meter()
            direct_rate = await meter.measure(
                load,
                [
                    _read_direct(engine, picker, number, load, meter)
                    for number in range(load.streams)
                ],
            )
            relayed = relay.Relay(engine, KEY, clock.SystemClock())
            picker = engines.LeastOutstandingPicker(endpoints, False)
            relay_meter = Meter()
            relay_rate = await relay_meter.measure(
                load,
                [
                    relay_one(
                        relayed, picker, number, load.tokens_each, relay_meter
                    )
                    for number in range(load.streams)
                ],
            )
            await relayed.close()
    for name, rate, failed in (
        ('relay', relay_rate, relay_meter.failed),
        ('direct', direct_rate, meter.failed),
    ):
        baseline = DIRECT if name == 'relay' else ''
        for measure, value, unit in (
            ('tokens_per_cpu_s', rate.tokens / rate.cpu_s, 'tokens/s'),
            ('tokens_per_wall_s', rate.tokens / rate.wall_s, 'tokens/s'),
            ('tokens_per_event', rate.tokens / rate.events, 'tokens'),
            ('failed_streams', failed, 'streams'),
        ):
            yield rows.Row(
                f'relay.{name}.{measure}',
                value,
                unit,
                baseline,
                SEED,
                load.case,
            )
