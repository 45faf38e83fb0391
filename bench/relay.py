"""Measures the relay against stand-in engines.

Prints JSON lines. A rate is given for each CPU second of this process,
because wall-clock rates depend on what else the machine does; ``baseline``
is the same rate when the engine is read without the relay, in one run.
"""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import json
import time
from typing import NamedTuple

import typer

from bench import engines
from godwitvalve import clock
from godwitvalve.engine import http_adapter
from godwitvalve.engine import port
from godwitvalve.generations import events
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import requests
from godwitvalve.generations import results
from standins.engine import tokens as engine_tokens

KEY = b'k' * 32
SEED = 1
ENGINE_COUNT = 4
# Starting all streams at once would measure connection set-up.
STARTS_PER_S = 150
SETTLE_S = 1.0


class Load(NamedTuple):
    """What is asked of the engines.

    ``window_s`` is how long the steady state is measured, or 0 to measure
    from the first to the last token.
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


def report(
    measure: str,
    value: float,
    unit: str,
    baseline: float | None,
    case: str,
) -> None:
    """Print one result."""
    line = {
        'measure': measure,
        'value': round(value, 3),
        'unit': unit,
        'baseline': None if baseline is None else round(baseline, 3),
        'seed': SEED,
        'case': case,
    }
    print(json.dumps(line), flush=True)


class Rate(NamedTuple):
    """Tokens with the time they took."""

    tokens: int
    events: int
    wall_s: float
    cpu_s: float


class Meter:
    """Counts tokens and events of all streams."""

    def __init__(self) -> None:
        self.tokens = 0
        self.events = 0

    def _sample(self) -> Rate:
        return Rate(
            self.tokens, self.events, time.monotonic(), time.process_time()
        )

    async def measure(
        self,
        load: Load,
        work: abc.Iterable[abc.Coroutine[object, object, None]],
    ) -> Rate:
        """Run all streams; return the rate in the measured window."""
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
        for found in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found
        return Rate(
            end.tokens - begin.tokens,
            end.events - begin.events,
            end.wall_s - begin.wall_s,
            end.cpu_s - begin.cpu_s,
        )


def _request(number: int, count: int) -> requests.CompletionRequest:
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
    async with contextlib.aclosing(stream):
        async for event in stream:
            if type(event) is port.Tokens:
                meter.tokens += len(event.token_ids)
                meter.events += 1


async def relay_one(
    relayed: relay.Relay,
    picker: plan.EndpointPicker,
    number: int,
    tokens_each: int,
    meter: Meter,
) -> None:
    """Relay one answer and format its events."""
    await asyncio.sleep(number / STARTS_PER_S)
    generation = plan.plan_generation(
        _request(number, tokens_each), None, 'account', [KEY], time.time()
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
                raise RuntimeError(str(result))


async def measure_load(load: Load) -> None:
    """Report rates with and without the relay."""
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
            picker = engines.LeastPicker(endpoints)
            meter = Meter()
            direct = await meter.measure(
                load,
                [
                    _read_direct(engine, picker, number, load, meter)
                    for number in range(load.streams)
                ],
            )
            relayed = relay.Relay(engine, KEY, clock.SystemClock())
            picker = engines.LeastPicker(endpoints)
            meter = Meter()
            found = await meter.measure(
                load,
                [
                    relay_one(relayed, picker, number, load.tokens_each, meter)
                    for number in range(load.streams)
                ],
            )
            await relayed.close()
    report(
        'relay.tokens_per_cpu_s',
        found.tokens / found.cpu_s,
        'tokens/s',
        direct.tokens / direct.cpu_s,
        load.case,
    )
    report(
        'relay.tokens_per_wall_s',
        found.tokens / found.wall_s,
        'tokens/s',
        direct.tokens / direct.wall_s,
        load.case,
    )
    report(
        'relay.tokens_per_event',
        found.tokens / found.events,
        'tokens',
        direct.tokens / direct.events,
        load.case,
    )


class Fault(NamedTuple):
    """What happens to engines while answers are relayed."""

    case: str
    kills: int
    freezes: int


FAULTS = (
    Fault('no faults', 0, 0),
    Fault('2 of 6 engines killed', 2, 0),
    Fault('2 of 6 engines frozen', 0, 2),
)
FAULT_ENGINES = 6
FAULT_STREAMS = 60
FAULT_TOKENS = 400
FAULT_INTERVAL_MS = '10'


class GapMeter(Meter):
    """Also keeps the longest gap between tokens of each stream."""

    def __init__(self) -> None:
        super().__init__()
        self.longest_gaps_s: list[float] = []


async def _relay_with_gaps(
    relayed: relay.Relay,
    picker: plan.EndpointPicker,
    number: int,
    meter: GapMeter,
) -> None:
    generation = plan.plan_generation(
        _request(number, FAULT_TOKENS), None, 'account', [KEY], time.time()
    )
    assert isinstance(generation, plan.Generation)
    last_s = None
    longest_s = 0.0
    stream = relayed.run(generation, picker)
    async with contextlib.aclosing(stream):
        async for result in stream:
            if type(result) is results.Failed:
                raise RuntimeError(str(result))
            if type(result) is not results.Delivered:
                continue
            now_s = time.monotonic()
            longest_s = max(longest_s, now_s - (last_s or now_s))
            last_s = now_s
            meter.tokens += len(result.token_ids)
    meter.longest_gaps_s.append(longest_s)


async def _strike(
    processes: list[engines.EngineProcess], fault: Fault, meter: GapMeter
) -> None:
    total = FAULT_STREAMS * FAULT_TOKENS
    for number in range(fault.kills + fault.freezes):
        while meter.tokens < total * (number + 1) / 5:
            await asyncio.sleep(0.01)
        if number < fault.kills:
            processes[number].kill()
        else:
            processes[number].freeze()


def _computed_tokens(
    processes: list[engines.EngineProcess],
    picker: engines.LeastPicker,
    struck: int,
) -> int:
    # An engine that was struck cannot be asked: what it computed is counted
    # from the relay's side, without tokens that it buffered unsent.
    names = {item.endpoint.endpoint_id for item in processes[:struck]}
    computed = sum(
        result.prefill_tokens + result.delivered_tokens
        for name, result in picker.results
        if name in names
    )
    for process in processes[struck:]:
        for stream in process.log()['streams']:
            computed += stream['prefill_tokens'] + stream['generated_tokens']
    return computed


async def measure_fault(fault: Fault) -> None:
    """Report the extra tokens computed and the longest gaps."""
    with contextlib.ExitStack() as stack:
        processes = []
        for number in range(FAULT_ENGINES):
            process = engines.EngineProcess(
                f'e{number}', '--token-interval-ms', FAULT_INTERVAL_MS
            )
            stack.callback(process.stop)
            processes.append(process)
        picker = engines.LeastPicker([item.endpoint for item in processes])
        meter = GapMeter()
        async with http_adapter.new_session() as session:
            engine = http_adapter.HttpEngine(session)
            relayed = relay.Relay(engine, KEY, clock.SystemClock())
            await asyncio.gather(
                _strike(processes, fault, meter),
                *(
                    _relay_with_gaps(relayed, picker, number, meter)
                    for number in range(FAULT_STREAMS)
                ),
            )
            await relayed.close()
        computed = _computed_tokens(
            processes, picker, fault.kills + fault.freezes
        )
    prompts = sum(
        engine_tokens.prompt_tokens(_request(number, 1).prompt)
        for number in range(FAULT_STREAMS)
    )
    lost = [item for _, item in picker.results if item.outcome == 'lost']
    extra = computed - prompts - meter.tokens
    report(
        'relay.extra_tokens_per_1000',
        1000 * extra / meter.tokens,
        'tokens',
        None,
        fault.case,
    )
    report('relay.attempts_lost', len(lost), 'attempts', None, fault.case)
    gaps_s = sorted(meter.longest_gaps_s)
    for name, share in (('median', 0.5), ('p95', 0.95)):
        report(
            f'relay.longest_gap_{name}_s',
            gaps_s[int(share * (len(gaps_s) - 1))],
            's',
            None,
            fault.case,
        )
    if lost:
        # Only the answers that a struck engine had begun.
        cut_s = gaps_s[-len(lost) :]
        report(
            'relay.resume_median_s',
            cut_s[len(cut_s) // 2],
            's',
            None,
            fault.case,
        )
        report('relay.resume_max_s', cut_s[-1], 's', None, fault.case)


def main(only: str = '') -> None:
    """Run all measurements, or those whose case holds a text."""
    for load in LOADS:
        if only in load.case:
            asyncio.run(measure_load(load))
    for fault in FAULTS:
        if only in fault.case:
            asyncio.run(measure_fault(fault))


if __name__ == '__main__':
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
