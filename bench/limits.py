"""Measures limits of client accounts: ``python -m bench.limits``."""

from __future__ import annotations

from collections import abc
import statistics
import time

import msgpack  # type: ignore[import-untyped, unused-ignore]

from bench import limit_runs
from bench import queue_runs
from bench import rows
from bench import share_network
from godwitvalve.limits import queue
from godwitvalve.limits import shares

SEEDS = (1, 2, 3)
ENTRIES = 6
# Load offered to each entry, as a fraction of the limit. ``SKEWED`` and
# ``EVEN`` add up to twice the limit.
SKEWED = (1.5, 0.1, 0.1, 0.1, 0.1, 0.1)
EVEN = (0.34, 0.33, 0.33, 0.33, 0.33, 0.34)
LIGHT = (0.7, 0.02, 0.02, 0.02, 0.02, 0.02)

_VARIANTS: dict[str, share_network.MakeShares] = {
    '': shares.AccountShares,
    'limit / listed entries': limit_runs.EqualShares,
    'proportional without leases': limit_runs.ProportionalShares,
}


def _no_faults(run: limit_runs.LimitRun) -> None:
    """Inject no faults into the network."""


def _lossy(run: limit_runs.LimitRun) -> None:
    run.network.faults.loss = 0.1
    run.network.faults.delay_s = 0.2


def _replace_entries(
    run: limit_runs.LimitRun,
) -> dict[float, abc.Callable[[], None]]:
    return {at_s: run.replace_one for at_s in range(5, 180, 15)}


def _partition_half(
    run: limit_runs.LimitRun,
) -> dict[float, abc.Callable[[], None]]:
    network = run.network
    return {
        20.0: lambda: network.isolate(sorted(network.entries)[:3]),
        100.0: network.heal,
    }


def _no_scheduled_faults(
    run: limit_runs.LimitRun,
) -> dict[float, abc.Callable[[], None]]:
    return {}


_CASES = {
    'no faults, one busy entry': (SKEWED, _no_faults, _no_scheduled_faults),
    'no faults, even load': (EVEN, _no_faults, _no_scheduled_faults),
    'no faults, 0.8 of the limit, one busy entry': (
        LIGHT,
        _no_faults,
        _no_scheduled_faults,
    ),
    'entry replaced every 15 s, 10% loss, 0.2 s delay': (
        SKEWED,
        _lossy,
        _replace_entries,
    ),
    'cut in half for 80 s, 10% loss, 0.2 s delay': (
        SKEWED,
        _lossy,
        _partition_half,
    ),
}


def _shares() -> abc.Iterator[rows.Row]:
    for case, (load, inject, schedule) in _CASES.items():
        for baseline, make_shares in _VARIANTS.items():
            for seed in SEEDS:
                run = limit_runs.LimitRun(seed, make_shares, load)
                inject(run)
                result = run.run(schedule(run))
                yield rows.Row(
                    'most admitted in a second',
                    result.worst_window,
                    'of limit',
                    baseline,
                    seed,
                    case,
                )
                yield rows.Row(
                    'admitted', result.mean, 'of limit', baseline, seed, case
                )


def _flood() -> abc.Iterator[rows.Row]:
    case = 'large account offers 5 times the capacity'
    for seed in SEEDS:
        variants: dict[str, queue_runs.Queue] = {
            '': queue.AdmissionQueue(0.0),
            'first come, first served': queue_runs.FirstComeFirstServed(),
        }
        for baseline, policy in variants.items():
            result = queue_runs.FloodRun(seed, policy).run()
            waits_s = sorted(result.waits_s)
            figures = {
                'small wait p50': (statistics.median(waits_s), 's'),
                'small wait p95': (waits_s[int(0.95 * len(waits_s))], 's'),
                'small refused': (result.rejected, 'share'),
                'small late': (result.late, 'share'),
                'large refused': (result.large_rejected, 'share'),
                'large late': (result.large_late, 'share'),
            }
            for measure, (value, unit) in figures.items():
                yield rows.Row(measure, value, unit, baseline, seed, case)


def _costs() -> abc.Iterator[rows.Row]:
    sizes = ((6, 10, 10), (9, 10, 10), (8, 16, 16), (9, 830, 830), (9, 830, 8))
    for entries, accounts, busy_accounts in sizes:
        case = f'{entries} entries, {accounts} accounts, {busy_accounts} busy'
        network = share_network.ShareNetwork(1, shares.AccountShares)
        for number in range(entries):
            network.start(f'entry-{number:03}')
        for index, entry in enumerate(network.entries.values()):
            busy = 0.9 if index == 0 else 0.01
            entry.demands = {
                f'acct-{n:03}': busy if n < busy_accounts else 0.01
                for n in range(accounts)
            }
        for _ in network.run(5.0):
            pass
        borrower = network.entries['entry-000']
        now_s = borrower.clock_s(network.now_s)
        started_s = time.perf_counter()
        for _ in range(1000):
            borrower.shares.share('acct-001', now_s)
        elapsed_s = time.perf_counter() - started_s
        yield rows.Row('share', elapsed_s * 1e3, 'us', '', None, case)
        lender = network.entries['entry-001']
        now_s = lender.clock_s(network.now_s)
        started_s = time.perf_counter()
        for _ in range(10):
            report = lender.shares.make_report(lender.demands, now_s)
        elapsed_s = time.perf_counter() - started_s
        yield rows.Row('make_report', elapsed_s * 1e5, 'us', '', None, case)
        size = len(msgpack.packb(report))
        yield rows.Row('report', float(size), 'bytes', '', None, case)


def run() -> abc.Iterator[rows.Row]:
    """Yield the rows of all measurements."""
    yield from _shares()
    yield from _flood()
    yield from _costs()


if __name__ == '__main__':
    rows.print_rows(run())
