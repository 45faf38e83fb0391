"""Measures routing and subsets: ``python -m bench.routing``."""

from __future__ import annotations

from collections import abc
import itertools
import time

from bench import attempt_runs
from bench import prefix_runs
from bench import rows
from bench import spread_runs
from godwitvalve.engine import port as engine_port
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results
from godwitvalve.routing import router as routers
from godwitvalve.routing import subset

SEEDS = (1, 2, 3)
SUBSET_SIZES = (8, 20, 40)
GROUP_SIZES = (4, 12, 20, 100, 323, 1000)

_ATTEMPT_CASES = {
    'one of 4 domains refuses': attempt_runs.AttemptRun(0, 'fd-1'),
    'one of 4 domains is silent': attempt_runs.AttemptRun(0, 'fd-1', True),
    'half of all attempts fail': attempt_runs.AttemptRun(0, failing=0.5),
    'one domain refuses, 20% of the others fail': attempt_runs.AttemptRun(
        0, 'fd-1', failing=0.2
    ),
}


def _attempts() -> abc.Iterator[rows.Row]:
    for case, run in _ATTEMPT_CASES.items():
        variants = {
            '': run,
            'without budget': run._replace(budgeted=False),
            'without health': run._replace(health_checked=False),
            'without budget and health': run._replace(
                budgeted=False, health_checked=False
            ),
        }
        for baseline, variant in variants.items():
            for seed in SEEDS:
                result = attempt_runs.simulate(variant._replace(seed=seed))
                yield rows.Row(
                    'attempts per request',
                    result.attempts,
                    'attempts',
                    baseline,
                    seed,
                    case,
                )
                yield rows.Row(
                    'requests answered',
                    result.succeeded,
                    'share',
                    baseline,
                    seed,
                    case,
                )


def _spread_rows(
    measure: str,
    spread: spread_runs.Spread,
    baseline: str,
    seed: int | None,
    case: str,
) -> abc.Iterator[rows.Row]:
    for part, value in spread._asdict().items():
        yield rows.Row(
            f'{measure} {part}', value, 'of mean', baseline, seed, case
        )


def _subsets() -> abc.Iterator[rows.Row]:
    picks: dict[str, spread_runs.Choose] = {
        '': subset.subset,
        'slices by entry number': spread_runs.slice_by_number,
    }
    for size in SUBSET_SIZES:
        case = f'420 entries, 7100 endpoints, 22 models, {size} a model'
        for baseline, pick in picks.items():
            counts = [
                count
                for model in range(spread_runs.MODELS)
                for count in spread_runs.entries_by_endpoint(pick, size, model)
            ]
            spread = spread_runs.spread_of(counts)
            yield from _spread_rows(
                'entries an endpoint', spread, baseline, None, case
            )
            yield rows.Row(
                'moved by a replaced endpoint',
                spread_runs.moved_by_endpoint(pick, size),
                'of connections',
                baseline,
                None,
                case,
            )
            yield rows.Row(
                'moved by a replaced entry',
                spread_runs.moved_by_entry(pick, size),
                'of connections',
                baseline,
                None,
                case,
            )


def _loads() -> abc.Iterator[rows.Row]:
    cases = {
        f'one of 22 models at full load, {size} endpoints an entry': (
            spread_runs.full_size(size)
        )
        for size in SUBSET_SIZES
    }
    cases['6 entries, 12 endpoints, 8 streams each'] = spread_runs.Site(
        6, 12, 12, 8.0
    )
    cases['6 entries, 12 endpoints, 2 streams each'] = spread_runs.Site(
        6, 12, 12, 2.0
    )
    for case, site in cases.items():
        for baseline, reported in (('', True), ('without reports', False)):
            spread = spread_runs.LoadRun(1, site, reported).run()
            yield from _spread_rows(
                'streams an endpoint', spread, baseline, 1, case
            )


def _prefixes() -> abc.Iterator[rows.Row]:
    for streams, near in itertools.product((2.0, 8.0), (True, False)):
        domain = 'near domain first' if near else 'all domains alike'
        case = f'6 entries, 12 endpoints, {streams:.0f} streams, {domain}'
        for baseline, hinted in (('', True), ('without hint', False)):
            for seed in SEEDS:
                run = prefix_runs.PrefixRun(seed, streams, hinted, near)
                result = run.run()
                yield rows.Row(
                    'prefix hits', result.hits, 'share', baseline, seed, case
                )
                yield rows.Row(
                    'requests of the busiest endpoint',
                    result.busiest_load,
                    'of mean',
                    baseline,
                    seed,
                    case,
                )


def _router(count: int) -> routers.Router:
    router = routers.Router('entry-1', 'fd-1')
    router.update_endpoints(
        (
            endpoint_model.Endpoint(
                f'e{index}',
                '',
                f'fd-{index % 8 + 1}',
                'summaries',
                'v1',
                True,
            )
            for index in range(count)
        ),
        0.0,
    )
    return router


def _time_us(call: abc.Callable[[], None], repeats: int) -> float:
    """Return the shortest mean time of a call among five rounds."""
    best_s = float('inf')
    for _ in range(5):
        started_s = time.perf_counter()
        for _ in range(repeats):
            call()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s / repeats * 1e6


def _costs() -> abc.Iterator[rows.Row]:
    request = choose.RouteRequest(
        'summaries', 'v1', prefix_hint='month of May'
    )
    report = engine_port.LoadReport(1, 2, 'live', 'v1', 0.0)
    for count in GROUP_SIZES:
        router = _router(count)

        def acquire_and_release(router: routers.Router = router) -> None:
            chosen = router.acquire(request, 1.0)
            assert isinstance(chosen, endpoint_model.Endpoint)
            router.release(chosen.endpoint_id, results.Succeeded(), 1.0)

        def report_load(router: routers.Router = router) -> None:
            router.report_load('e0', report, 1.0)

        repeats = max(20, 20_000 // count)
        case = f'{count} endpoints of one version'
        yield rows.Row(
            'acquire and release',
            _time_us(acquire_and_release, repeats),
            'us',
            '',
            None,
            case,
        )
        yield rows.Row(
            'load report', _time_us(report_load, repeats), 'us', '', None, case
        )


def run() -> abc.Iterator[rows.Row]:
    """Yield the rows of all measurements."""
    yield from _attempts()
    yield from _subsets()
    yield from _loads()
    yield from _prefixes()
    yield from _costs()


if __name__ == '__main__':
    rows.print_rows(run())
