"""Sends calls of plain services to endpoints, with retries."""

from __future__ import annotations

from typing import NamedTuple
import urllib.parse

from godwitvalve.entry import attempts
from godwitvalve.entry import context as contexts
from godwitvalve.idempotency import keyed_calls
from godwitvalve.moves import choice
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.services import port as service_port

MAX_ATTEMPTS = 3


class _SelectedEndpoint(NamedTuple):
    endpoint: endpoint_model.Endpoint
    share_class: int


class CallSender:
    """Sends a call to an endpoint and retries it at others.

    Any call is retried if the endpoint did not accept the connection. A
    repeatable call is also retried after an unknown outcome.
    """

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._recorder = attempts.AttemptRecorder(context)

    def bind(self, call: keyed_calls.KeyedCall) -> keyed_calls.SendFunction:
        """Return a function without parameters that sends a keyed call."""

        async def send() -> outcomes.Outcome:
            return await self.send(
                call.client_account, call.service, call.request, call.key
            )

        return send

    async def send(
        self,
        account: str,
        service: str,
        request: service_port.PlainRequest,
        key: str = '',
    ) -> outcomes.Outcome:
        """Send a call; retries are limited by the retry budget."""
        budget = self._context.retry_budget
        budget.record_first_attempt(service)
        tried: set[str] = set()
        outcome: outcomes.Outcome = outcomes.NotRun(
            codes.ResultCode.NO_ENDPOINT
        )
        seed = key.encode() or request.target.encode() + request.body
        request_hash = choice.request_hash(account, seed)
        for number in range(MAX_ATTEMPTS):
            if number and not budget.try_retry(service):
                return outcome
            picked = self._pick(service, request_hash, tried)
            if picked is None:
                return outcome
            endpoint = picked.endpoint
            if number:
                reason = _retry_reason(outcome)
                self._context.counters.count_retry(reason)
            tried.add(endpoint.endpoint_id)
            outcome = await self._attempt(picked, request)
            if not _may_retry(outcome, request.repeatable):
                return outcome
        return outcome

    def _pick(
        self, service: str, request_hash: int, tried: set[str]
    ) -> _SelectedEndpoint | None:
        context = self._context
        now_s = context.clock.monotonic_s()
        chosen = context.move_tracker.choose(service, request_hash, now_s)
        if chosen is None:
            return None
        versions = [(chosen.version, chosen.allowed)]
        if chosen.fallback:
            versions.append((chosen.fallback, None))
        if tried:
            # Retries prefer the old version, so that a faulty new version
            # fails a call at most once.
            versions.reverse()
        for version, allowed in versions:
            picked = context.router.acquire(
                choose.RouteRequest(
                    service, version, allowed, frozenset(tried)
                ),
                now_s,
            )
            if isinstance(picked, endpoint_model.Endpoint):
                return _SelectedEndpoint(picked, chosen.share_class)
        return None

    async def _attempt(
        self,
        picked: _SelectedEndpoint,
        request: service_port.PlainRequest,
    ) -> outcomes.Outcome:
        context = self._context
        endpoint = picked.endpoint
        load = context.router.outstanding(endpoint.endpoint_id)
        started_s = context.clock.monotonic_s()
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await context.plain_service.send(
                endpoint, request, outcomes.SendAttempt()
            )
            return outcome
        finally:
            ended = outcome or outcomes.NotRun(codes.ResultCode.DRAINING)
            self._recorder.record(
                endpoint,
                attempts.classify_call(ended),
                self._route(endpoint.service, request),
                load,
                picked.share_class,
                context.clock.monotonic_s() - started_s,
            )

    def _route(self, service: str, request: service_port.PlainRequest) -> str:
        configuration = self._context.configuration
        found = configuration.service(service) if configuration else None
        path = urllib.parse.unquote(request.target.partition('?')[0])
        route = found.route(request.method, path) if found else None
        return f'{route.method} {route.path}' if route else 'other'


def _may_retry(outcome: outcomes.Outcome, repeatable: bool) -> bool:
    match outcome:
        case outcomes.NotRun(codes.ResultCode.CONNECT_FAILED):
            return True
        case outcomes.Unknown():
            return repeatable
    return False


def _retry_reason(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.NotRun(code) | outcomes.Unknown(code):
            return code.name.lower()
    return 'none'
