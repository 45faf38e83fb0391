"""Verdict on a move from the evidence of its monitor."""

from __future__ import annotations

from godwitvalve.moves import blocks
from godwitvalve.moves import monitoring
from godwitvalve.moves import move

# Fractions of the planned time: from the first one the move is done unless a
# symptom is being examined, from the second one also despite a symptom.
_EARLIEST_DONE_FRACTION = 0.93
_LATEST_DONE_FRACTION = 0.985
# At the end, this fraction of the limit is enough to take a version back. By
# Markov's inequality a good one is taken back in at most 1 of 100 moves.
_FINAL_LIMIT_FACTOR = 0.5
_MIN_ATTEMPTS = 50


def judge(
    moving: move.Move,
    monitor: monitoring.MoveMonitor,
    now_wall_s: float,
    new_replicas: int,
    verdict: move.Verdict = move.Verdict.MOVING,
) -> move.Judgement:
    """Return whether the move continues, is taken back or is done.

    The probability that a good version is taken back by chance is at most
    ``monitoring.FALSE_ALARM_RATE`` over the whole move and the time after it,
    however often it is judged (Ville's inequality, see ``betting``), and at
    most twice that with the lower limit at the end of the move. This holds
    if at most one endpoint or one failure domain has faults of its own.

    :param new_replicas: number of endpoints of the new version.
    """
    if verdict is move.Verdict.TAKEN_BACK:
        return move.TakeBack('taken back before')
    conclusive = monitor.conclusive_findings(single=new_replicas <= 1)
    if conclusive:
        worst = max(conclusive, key=lambda found: found.e_value)
        return move.TakeBack(_describe(worst.kind, worst.min_e_value()))
    if verdict is move.Verdict.DONE:
        return move.Continue('watched until the old version is retired')
    return _at_end(moving, monitor, now_wall_s)


def _at_end(
    moving: move.Move, monitor: monitoring.MoveMonitor, now_wall_s: float
) -> move.Judgement:
    fraction = moving.fraction(now_wall_s)
    if fraction < _EARLIEST_DONE_FRACTION:
        return move.Continue('moving')
    if fraction < _LATEST_DONE_FRACTION and monitor.has_symptom(now_wall_s):
        return move.Continue('a change is examined')
    worst = monitor.strongest()
    if worst and fraction >= _LATEST_DONE_FRACTION:
        if worst.min_e_value() >= _FINAL_LIMIT_FACTOR * worst.limit:
            return move.TakeBack(_describe(worst.kind, worst.min_e_value()))
    return move.Done(_done_reason(monitor))


def _done_reason(monitor: monitoring.MoveMonitor) -> str:
    requests = f'{monitor.new_attempts} requests'
    if monitor.new_attempts >= _MIN_ATTEMPTS:
        return f'no worse than the old version in {requests}'
    return (
        f'evidence is thin: only {requests} were seen and none of it '
        'speaks against the new version'
    )


def _describe(kind: blocks.Kind, e_value: float) -> str:
    what = 'fails' if kind.event == blocks.FAILED else 'is slow'
    where = f' on route {kind.route}' if kind.route else ''
    return (
        f'the new version {what}{where} more often than the old one in '
        f'the same domain and minute (evidence {e_value:.0f} to 1)'
    )
