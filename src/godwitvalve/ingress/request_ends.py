"""Counts and logs how requests end."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TypeAlias

from aiohttp import web

from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import streams
from godwitvalve.ingress import refusals
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.platform import headers as wire

Forwarder: TypeAlias = streams.StreamForwarder | calls.CallForwarder

_LOG = logs.get('ingress')


class RequestEnds:
    """Records the ends of requests, with their reasons."""

    def __init__(self, context: contexts.ForwardingContext) -> None:
        self._context = context

    def refuse(
        self,
        facts: wire.CallerFacts,
        code: codes.ResultCode,
        status: int,
        retry_after_s: float | None = None,
        is_scheduled: bool = False,
    ) -> web.Response:
        """Count and log a refusal, and return its answer.

        :param retry_after_s: seconds until the caller may retry.
        :param is_scheduled: whether no jitter is added to them.
        """
        self._context.counters.count_refusal(code)
        _LOG.info(
            'Refused a request.',
            extra={
                'request_id': facts.request_id,
                'code': code.name,
                'status': status,
                'configuration_version': self._context.state.version,
            },
        )
        return refusals.problem_response(
            code, status, retry_after_s, is_scheduled
        )

    def record_incomplete(
        self,
        facts: wire.CallerFacts,
        reason: replies.IncompleteReason,
        error: BaseException | None = None,
        forwarder: Forwarder | None = None,
    ) -> None:
        """Count and log a request that ends without a complete answer.

        :param forwarder: what forwarded it; None if it was not forwarded.
        """
        self._context.counters.count_incomplete(reason)
        is_own_fault = reason is replies.IncompleteReason.EXCEPTION
        _LOG.log(
            logging.INFO
            if reason is replies.IncompleteReason.CALLER_LEFT
            else logging.WARNING,
            'Request ended without a complete answer.',
            exc_info=error if is_own_fault else None,
            extra={
                'request_id': facts.request_id,
                'reason': reason.value,
                'has_left_silent': _has_left_silent(forwarder),
                **self._context.history.fields(
                    asyncio.get_running_loop().time()
                ),
            },
        )

    def log_end(
        self,
        routed: calls.RoutedRequest,
        reply: replies.Reply | None,
        reason: replies.IncompleteReason | None,
        arrived_s: float,
        forwarder: Forwarder,
    ) -> None:
        """Log the end of a request that was forwarded."""
        taken_s = asyncio.get_running_loop().time() - arrived_s
        outcome, detail = _describe_outcome(reply, reason)
        if outcome == 'answered':
            self._context.counters.observe_answer(routed.route.name, taken_s)
        _LOG.info(
            'Request ended.',
            extra={
                'request_id': routed.request.facts.request_id,
                'route': routed.route.name,
                'service': routed.service,
                'outcome': outcome,
                'detail': detail,
                'reason': _describe_reason(reply, reason),
                'taken_ms': round(taken_s * 1000, 1),
                'configuration_version': self._context.state.version,
                'limit_ms': round((routed.deadline_s - arrived_s) * 1000),
                **_forwarder_fields(forwarder),
            },
        )


def _has_left_silent(forwarder: Forwarder | None) -> bool:
    """Tell whether a stream went on from a silent endpoint."""
    match forwarder:
        case streams.StreamForwarder(times=times):
            return times.silent_count > 0
        case _:
            return False


def _forwarder_fields(forwarder: Forwarder) -> dict[str, Any]:
    match forwarder:
        case calls.CallForwarder(endpoints=tried):
            return {'endpoints': tried}
        case streams.StreamForwarder(times=times, prompt=prompt):
            return {
                'endpoints': times.endpoints,
                'speeds': times.speeds,
                'cached_tokens': prompt.cached_tokens,
                'first_event_ms': round(times.first_event_s * 1000),
                'longest_gap_ms': round(times.longest_gap_s * 1000),
                'admission_wait_ms': round(times.admission_wait_s * 1000),
            }


def _describe_outcome(
    reply: replies.Reply | None, reason: replies.IncompleteReason | None
) -> tuple[str, str]:
    match reply:
        case None if reason is replies.IncompleteReason.CALLER_LEFT:
            return 'left by its caller', ''
        case None:
            return 'interrupted', ''
        case exchanges.Answered(head):
            return 'answered', str(head.status)
        case replies.Refusal(code):
            return 'refused', code.name
        case replies.Failure(code, is_late):
            return 'late' if is_late else 'failed', code.name
        case replies.Streamed(is_complete):
            return 'streamed' if is_complete else 'broken off', ''


def _describe_reason(
    reply: replies.Reply | None, reason: replies.IncompleteReason | None
) -> str:
    match reply:
        case replies.Failure() | replies.Streamed():
            reason = reason or reply.reason
        case _:
            pass
    return reason.value if reason else ''
