"""Measures resume latency and extra tokens after the loss of engines.

Runs real processes at the size of the lab: 9 engines, with 24 concurrent
generations. The baseline generates the complete answer again after a loss, so
its latency is the time for which the answer had run before the loss.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
import contextlib
import signal
import statistics
import tempfile
import time
from typing import Any, NamedTuple

from bench import rows
from godwitvalve.caller import client
from standins import local_site
from standins import small_site

ENGINES = 9
ENTRIES = 3
STREAMS = 24
TOKENS = 600
TOKEN_INTERVAL_MS = 10
LOSS_AFTER_S = 2.0
RESUME_ENGINES_AFTER_S = 4.0
SEED = 11
TARGET_S = 3.0
TARGET_KILL_S = 1.0


class Case(NamedTuple):
    """A fault to inject.

    :param engines: number of engines that are affected at the same time.
    :param inject: function that injects the fault into one engine.
    :param resumes: whether the engines are resumed with SIGCONT.
    """

    name: str
    engines: int
    inject: Callable[[small_site.SmallSite, str], None]
    resumes: bool = False


class _StreamedAnswer(NamedTuple):
    """Token count of one answer and arrival times of its chunks.

    :param arrivals_s: times in seconds of the monotonic clock.
    """

    arrivals_s: list[float]
    token_count: int

    def gap_after(self, loss_s: float) -> float:
        """Return the longest gap between chunks that ended after a loss."""
        pairs = zip(self.arrivals_s, self.arrivals_s[1:])
        return max(
            (late - early for early, late in pairs if late > loss_s),
            default=0.0,
        )


def _kill(site: small_site.SmallSite, name: str) -> None:
    site.kill(name)


def _freeze(site: small_site.SmallSite, name: str) -> None:
    site.signal(name, signal.SIGSTOP)


def _silence(site: small_site.SmallSite, name: str) -> None:
    site.set_faults(name, silence_connections=True)


def _no_fault(site: small_site.SmallSite, name: str) -> None:
    """Inject no fault, to measure the reference values."""


CASES = (
    Case('no-fault', 0, _no_fault),
    Case('sigkill-1', 1, _kill),
    Case('sigkill-third', ENGINES // 3, _kill),
    Case('freeze-1', 1, _freeze, resumes=True),
    Case('freeze-third', ENGINES // 3, _freeze, resumes=True),
    Case('silent-1', 1, _silence),
)


async def _stream(caller: client.Client, number: int) -> _StreamedAnswer:
    completion = client.Completion(
        small_site.MODEL, f'Diary of month {number}.', TOKENS, number
    )
    arrivals_s = []
    count = 0
    async with contextlib.aclosing(caller.stream(completion)) as chunks:
        async for chunk in chunks:
            arrivals_s.append(time.monotonic())
            count += len(chunk.token_ids)
    return _StreamedAnswer(arrivals_s, count)


def _engines(site: small_site.SmallSite) -> list[str]:
    return [
        member.name
        for member in site.members.values()
        if member.kind == 'engine'
    ]


def _computed(site: small_site.SmallSite, names: Iterable[str]) -> int:
    """Return the number of tokens that engines generated or prefilled."""
    return sum(
        stream['generated_tokens'] + stream['prefill_tokens']
        for name in names
        for stream in site.log(name)['streams']
    )


def _running(site: small_site.SmallSite, name: str) -> int:
    return sum(
        not stream['end_reason'] for stream in site.log(name)['streams']
    )


class _Outcome(NamedTuple):
    gaps_s: list[float]
    delivered_tokens: int
    computed_tokens: int
    age_at_loss_s: float


async def _measure(site: small_site.SmallSite, case: Case) -> _Outcome:
    async with client.new_session() as session:
        caller = client.Client(
            session, site.addresses(), small_site.CREDENTIAL
        )
        started_s = time.monotonic()
        tasks = [
            asyncio.create_task(_stream(caller, number))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(LOSS_AFTER_S)
        busiest = sorted(
            _engines(site), key=lambda name: -_running(site, name)
        )
        lost = busiest[: case.engines]
        interrupted = sum(_running(site, name) for name in lost)
        computed = _computed(site, lost)
        loss_s = time.monotonic()
        for name in lost:
            case.inject(site, name)
        if case.resumes:
            await asyncio.sleep(RESUME_ENGINES_AFTER_S)
            for name in lost:
                site.signal(name, signal.SIGCONT)
        answers = await asyncio.gather(*tasks)
    alive = [
        name
        for name in _engines(site)
        if site.members[name].process.poll() is None
    ]
    gaps_s = sorted((each.gap_after(loss_s) for each in answers), reverse=True)
    return _Outcome(
        gaps_s[:interrupted],
        sum(each.token_count for each in answers),
        _computed(site, alive) + (computed if case.inject is _kill else 0),
        loss_s - started_s,
    )


def _run_case(case: Case) -> _Outcome:
    with tempfile.TemporaryDirectory() as folder:
        site = small_site.new_site(folder)
        try:
            interval = str(TOKEN_INTERVAL_MS)
            site.start(ENTRIES, ENGINES, '--token-interval-ms', interval)
            text = small_site.build_text({'v1': small_site.version()})
            site.apply(text, 0)
            for name in site.entry_ids():
                site.wait_ready(name)
            warm_up(site)
            return asyncio.run(_measure(site, case))
        finally:
            site.stop()


def warm_up(site: small_site.SmallSite) -> None:
    """Wait until all entries serve the model."""
    headers = {'Authorization': f'Bearer {small_site.CREDENTIAL}'}
    body: dict[str, Any] = {
        'model': small_site.MODEL,
        'prompt': '',
        'max_tokens': 1,
        'stream': False,
    }
    for address in site.addresses():
        url = f'http://{address}/v1/completions'
        local_site.wait_until(
            lambda: local_site.http_json('POST', url, body, headers),
            f'{address} serves the model',
        )


def _prompt_tokens(case_streams: int) -> int:
    return sum(
        -(-len(f'Diary of month {number}.') // 4)
        for number in range(case_streams)
    )


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def run() -> Iterator[rows.Row]:
    """Yield the rows of all cases."""
    for case in CASES:
        outcome = _run_case(case)
        needed_tokens = (
            outcome.delivered_tokens + _prompt_tokens(STREAMS) + ENTRIES
        )
        extra_tokens = outcome.computed_tokens - needed_tokens
        if outcome.gaps_s:
            yield from _latencies(case, outcome)
        yield rows.Row(
            'extra tokens per 1000 delivered',
            1000 * extra_tokens / outcome.delivered_tokens,
            'tokens',
            '',
            SEED,
            case.name,
        )


def _latencies(case: Case, outcome: _Outcome) -> Iterator[rows.Row]:
    figures = (
        ('resume latency, median', statistics.median(outcome.gaps_s)),
        ('resume latency, 95 in 100', _percentile(outcome.gaps_s, 0.95)),
        ('resume latency, worst', max(outcome.gaps_s)),
        ('resume latency of the baseline', outcome.age_at_loss_s),
    )
    for measure, value_s in figures:
        yield rows.Row(measure, value_s, 's', 'anew', SEED, case.name)
    yield rows.Row(
        'generations lost', len(outcome.gaps_s), 'count', '', SEED, case.name
    )


if __name__ == '__main__':
    rows.print_rows(run())
