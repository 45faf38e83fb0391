"""Measures extra tokens and resume gaps of the relay after engine faults."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import statistics
import time
from typing import NamedTuple

from bench import engines
from bench import relay_load
from bench import rows
from godwitvalve import clock
from godwitvalve.engine import http_adapter
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import results
from standins.engine import tokens as engine_tokens


class Fault(NamedTuple):
    """Numbers of engines killed and frozen while answers are relayed."""

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


class GapMeter(relay_load.Meter):
    """Meter that also records the longest gap of each stream."""

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
        relay_load.request(number, FAULT_TOKENS),
        None,
        'account',
        [relay_load.KEY],
        time.time(),
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


async def _inject_fault(
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
    picker: engines.LeastOutstandingPicker,
    faulty: int,
) -> int:
    # A killed or frozen engine cannot be queried. Its tokens are counted at
    # the relay, without those that it had generated but not sent.
    names = {item.endpoint.endpoint_id for item in processes[:faulty]}
    computed = sum(
        result.prefill_tokens + result.delivered_tokens
        for name, result in picker.results
        if name in names
    )
    for process in processes[faulty:]:
        for stream in process.log()['streams']:
            computed += stream['prefill_tokens'] + stream['generated_tokens']
    return computed


async def measure_fault(fault: Fault) -> abc.AsyncIterator[rows.Row]:
    """Yield the rows for extra tokens and longest gaps."""
    with contextlib.ExitStack() as stack:
        processes = []
        for number in range(FAULT_ENGINES):
            process = engines.EngineProcess(
                f'e{number}', '--token-interval-ms', FAULT_INTERVAL_MS
            )
            stack.callback(process.stop)
            processes.append(process)
        picker = engines.LeastOutstandingPicker(
            [item.endpoint for item in processes]
        )
        meter = GapMeter()
        async with http_adapter.new_session() as session:
            engine = http_adapter.HttpEngine(session)
            relayed = relay.Relay(engine, relay_load.KEY, clock.SystemClock())
            await asyncio.gather(
                _inject_fault(processes, fault, meter),
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
        engine_tokens.prompt_tokens(relay_load.request(number, 1).prompt)
        for number in range(FAULT_STREAMS)
    )
    lost = [item for _, item in picker.results if item.outcome == 'lost']
    extra = computed - prompts - meter.tokens
    for measure, value, unit in _figures(extra, len(lost), meter):
        yield rows.Row(
            f'relay.{measure}', value, unit, '', relay_load.SEED, fault.case
        )


def _figures(
    extra: int, lost: int, meter: GapMeter
) -> abc.Iterator[tuple[str, float, str]]:
    yield 'extra_tokens_per_1000', 1000 * extra / meter.tokens, 'tokens'
    yield 'attempts_lost', lost, 'attempts'
    gaps_s = sorted(meter.longest_gaps_s)
    yield 'longest_gap_median_s', statistics.median(gaps_s), 's'
    if lost:
        # The longest gaps belong to the interrupted answers.
        resume_gaps_s = gaps_s[-lost:]
        yield 'resume_median_s', statistics.median(resume_gaps_s), 's'
        yield 'resume_max_s', resume_gaps_s[-1], 's'
