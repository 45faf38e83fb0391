"""Explains where a request would go now; nothing changes by it."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import random
from typing import TypeAlias

from aiohttp import web
import msgspec

from godwitvalve.admission import decision
from godwitvalve.explanation import candidates
from godwitvalve.explanation import model
from godwitvalve.fleet import routes
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import stream_state
from godwitvalve.forwarding import stream_turns
from godwitvalve.forwarding import streams
from godwitvalve.ingress import deadlines
from godwitvalve.ingress import request_reader
from godwitvalve.outcomes import codes
from godwitvalve.platform import headers as wire
from godwitvalve.queueing import fair_queue

# A question fits into a few packets.
READ_LIMIT_S = 1.0

Accepts: TypeAlias = abc.Callable[
    [routes.Route, wire.CallerFacts, float], bool
]


class _Unanswerable(Exception):
    """A question without an answer."""

    def __init__(self, status: int, problem: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.problem = model.Problem(problem, message)


class _NoSink:
    """Sink of a stream that is never sent."""

    async def start(self, head: exchanges.AnswerHead) -> None:
        """Do nothing."""

    async def send(self, content: bytes) -> None:
        """Do nothing."""


class RouteExplainer:
    """Answers questions by the code that decides on requests.

    That code runs on copies of what it changes: statistics of endpoints,
    the queue, times of return and the random generator.

    :param accepts: tells whether a request that arrives is accepted.
    """

    def __init__(
        self, context: contexts.ForwardingContext, accepts: Accepts
    ) -> None:
        self._context = context
        self._accepts = accepts

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a question in JSON."""
        try:
            content = await _read(request)
            answer = self.explain(_decode(content))
        except _Unanswerable as error:
            return _json(error.problem, error.status)
        return _json(answer, 200)

    def explain(self, question: model.Question) -> model.Explanation:
        """Return where a request would go now.

        :raises _Unanswerable: if the host, the route or the account is not
            known, or there is no configuration.
        """
        configuration = self._context.state.configuration
        if configuration is None:
            raise _Unanswerable(503, 'not ready', 'No configuration yet.')
        route = _find_route(configuration, question)
        account = _find_account(configuration, route, question)
        total = sum(each.weight for each in route.services) or 1.0
        return model.Explanation(
            route.name,
            route.kind.value,
            account.name if account else '',
            route.objective_ms / 1000,
            configuration.version,
            tuple(
                self._explain_service(
                    each.service,
                    round(each.weight / total, candidates.DIGITS),
                    route,
                    account,
                    _facts(question),
                )
                for each in route.services
            ),
        )

    def _explain_service(
        self,
        service: str,
        weight: float,
        route: routes.Route,
        account: routes.AccountConfig | None,
        facts: wire.CallerFacts,
    ) -> model.ServiceExplanation:
        now_s = asyncio.get_running_loop().time()
        context = dataclasses.replace(
            self._context,
            endpoint_tracker=self._context.endpoint_tracker.copy(),
            admission=self._context.admission.copy(service),
            rng=random.Random(),
        )
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        is_stream = route.kind is routes.RequestKind.STREAM
        routed = calls.RoutedRequest(
            exchanges.CallerRequest('POST', '', (), b'', facts),
            route,
            service,
            account.name if account else '',
            priority if is_stream else None,
            deadlines.answer_by_s(route, facts, now_s),
        )
        situation = self._situation(context, service, is_stream, now_s)
        if is_stream:
            state = stream_state.StreamState(
                context, routed, _NoSink(), in_flight.RequestInFlight()
            )
            # Retries use the old version, which is explained.
            state.draw = 1.0
            turn = stream_turns.StreamTurn(state)
            assessment = turn.assess()
            situation = situation._replace(
                session_endpoint=context.sessions.find(facts.session, now_s),
                savings=state.prompt.savings(),
                rooms=assessment.rooms,
                bound_s=assessment.bound_s,
            )
            outcome = _stream_outcome(context, routed, state, turn, assessment)
        else:
            outcome = _call_outcome(context, routed)
        if not self._accepts(route, facts, now_s):
            outcome = _refusal(
                codes.ResultCode.DRAINING,
                request_reader.DRAINING_RETRY_AFTER_S,
            )
        elif outcome.action == 'send' and not situation.usable():
            outcome = _no_endpoint(context, situation)
        return model.ServiceExplanation(
            service,
            weight,
            outcome,
            candidates.weigh(situation),
            candidates.excluded(situation),
        )

    def _situation(
        self,
        context: contexts.ForwardingContext,
        service: str,
        is_stream: bool,
        now_s: float,
    ) -> candidates.Situation:
        registry = context.state.registry
        listed = [each for each in registry.all() if each.service == service]
        old = context.candidates(service, 1.0)
        return candidates.Situation(
            is_stream,
            now_s,
            context.failure_domain,
            listed,
            {
                each.endpoint_id: registry.state_of(each.endpoint_id).value
                for each in listed
            },
            old,
            context.candidates(service, 0.0),
            context.endpoint_tracker,
            context.remote_placements(),
            context.limiter.view(old, False, now_s),
            context.work_factors.at(service, now_s),
        )


def _find_route(
    configuration: routes.Configuration, question: model.Question
) -> routes.Route:
    host = question.host.partition(':')[0]
    if not configuration.has_host(host):
        raise _Unanswerable(404, 'host', f'No route has the host {host}.')
    route = configuration.route(host, question.path.partition('?')[0])
    if route is None:
        raise _Unanswerable(
            404, 'route', f'No route of {host} has the path {question.path}.'
        )
    return route


def _find_account(
    configuration: routes.Configuration,
    route: routes.Route,
    question: model.Question,
) -> routes.AccountConfig | None:
    account = configuration.account_named(question.account)
    if question.account and account is None:
        raise _Unanswerable(
            404,
            'account',
            f'No client account has the name {question.account}.',
        )
    if route.is_public or not configuration.requires_key:
        return None
    if account is None:
        raise _Unanswerable(
            404, 'account', f'Route {route.name} needs a client account.'
        )
    return account


def _facts(question: model.Question) -> wire.CallerFacts:
    segments = tuple(
        wire.PromptSegment(each.segment_id, each.tokens)
        for each in question.segments
    )
    ids = [each.segment_id for each in segments]
    return wire.CallerFacts(
        '',
        None,
        '',
        0,
        question.prompt_tokens,
        question.output_tokens,
        ids[-1] if ids else '',
        tuple(ids[:-1]),
        segments,
    )


def _stream_outcome(
    context: contexts.ForwardingContext,
    routed: calls.RoutedRequest,
    state: stream_state.StreamState,
    turn: stream_turns.StreamTurn,
    assessment: stream_turns.Assessment,
) -> model.Outcome:
    """Return what would happen to a stream, in the order of its checks."""
    if not streams.can_meet_deadline(context, routed, state):
        return _refusal(
            codes.ResultCode.DEADLINE_BEFORE_SEND, policy.FULL_RETRY_AFTER_S
        )
    if state.time_to_admission_s() > 0:
        return _refusal(
            codes.ResultCode.PROMPT_QUARANTINED, state.time_to_admission_s()
        )
    match assessment.decision:
        case decision.Send():
            return model.Outcome('send')
        case decision.Wait(expected_s):
            return model.Outcome(
                'wait', expected_s=round(expected_s, candidates.DIGITS)
            )
        case decision.Refuse(reason) as refused:
            return _refusal(
                codes.ResultCode.OVERLOADED,
                turn.retry_after_s(refused, assessment.rate_per_s),
                reason.value,
            )


def _call_outcome(
    context: contexts.ForwardingContext, routed: calls.RoutedRequest
) -> model.Outcome:
    admission = context.turns.expected(
        routed.service,
        routed.account,
        routed.deadline_s - policy.MIN_ATTEMPT_S,
    )
    match admission:
        case fair_queue.Started():
            return model.Outcome('send')
        case fair_queue.Queued(expected_s):
            return model.Outcome(
                'queue', expected_s=round(expected_s, candidates.DIGITS)
            )
        case fair_queue.Refused(wait_s):
            refused: replies.Refusal = calls.turn_refusal(
                context, routed, wait_s
            )
            return _refusal(refused.code, refused.retry_after_s)


def _no_endpoint(
    context: contexts.ForwardingContext, situation: candidates.Situation
) -> model.Outcome:
    wait_s = context.limiter.permit_in_s(
        situation.old_version, situation.now_s
    )
    if wait_s is None:
        return _refusal(
            codes.ResultCode.NO_ENDPOINT, policy.NO_ENDPOINT_RETRY_AFTER_S
        )
    # Callers are told later times, one after the other.
    return _refusal(codes.ResultCode.ENDPOINT_LIMITS, wait_s, 'at least')


def _refusal(
    code: codes.ResultCode, retry_after_s: float, reason: str = ''
) -> model.Outcome:
    return model.Outcome(
        'refuse',
        code=code.name,
        reason=reason,
        retry_after_s=round(retry_after_s, candidates.DIGITS),
    )


async def _read(request: web.BaseRequest) -> bytes:
    size_bytes = request.content_length
    if request.method != 'POST' or size_bytes is None:
        raise _Unanswerable(400, 'invalid', 'A POST with a length is needed.')
    if size_bytes > model.MAX_QUESTION_BYTES:
        raise _Unanswerable(413, 'invalid', 'The question is too long.')
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            return await request.read()
    except asyncio.TimeoutError as error:
        raise _Unanswerable(408, 'invalid', 'Incomplete question.') from error


def _decode(content: bytes) -> model.Question:
    try:
        return msgspec.json.decode(content, type=model.Question)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _Unanswerable(400, 'invalid', str(error)) from error


def _json(content: msgspec.Struct, status: int) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type='application/json',
    )
