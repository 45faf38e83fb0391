"""Handles the requests of callers."""

from __future__ import annotations

import asyncio
from collections import abc
import logging
import time
from typing import Any, NamedTuple, TypeAlias

import aiohttp
from aiohttp import web

from godwitvalve.fleet import routes
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import message_buffer
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import sockets
from godwitvalve.forwarding import streams
from godwitvalve.ingress import bodies
from godwitvalve.ingress import body_room
from godwitvalve.ingress import connections
from godwitvalve.ingress import refusals
from godwitvalve.ingress import targets
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.platform import headers as wire

# Answers are sent this long before the time limit of the route, so that they
# reach the caller in time.
ANSWER_MARGIN_S = 0.03
NOT_READY_RETRY_AFTER_S = 0.3
INTERNAL_ERROR_RETRY_AFTER_S = 0.3
DRAINING_RETRY_AFTER_S = 0.05
# Bodies in memory are sent on within tens of ms.
NO_ROOM_RETRY_AFTER_S = 0.3
# Part of a long answer that the connection to its caller copies.
ANSWER_PIECE_BYTES = 128 * 1024
# How long streams are accepted during a drain at most. How long one takes is
# an estimate, and it takes longer if it has to go on at another endpoint.
STREAM_ACCEPT_PERIOD_S = 1.2

Forwarder: TypeAlias = streams.StreamForwarder | calls.CallForwarder

_LOG = logs.get('ingress')


class Admitted(NamedTuple):
    """A request that passed the checks of its route."""

    route: routes.Route
    account: routes.AccountConfig | None


class CallerStream:
    """Relays the events of a stream to its caller.

    :param is_closing: tells whether the connection closes after the answer.
    """

    def __init__(
        self, request: web.BaseRequest, is_closing: abc.Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_closing = is_closing
        self.response: web.StreamResponse | None = None

    async def start(self, head: exchanges.AnswerHead) -> None:
        """Send status and headers."""
        self.response = web.StreamResponse(status=head.status)
        _copy_headers(self.response, head)
        if self._is_closing():
            self.response.force_close()
        if self._request.version >= aiohttp.HttpVersion11:
            self.response.enable_chunked_encoding()
        else:
            # The end of the connection ends the answer.
            self.response.force_close()
        await self.response.prepare(self._request)

    async def send(self, content: bytes) -> None:
        """Send complete events."""
        assert self.response is not None
        await self.response.write(content)

    def abort(self) -> None:
        """Reset the connection, which marks the answer as incomplete.

        Without a reset, an answer that has no chunks would look complete.
        """
        if self._request.transport is not None:
            sockets.reset(self._request.transport)


def _copy_headers(
    response: web.StreamResponse, head: exchanges.AnswerHead
) -> None:
    for name, value in wire.to_caller(head.headers):
        response.headers.add(name, value)


class _LongAnswer(web.StreamResponse):
    """Complete answer that is written without a further copy.

    :param content: its body.
    """

    def __init__(self, status: int, content: memoryview) -> None:
        super().__init__(status=status)
        self.content_length = len(content)
        self._content = content

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the body as the caller reads it."""
        for begin in range(0, len(self._content), ANSWER_PIECE_BYTES):
            await self.write(self._content[begin:][:ANSWER_PIECE_BYTES])
        await super().write_eof(data)


class _UnreadAnswer:
    """Holds the memory of an answer that its caller has not read.

    :param count: counts an answer that is given up.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        count: abc.Callable[[replies.IncompleteReason], None],
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._count = count

    def abort_for_memory(self) -> None:
        """Reset the connection of the caller, as it reads too slowly."""
        self._count(replies.IncompleteReason.MEMORY)
        _LOG.warning(
            'Gave up an answer that its caller had not read.',
            extra={'request_id': self._request_id},
        )
        if self._request.transport is not None:
            sockets.reset(self._request.transport)


class IngressHandler:
    """Serves the requests of all caller connections."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._stop: drain.StopSchedule | None = None
        self._is_interrupting = False
        self._pending: set[in_flight.RequestInFlight] = set()

    def begin_drain(self, stop: drain.StopSchedule) -> None:
        """Refuse what can't end before the stop.

        Streams are refused soon, and calls once cached addresses expired.
        """
        self._stop = stop
        self._lifecycle.begin_drain(stop.began_s)

    def shorten_drain(self, stop: drain.StopSchedule) -> None:
        """Use earlier deadlines in a drain that has begun."""
        self._stop = stop

    def begin_interrupting(self) -> None:
        """Take requests that are cancelled from now on as interrupted."""
        self._is_interrupting = True

    @property
    def pending(self) -> abc.Collection[in_flight.RequestInFlight]:
        """Return the requests that are being served."""
        return self._pending

    def interrupt_due(self, now_s: float) -> None:
        """Interrupt the requests that have to end before the stop.

        What was not sent is refused, and what was sent without an answer
        ends with an unknown outcome. Answers that have begun are cut last.

        :param now_s: monotonic seconds.
        """
        for pending in self._pending:
            if (
                self._stop is None
                or pending.is_interrupted
                or not drain.is_due(self._stop, now_s, pending.has_begun)
            ):
                continue
            pending.interrupt()
            self._context.counters.count_interruption(pending.waits_for)
            _LOG.warning(
                'Interrupting a request before the stop.',
                extra={
                    'request_id': pending.request_id,
                    'waits_for': pending.waits_for.value,
                    'has_begun': pending.has_begun,
                },
            )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request from a caller."""
        arrived_s = asyncio.get_running_loop().time()
        facts = wire.read_caller(request.raw_headers)
        pending = in_flight.RequestInFlight(facts.request_id)
        self._pending.add(pending)
        if request.transport is not None:
            # An answer counts as written once the kernel has all of it, as
            # what the process still holds is lost when it ends.
            request.transport.set_write_buffer_limits(high=0)
        try:
            with (
                self._lifecycle.request(),
                body_room.held(self._context.pool.memory.bodies, pending),
            ):
                response = await self._answer(
                    request, facts, arrived_s, pending
                )
                if not response.prepared:
                    await self._write(request, response, pending)
                if self._stop is not None:
                    await bodies.discard(request, self._stop.cut_by_s)
        finally:
            self._pending.discard(pending)
        return response

    async def _write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        pending: in_flight.RequestInFlight,
    ) -> None:
        """Write an answer while its request is still in flight.

        The server would write it afterwards, when a stop no longer waits.
        """
        pending.begin_answer(in_flight.Wait.CALLER)
        if self._stop is not None:
            response.force_close()
        unread = _UnreadAnswer(
            request,
            pending.request_id,
            self._context.counters.count_incomplete,
        )
        memory = self._context.pool.memory
        try:
            memory.hold(unread, response.content_length or 0)
            async with pending.limit(None):
                await response.prepare(request)
                await response.write_eof()
        except asyncio.TimeoutError:
            if request.transport is not None:
                sockets.reset(request.transport)
        except ConnectionError as error:
            _LOG.info(
                'The caller left before it had its answer.',
                extra={
                    'request_id': pending.request_id,
                    'reason': str(error),
                },
            )
        finally:
            memory.release(unread)

    async def _answer(
        self,
        request: web.BaseRequest,
        facts: wire.CallerFacts,
        arrived_s: float,
        pending: in_flight.RequestInFlight,
    ) -> web.StreamResponse:
        try:
            routed = await self._route(request, facts, arrived_s, pending)
        except BaseException as error:
            reason = self._incomplete_reason(request, error)
            if _may_answer(error, reason):
                _log_error(facts, error)
                return self._refuse(
                    facts,
                    codes.ResultCode.INTERNAL_ERROR,
                    503,
                    INTERNAL_ERROR_RETRY_AFTER_S,
                )
            self._record_incomplete(facts, reason, error)
            raise
        if isinstance(routed, web.StreamResponse):
            return routed
        self._context.budget.record_first_attempt(routed.service)
        self._context.counters.count_request(routed.service)
        return await self._forward(request, routed, arrived_s, pending)

    async def _route(
        self,
        request: web.BaseRequest,
        facts: wire.CallerFacts,
        arrived_s: float,
        pending: in_flight.RequestInFlight,
    ) -> calls.RoutedRequest | web.StreamResponse:
        """Read a request and choose its service, or refuse it."""
        target = targets.read(
            request.raw_path,
            request.headers.get('Host', ''),
            request.raw_headers,
        )
        admitted = self._admit(target, facts, arrived_s)
        if isinstance(admitted, web.StreamResponse):
            return admitted
        configuration = self._context.state.configuration
        assert configuration is not None
        deadline_s = _deadline_s(admitted.route, facts, arrived_s)
        room = body_room.BodyRoom(
            self._context.pool.memory.bodies, pending, deadline_s - arrived_s
        )
        try:
            # A caller that lost its power would keep the room for good.
            async with pending.limit(deadline_s):
                body = await bodies.read(
                    request, configuration.limits.max_body_bytes, room
                )
        except asyncio.TimeoutError:
            if pending.is_interrupted:
                return self._refuse_draining(facts)
            return self._refuse(
                facts, codes.ResultCode.DEADLINE_BEFORE_SEND, 504
            )
        except body_room.NoRoom:
            return self._refuse(
                facts,
                codes.ResultCode.BODY_MEMORY_EXHAUSTED,
                503,
                NO_ROOM_RETRY_AFTER_S,
            )
        except connections.CostlyBody:
            refusal = self._refuse(facts, codes.ResultCode.BODY_FRAMING, 400)
            refusal.force_close()
            return refusal
        if body is None:
            return self._refuse(facts, codes.ResultCode.BODY_TOO_LARGE, 413)
        if not self._can_end(admitted.route, facts, arrived_s):
            return self._refuse_draining(facts)
        service = self._context.pick_service(admitted.route)
        if service is None:
            return self._refuse(
                facts,
                codes.ResultCode.NO_ENDPOINT,
                503,
                NOT_READY_RETRY_AFTER_S,
            )
        return _route_request(
            request.method, target, facts, body, admitted, service, arrived_s
        )

    def _admit(
        self,
        target: targets.Target,
        facts: wire.CallerFacts,
        arrived_s: float,
    ) -> Admitted | web.StreamResponse:
        configuration = self._context.state.configuration
        if configuration is None:
            return self._refuse(
                facts,
                codes.ResultCode.NOT_READY,
                503,
                NOT_READY_RETRY_AFTER_S,
            )
        path = target.path.partition('?')[0]
        route = configuration.route(target.host, path)
        if route is None:
            return self._refuse(facts, codes.ResultCode.UNKNOWN_ROUTE, 404)
        if not self.accepts(route, facts, arrived_s):
            return self._refuse_draining(facts)
        if route.is_public or not configuration.requires_key:
            return Admitted(route, None)
        account = configuration.account(facts.key)
        if account is None:
            return self._refuse(facts, codes.ResultCode.UNAUTHENTICATED, 401)
        return Admitted(route, account)

    def accepts(
        self, route: routes.Route, facts: wire.CallerFacts, arrived_s: float
    ) -> bool:
        """Tell whether a request that arrives is accepted.

        :param arrived_s: seconds of the event loop's clock.
        """
        if self._stop is None:
            return True
        if route.kind is routes.RequestKind.STREAM:
            accept_until_s = self._stop.began_s + STREAM_ACCEPT_PERIOD_S
            is_accepted = time.monotonic() < accept_until_s
        else:
            is_accepted = self._lifecycle.accepts_requests(time.monotonic())
        return is_accepted and self._can_end(route, facts, arrived_s)

    def _can_end(
        self, route: routes.Route, facts: wire.CallerFacts, arrived_s: float
    ) -> bool:
        """Tell whether a request that was not sent ends before the stop."""
        if self._stop is None:
            return True
        expected_s = None
        if route.kind is routes.RequestKind.STREAM:
            expected_s = self._expected_stream_s(route, facts)
        return drain.admits(
            self._stop,
            time.monotonic(),
            _deadline_s(route, facts, arrived_s),
            expected_s,
        )

    def _expected_stream_s(
        self, route: routes.Route, facts: wire.CallerFacts
    ) -> float | None:
        """Return the longest expectation of the services of a route."""
        expected_s = [
            self._context.speeds.expected_s(
                each.service,
                facts.prompt_tokens,
                facts.max_output_tokens,
                facts.last_event,
            )
            for each in route.services
        ]
        known_s = [each for each in expected_s if each is not None]
        if not known_s or len(known_s) < len(expected_s):
            return None
        return max(known_s)

    def _refuse_draining(self, facts: wire.CallerFacts) -> web.Response:
        return self._refuse(
            facts, codes.ResultCode.DRAINING, 503, DRAINING_RETRY_AFTER_S
        )

    def _refuse(
        self,
        facts: wire.CallerFacts,
        code: codes.ResultCode,
        status: int,
        retry_after_s: float | None = None,
        is_scheduled: bool = False,
    ) -> web.Response:
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

    async def _forward(
        self,
        request: web.BaseRequest,
        routed: calls.RoutedRequest,
        arrived_s: float,
        pending: in_flight.RequestInFlight,
    ) -> web.StreamResponse:
        sink = CallerStream(request, lambda: self._stop is not None)
        reply: replies.Reply | None = None
        reason: replies.IncompleteReason | None = None
        forwarder: Forwarder
        if routed.route.kind is routes.RequestKind.STREAM:
            forwarder = streams.StreamForwarder(
                self._context, routed, sink, pending
            )
        else:
            forwarder = calls.CallForwarder(self._context, routed, pending)
        try:
            reply = await forwarder.run()
            if pending.is_interrupted and isinstance(reply, replies.Refusal):
                reply = replies.Refusal(
                    codes.ResultCode.DRAINING, DRAINING_RETRY_AFTER_S
                )
            return await self._respond(routed, sink, reply, forwarder)
        except BaseException as error:
            reason = self._incomplete_reason(request, error)
            if sink.response is None and _may_answer(error, reason):
                _log_error(routed.request.facts, error)
                reply = _reply_to_error(forwarder.may_have_run)
                return await self._respond(routed, sink, reply, forwarder)
            self._record_incomplete(
                routed.request.facts, reason, error, forwarder
            )
            if sink.response is not None:
                sink.abort()
            raise
        finally:
            self._log_end(routed, reply, reason, arrived_s, forwarder)

    async def _respond(
        self,
        routed: calls.RoutedRequest,
        sink: CallerStream,
        reply: replies.Reply,
        forwarder: Forwarder,
    ) -> web.StreamResponse:
        match reply:
            case exchanges.Answered(head, body):
                response: web.StreamResponse
                if isinstance(body, memoryview):
                    response = _LongAnswer(head.status, body)
                else:
                    response = web.Response(status=head.status, body=body)
                response.headers.popall('Content-Type', None)
                _copy_headers(response, head)
                return response
            case replies.Refusal(code, retry_after_s, is_scheduled):
                return self._refuse(
                    routed.request.facts,
                    code,
                    503,
                    retry_after_s,
                    is_scheduled,
                )
            case replies.Failure(code, is_late):
                return self._refuse(
                    routed.request.facts, code, 504 if is_late else 502
                )
            case replies.Streamed(is_complete, reason):
                assert sink.response is not None
                if is_complete:
                    await sink.response.write_eof()
                else:
                    assert reason is not None
                    self._record_incomplete(
                        routed.request.facts, reason, forwarder=forwarder
                    )
                    sink.abort()
                return sink.response

    def _incomplete_reason(
        self, request: web.BaseRequest, error: BaseException
    ) -> replies.IncompleteReason:
        """Return why a request ends with an exception.

        The server closes the connection, too, as it interrupts a request.
        """
        is_cancelled = isinstance(error, asyncio.CancelledError)
        if is_cancelled and self._is_interrupting:
            return replies.IncompleteReason.STOP_LIMIT
        if request.transport is None or request.transport.is_closing():
            return replies.IncompleteReason.CALLER_LEFT
        return replies.IncompleteReason.EXCEPTION

    def _record_incomplete(
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

    def _log_end(
        self,
        routed: calls.RoutedRequest,
        reply: replies.Reply | None,
        reason: replies.IncompleteReason | None,
        arrived_s: float,
        forwarder: Forwarder,
    ) -> None:
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
        case streams.StreamForwarder(times=times):
            return {
                'endpoints': times.endpoints,
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


def _may_answer(
    error: BaseException, reason: replies.IncompleteReason
) -> bool:
    """Tell whether a request that met an error gets an answer.

    A cancellation may be an error, too. The server takes one that the handler
    raises for a caller that left, and closes the connection.
    """
    task = asyncio.current_task()
    return (
        reason is replies.IncompleteReason.EXCEPTION
        and isinstance(error, (Exception, asyncio.CancelledError))
        and (task is None or not task.cancelling())
    )


def _log_error(facts: wire.CallerFacts, error: BaseException) -> None:
    _LOG.error(
        'Request failed by an error.',
        exc_info=error,
        extra={'request_id': facts.request_id},
    )


def _reply_to_error(may_have_run: bool) -> replies.Reply:
    if may_have_run:
        return replies.Failure(
            codes.ResultCode.OUTCOME_UNKNOWN,
            reason=replies.IncompleteReason.EXCEPTION,
        )
    return replies.Refusal(
        codes.ResultCode.INTERNAL_ERROR, INTERNAL_ERROR_RETRY_AFTER_S
    )


def _deadline_s(
    route: routes.Route, facts: wire.CallerFacts, arrived_s: float
) -> float:
    limit_ms = min(route.limit_ms, facts.wait_ms or route.limit_ms)
    return arrived_s + limit_ms / 1000 - ANSWER_MARGIN_S


def _route_request(
    method: str,
    target: targets.Target,
    facts: wire.CallerFacts,
    body: message_buffer.Content,
    admitted: Admitted,
    service: str,
    arrived_s: float,
) -> calls.RoutedRequest:
    route, account = admitted
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return calls.RoutedRequest(
        exchanges.CallerRequest(
            method,
            target.path,
            target.headers,
            body,
            facts,
        ),
        route,
        service,
        account.name if account else '',
        priority if route.kind is routes.RequestKind.STREAM else None,
        _deadline_s(route, facts, arrived_s),
    )
