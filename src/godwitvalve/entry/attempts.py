"""Reports ended attempts to the router and to the evidence of moves."""

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
# Reasons of a lost stream that do not indicate a fault of the endpoint or
# of its version.
_NEUTRAL_REASONS = frozenset(
    ('leaving', 'superseded', 'stream_gone', 'version_mismatch', 'refused')
)


def classify_generation(
    result: plan.AssignmentResult,
) -> results.AttemptResult:
    """Return the result of an ended stream for its endpoint's health."""
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
    """Return the result of an ended call for its endpoint's health."""
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
    """Return whether a result counts as a failure of the version.

    :returns: None if it counts neither as a success nor as a failure.
    """
    match result:
        case results.Succeeded():
            return False
        case results.Cancelled() | results.Leaving():
            return None
    return True


class AttemptRecorder:
    """Records the result of each attempt at an endpoint."""

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
        """Record the end of an attempt and release its endpoint.

        The endpoint was acquired by ``Router.acquire`` or ``Router.claim``.

        :param load: outstanding requests of the endpoint when the attempt
            started.
        :param share_class: class of the version's share when the version was
            chosen.
        :param time_s: seconds of a call, or seconds per output token of a
            generation; None if not measured.
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
    """Return the key of the evidence about an endpoint and a route."""
    return evidence_rows.CellKey(
        endpoint.service,
        endpoint.version,
        route,
        endpoint.failure_domain,
        endpoint.endpoint_id,
        share_class,
    )
