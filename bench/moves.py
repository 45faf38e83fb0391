"""Measures whether moves to good versions complete and bad ones are undone.

Each case runs seeded moves, spread evenly over the sites in ``sites``. The
baseline runs with the same seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
import os
import statistics

from bench import move_runs
from bench import naive_runs
from bench import rows
from bench import sites

# The targets are defined for 200 moves per case, which take about 30 minutes.
# The default keeps ``make bench`` under 5 minutes.
MOVES_PER_CASE = int(os.environ.get('BENCH_MOVES_A_CASE', '40'))
_WORKERS = 8
_LATE_TAKE_BACK_LIMIT_S = 10.0
_LATE_BLAMED_LIMIT = 20
_TARGETS = {
    'done_in_time': 0.99,
    'taken_back': 0.99,
    'mild_taken_back': 0.95,
    'share_until_verdict': 0.05,
    'late_in_limit': 0.99,
    'failed_median': 20.0,
    'sent_after_verdict': 0.0,
}


def _run_pair(
    job: tuple[sites.Site, sites.Case, int],
) -> tuple[move_runs.Run, move_runs.Run]:
    return move_runs.Simulation(*job).run(), naive_runs.run_naive(*job)


def start_case(
    case: sites.Case,
    moves: int,
    pool: futures.Executor,
    chosen: tuple[sites.Site, ...] = sites.SITES,
) -> Iterator[tuple[move_runs.Run, move_runs.Run]]:
    """Start the seeded moves of a case and yield each with its baseline."""
    jobs = [(chosen[seed % len(chosen)], case, seed) for seed in range(moves)]
    return pool.map(_run_pair, jobs, chunksize=4)


def in_time(run: move_runs.Run) -> bool:
    """Tell whether all entries had the verdict DONE in time."""
    site = next(site for site in sites.SITES if site.name == run.site)
    return (
        run.taken_back_s is None
        and run.done_s is not None
        and run.done_s <= site.move_s
        and run.stored
    )


def taken_back(run: move_runs.Run) -> bool:
    """Tell whether a bad version was taken back after its onset."""
    return (
        run.taken_back_s is not None
        and run.taken_back_s >= run.onset_s
        and run.stored
    )


def late_in_limit(run: move_runs.Run) -> bool:
    """Tell whether the version was taken back within 10 s or 20 requests."""
    if run.taken_back_s is None:
        return False
    within_time = run.taken_back_s - run.onset_s <= _LATE_TAKE_BACK_LIMIT_S
    return within_time or run.blamed_at_verdict <= _LATE_BLAMED_LIMIT


def _fraction(runs: list[move_runs.Run], test: Callable[..., bool]) -> float:
    return sum(map(test, runs)) / len(runs)


def share(runs: list[move_runs.Run]) -> float:
    """Return the fraction of requests to the new version until the verdict."""
    requests = sum(run.requests for run in runs)
    return sum(run.new_requests for run in runs) / max(requests, 1)


def figures(
    case: sites.Case, runs: list[move_runs.Run]
) -> Iterator[tuple[str, float]]:
    """Yield the name and value of each measurement of a case."""
    if not case.is_bad:
        yield 'done_in_time', _fraction(runs, in_time)
        return
    name = 'mild_taken_back' if case.is_mild else 'taken_back'
    yield name, _fraction(runs, taken_back)
    if not case.late and not case.is_mild:
        yield 'share_until_verdict', share(runs)
    if case.late:
        yield 'late_in_limit', _fraction(runs, late_in_limit)
    blamed = [run.blamed_at_verdict for run in runs]
    if case.failing:
        yield 'failed_median', statistics.median(blamed)
    else:
        yield 'slowed_median', statistics.median(blamed)
    yield 'sent_after_verdict', sum(run.after_verdict for run in runs)


def _is_met(measure: str, value: float) -> bool | None:
    limit = _TARGETS.get(measure)
    if limit is None:
        return None
    if measure in ('done_in_time', 'taken_back', 'mild_taken_back'):
        return value >= limit
    if measure == 'late_in_limit':
        return value >= limit
    return value <= limit


def run() -> Iterable[rows.Row]:
    """Run all cases and yield their rows."""
    with futures.ProcessPoolExecutor(_WORKERS) as pool:
        started = [
            (case, start_case(case, MOVES_PER_CASE, pool))
            for case in sites.CASES
        ]
        for case, pairs in started:
            yield from case_rows(case, list(pairs))


def case_rows(
    case: sites.Case, pairs: list[tuple[move_runs.Run, move_runs.Run]]
) -> Iterator[rows.Row]:
    """Yield the rows of one case with the values of the baseline."""
    measured = figures(case, [pair[0] for pair in pairs])
    naive = figures(case, [pair[1] for pair in pairs])
    seeds = f'0-{len(pairs) - 1}'
    for (name, value), (_, baseline) in zip(measured, naive):
        yield rows.Row(
            measure=f'moves.{name}',
            value=round(value, 4),
            unit=_unit(name),
            baseline=round(baseline, 4),
            seed=seeds,
            case=case.name,
            target=_TARGETS.get(name),
            met=_is_met(name, value),
        )


def _unit(measure: str) -> str:
    if measure in ('failed_median', 'slowed_median', 'sent_after_verdict'):
        return 'requests'
    return 'fraction'
