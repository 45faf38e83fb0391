"""Steps for skipped demand reports."""

from __future__ import annotations

import random

import behave
from bench import share_network
from godwitvalve.limits import report_throttle
from godwitvalve.limits import shares

ACCOUNT = 'portal'
ROUNDING = 1e-9
RUNS = 12


class _RecordingNetwork(share_network.ShareNetwork):
    """Network that records the reports sent."""

    def __init__(self, seed):
        super().__init__(seed, shares.AccountShares)
        self.sent = []

    def _send(self, sender, report):
        self.sent.append((self.now_s, report))
        super()._send(sender, report)


def _fault(network, rng):
    names = sorted(network.entries)
    match rng.randrange(6):
        case 0:
            network.isolate(rng.sample(names, 2))
        case 1:
            network.heal()
        case 2:
            network.list_available = not network.list_available
        case 3:
            name = rng.choice(names)
            network.stop(name)
            network.start(name, 0.1)
        case 4:
            entry = network.entries[rng.choice(names)]
            entry.demands = {ACCOUNT: rng.choice([0.0, 0.1, 1.0])}
        case 5:
            network.faults.loss = rng.choice([0.0, 0.2])


@behave.then(
    'with idle entries under partitions, restarts and list outages the '
    'shares sum up to at most the limit'
)
def sum_within_limit(context):
    before = report_throttle.IDLE_INTERVAL_S_PER_ENTRY
    context.cleanups.append(
        lambda: setattr(report_throttle, 'IDLE_INTERVAL_S_PER_ENTRY', before)
    )
    report_throttle.IDLE_INTERVAL_S_PER_ENTRY = (
        report_throttle.MAX_IDLE_INTERVAL_S
    )
    fewest = 100.0
    for seed in range(RUNS):
        rng = random.Random(seed)
        network = _RecordingNetwork(seed)
        for number in range(5):
            network.start(f'e{number}', 0.1)
        for _ in range(12):
            _fault(network, rng)
            for _ in network.run(rng.choice([1.0, 5.0, 15.0, 30.0])):
                assert network.total(ACCOUNT) <= 1 + ROUNDING, seed
        rate = len(network.sent) / network.now_s / 5
        fewest = min(fewest, rate)
    assert fewest < 0.9, 'no report was skipped'


@behave.given(
    '{count:d} entries without demand that share limits for {for_s:g} s'
)
def idle_entries(context, count, for_s):
    context.shares = _RecordingNetwork(1)
    for number in range(count):
        context.shares.start(f'e{number}')
    for _ in context.shares.run(for_s):
        pass


def _last(network, for_s):
    return [
        report
        for at_s, report in network.sent
        if at_s >= network.now_s - for_s
    ]


@behave.then(
    'they sent at most {limit:g} reports per entry and second in the last '
    '{for_s:g} s'
)
def few_reports(context, limit, for_s):
    network = context.shares
    found = len(_last(network, for_s)) / for_s / len(network.entries)
    assert found <= limit, found


@behave.then('no report of the last {for_s:g} s contains acknowledgements')
def no_acknowledgements(context, for_s):
    assert not any(
        report.acknowledgements for report in _last(context.shares, for_s)
    )


@behave.when('one of the idle entries has demand for a full limit')
def demand_starts(context):
    context.shares.entries['e7'].demands = {ACCOUNT: 1.0}


@behave.then('within {for_s:g} s it may use more than half of the limit')
def is_lent(context, for_s):
    network = context.shares
    for _ in network.run(for_s):
        if network.share('e7', ACCOUNT) > 0.5:
            return
    raise AssertionError(network.share('e7', ACCOUNT))


@behave.when('the list of entries is unavailable for {for_s:g} s')
def list_unavailable(context, for_s):
    network = context.shares
    network.list_available = False
    context.totals = [network.total(ACCOUNT) for _ in network.run(for_s)]


@behave.then(
    'the shares of the {count:d} entries sum up to the full limit at each step'
)
def sum_is_full_limit(context, count):
    assert len(context.shares.entries) == count
    assert min(context.totals) > 1 - 1e-6, min(context.totals)
    assert max(context.totals) < 1 + ROUNDING, max(context.totals)
