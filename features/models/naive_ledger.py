"""Naive ledger, to which the ledger of the product is compared."""

from __future__ import annotations

from godwitvalve.idempotency import keys
from godwitvalve.idempotency import ledger
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from hypothesis import strategies

OUTCOMES = (
    outcome.Completed(200, (), b'done'),
    outcome.NotRun(codes.ResultCode.CONNECT_FAILED),
    outcome.Unknown(codes.ResultCode.OUTCOME_UNKNOWN),
)
# Each key has a fixed expiry time, like an issued key.
EXPIRES_S = {'key-0': 5.0, 'key-1': 20.0, 'key-2': 40.0}
_NAMES = strategies.sampled_from(sorted(EXPIRES_S))
EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('begin'), _NAMES, strategies.sampled_from('xy')
        ),
        strategies.tuples(
            strategies.just('finish'),
            _NAMES,
            strategies.sampled_from(OUTCOMES),
        ),
        strategies.tuples(
            strategies.just('clock'),
            strategies.just(''),
            strategies.floats(-10, 30),
        ),
    ),
    max_size=40,
)


class NaiveLedger:
    """Ledger that searches its list of all events for each decision.

    Its clock is the newest time that it was given.
    """

    def __init__(self):
        self.events = []
        self.latest_s = 0.0

    def _events_of(self, name):
        return [event for event in self.events if event[1] == name]

    def begin(self, name, digest, now_s):
        self.latest_s = max(self.latest_s, now_s)
        history = self._events_of(name)
        is_running = bool(history) and history[-1][0] == 'run'
        is_expired = self.latest_s >= EXPIRES_S[name]
        if is_expired and not is_running:
            return ledger.Refuse(codes.ResultCode.KEY_EXPIRED)
        if history and history[0][2] != digest:
            return ledger.Refuse(codes.ResultCode.KEY_BODY_MISMATCH)
        if is_running:
            return ledger.Wait()
        for kind, _, result in history:
            if kind == 'end' and not isinstance(result, outcome.NotRun):
                return ledger.Replay(result)
        self.events.append(('run', name, digest))
        return ledger.Run(is_retry=bool(history))

    def finish(self, name, result):
        history = self._events_of(name)
        if history and history[-1][0] == 'run':
            self.events.append(('end', name, result))


def compare(events):
    """Apply the same events to both ledgers and compare their decisions."""
    product = ledger.IdempotencyLedger()
    naive = NaiveLedger()
    now_s = 0.0
    for kind, name, value in events:
        scope = keys.KeyScope('portal', name)
        match kind:
            case 'clock':
                now_s = max(0.0, now_s + value)
            case 'begin':
                expected = naive.begin(name, value, now_s)
                found = product.begin(scope, value, EXPIRES_S[name], now_s)
                assert found == expected, (found, expected)
            case 'finish':
                naive.finish(name, value)
                product.finish(scope, value)
