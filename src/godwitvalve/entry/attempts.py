"""Turns ended attempts into health, evidence and metrics."""

from __future__ import annotations

from godwitvalve.entry import context as contexts
from godwitvalve.generations import plan
from godwitvalve.moves import evidence_rows
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results

COMPLETIONS_ROUTE = 'POST /v1/completions'
SERVER_ERROR_STATUS = 500
# Losses that say nothing about the version or the health of the engine.
_NEUTRAL_REASONS = frozenset(
    ('leaving', 'superseded', 'stream_gone', 'version_mismatch', 'refused')
)


def classify_generation(
    result: plan.AssignmentResult,
) -> results.AttemptResult:
    """Return what an ended stream says about its endpoint."""
    match result.outcome, result.reason:
        case 'finished', _:
            return results.Succeeded()
        case 'lost', 'leaving':
            return results.Leaving()
        case 'lost', 'connect':
            return results.ConnectFailed(refused=False)
        case 'lost', 'silent':
            return results.Unresponsive()
        case 'lost', 'failed':
            return results.Failed()
        case 'lost', reason if reason not in _NEUTRAL_REASONS:
            return results.ConnectionLost()
    return results.Cancelled()


def classify_call(outcome: outcomes.Outcome) -> results.AttemptResult:
    """Return what an ended call says about its endpoint."""
    match outcome:
        case outcomes.Completed(status, _, _):
            if status >= SERVER_ERROR_STATUS:
                return results.Failed()
            return results.Succeeded()
        case outcomes.NotRun(codes.ResultCode.CONNECT_FAILED):
            return results.ConnectFailed(refused=False)
        case outcomes.NotRun():
            return results.Cancelled()
        case outcomes.Unknown():
            return results.ConnectionLost()


def is_failure(result: results.AttemptResult) -> bool | None:
    """Tell whether a result speaks against the version.

    :returns: None if it says nothing.
    """
    match result:
        case results.Succeeded():
            return False
        case results.Cancelled() | results.Leaving():
            return None
    return True


class AttemptRecorder:
    """Records each ended attempt at an endpoint."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context

    def record(
        self,
        endpoint: endpoint_model.Endpoint,
        result: results.AttemptResult,
        route: str,
        load: int,
        share_class: int,
        time_s: float | None,
    ) -> None:
        """Record an attempt that ``Router.acquire`` began.

        :param load: outstanding requests of the endpoint at its start.
        :param share_class: class of the share when the version was chosen.
        :param time_s: seconds, or seconds per output token, if measured.
        """
        context = self._context
        now_s = context.clock.monotonic_s()
        context.router.release(endpoint.endpoint_id, result, now_s)
        failed = is_failure(result)
        if failed is None:
            return
        context.move_tracker.evidence.record(
            evidence_key(endpoint, route, share_class),
            context.clock.wall_s(),
            failed=failed,
            load=load,
            time_s=None if failed else time_s,
        )


def evidence_key(
    endpoint: endpoint_model.Endpoint, route: str, share_class: int
) -> evidence_rows.CellKey:
    """Return the key under which evidence of an endpoint is kept."""
    return evidence_rows.CellKey(
        endpoint.service,
        endpoint.version,
        route,
        endpoint.failure_domain,
        endpoint.endpoint_id,
        share_class,
    )
