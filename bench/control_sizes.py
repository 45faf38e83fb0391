"""Measures the size and cost of control messages without processes.

Each client account has demand at nine entries, since address responses
distribute its requests over that many. ``python -m bench.control_sizes``
"""

from __future__ import annotations

from collections import abc
import time

from bench import rows
from godwitvalve.configuration import last_seen_table
from godwitvalve.configuration import tracker
from godwitvalve.entry import freshness
from godwitvalve.limits import shares
from godwitvalve.peers import messages
from godwitvalve.peers import overlay
import msgpack

SIZES = (9, 60, 420)
ACCOUNTS = (0, 1, 10)
ENTRIES_PER_ACCOUNT = 9
REPEATS = 50
# Time without reports after which an entry considers the others as not running
# and uses its base share.
_NO_REPORTS_S = 26
_WARM_UP_S = _NO_REPORTS_S + 4


def run() -> abc.Iterator[rows.Row]:
    """Yield the rows for each number of entries."""
    for count in SIZES:
        names = [f'entry-{number:03d}' for number in range(count)]
        yield from _ages(names)
        for accounts in ACCOUNTS:
            yield from _demand(names, accounts)


def _ages(names: list[str]) -> abc.Iterator[rows.Row]:
    tracked = tracker.ConfigurationTracker(names[0])
    tracked.set_listed(names)
    exchange = freshness.FreshnessExchange(tracked)
    for index, name in enumerate(names):
        report = tracker.PeerFreshness(name, 1, 1.0, index % 8)
        tracked.apply_peer_report(report, 100.0)
    neighbours = sorted(overlay.choose_peers(names[0], set(names[1:])))
    started_s = time.process_time()
    for _ in range(REPEATS):
        found = exchange.messages_for(neighbours, 100.0)
        for name, message in found:
            exchange.handle_message(name, message, 100.0)
    elapsed_s = (time.process_time() - started_s) / REPEATS
    size = sum(len(messages.encode(message)) for _, message in found)
    by_name = last_seen_table.EncodedAges(
        *tracked.last_seen.encode_by_name(100.0)
    )
    case = f'{len(names)} entries'
    yield rows.Row('ages_bytes_out', size, 'B/s', '', None, case)
    yield rows.Row('ages_cpu', 100 * elapsed_s, '% of a core', '', None, case)
    yield rows.Row(
        'ages_by_name', len(msgpack.packb(by_name)), 'B', '', None, case
    )


def _demand(names: list[str], accounts: int) -> abc.Iterator[rows.Row]:
    """Measure the report of one entry that receives those of all others."""
    tables = {name: shares.AccountShares(name, 1, 0.0) for name in names}
    demands: dict[str, dict[str, float]] = {name: {} for name in names}
    for number in range(accounts):
        account = f'account-{number:03d}'
        for name in overlay.rendezvous(account, names, ENTRIES_PER_ACCOUNT):
            demands[name][account] = 1.0 / ENTRIES_PER_ACCOUNT
    reporter = tables[names[0]]
    for now_s in range(_WARM_UP_S):
        for table in tables.values():
            table.update_members(names, now_s, now_s)
        reporter.make_report(demands[names[0]], now_s)
        for name in names[1:]:
            report = tables[name].make_report(demands[name], now_s)
            if now_s >= _NO_REPORTS_S:
                reporter.receive(report, now_s)
    started_s = time.process_time()
    report = reporter.make_report(demands[names[0]], _WARM_UP_S - 1.0)
    elapsed_s = time.process_time() - started_s
    case = f'{len(names)} entries, {accounts} accounts'
    size = len(msgpack.packb(report))
    yield rows.Row('demand_report', size, 'B', '', None, case)
    yield rows.Row(
        'demand_grants', len(report.grants), 'loans', '', None, case
    )
    yield rows.Row('demand_make', 1000 * elapsed_s, 'ms', '', None, case)


if __name__ == '__main__':
    rows.print_rows(run())
