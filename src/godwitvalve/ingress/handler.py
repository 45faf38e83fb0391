"""Handles the requests of callers."""

from __future__ import annotations

import asyncio
from collections import abc

from aiohttp import web

from godwitvalve.fleet import routes
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import sockets
from godwitvalve.forwarding import streams
from godwitvalve.ingress import answers
from godwitvalve.ingress import bodies
from godwitvalve.ingress import body_room
from godwitvalve.ingress import request_ends
from godwitvalve.ingress import request_reader
from godwitvalve.ingress import stop_gate
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.platform import headers as wire

INTERNAL_ERROR_RETRY_AFTER_S = 0.3

_LOG = logs.get('ingress')


class IngressHandler:
    """Serves the requests of all caller connections."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._gate = stop_gate.StopGate(context, lifecycle)
        self._ends = request_ends.RequestEnds(context)
        self._reader = request_reader.RequestReader(
            context, self._gate, self._ends
        )
        self._is_interrupting = False
        self._pending: set[in_flight.RequestInFlight] = set()

    def begin_drain(self, stop: drain.StopSchedule) -> None:
        """Refuse what can't end before the stop.

        Streams are refused soon, and calls once cached addresses expired.
        """
        self._gate.stop = stop
        self._lifecycle.begin_drain(stop.began_s)

    def shorten_drain(self, stop: drain.StopSchedule) -> None:
        """Use earlier deadlines in a drain that has begun."""
        self._gate.stop = stop

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
            if not self._gate.is_due(pending, now_s):
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

    def accepts(
        self, route: routes.Route, facts: wire.CallerFacts, arrived_s: float
    ) -> bool:
        """Tell whether a request that arrives is accepted.

        :param arrived_s: seconds of the event loop's clock.
        """
        return self._gate.accepts(route, facts, arrived_s)

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
                if self._gate.stop is not None:
                    await bodies.discard(request, self._gate.stop.cut_by_s)
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
        if self._gate.stop is not None:
            response.force_close()
        unread = answers.UnreadAnswer(
            request,
            pending.request_id,
            self._context.counters.count_incomplete,
        )
        memory = self._context.pool.memory
        try:
            memory.hold(unread, response.content_length or 0)
            async with pending.limit(None):
                await response.prepare(request)
                answers.count_short(response)
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
            routed = await self._reader.route(
                request, facts, arrived_s, pending
            )
        except BaseException as error:
            reason = self._incomplete_reason(request, error)
            if _may_answer(error, reason):
                _log_error(facts, error)
                return self._ends.refuse(
                    facts,
                    codes.ResultCode.INTERNAL_ERROR,
                    503,
                    INTERNAL_ERROR_RETRY_AFTER_S,
                )
            self._ends.record_incomplete(facts, reason, error)
            raise
        if isinstance(routed, web.StreamResponse):
            return routed
        self._context.budget.record_first_attempt(routed.service)
        self._context.counters.count_request(routed.service)
        return await self._forward(request, routed, arrived_s, pending)

    async def _forward(
        self,
        request: web.BaseRequest,
        routed: calls.RoutedRequest,
        arrived_s: float,
        pending: in_flight.RequestInFlight,
    ) -> web.StreamResponse:
        sink = answers.CallerStream(
            request,
            routed.request.facts.request_id,
            self._context.pool.memory,
            lambda: self._gate.stop is not None,
        )
        reply: replies.Reply | None = None
        reason: replies.IncompleteReason | None = None
        forwarder: request_ends.Forwarder
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
                    codes.ResultCode.DRAINING,
                    request_reader.DRAINING_RETRY_AFTER_S,
                )
            return await self._respond(routed, sink, reply, forwarder)
        except BaseException as error:
            reason = self._incomplete_reason(request, error)
            if sink.is_given_up:
                reason = replies.IncompleteReason.MEMORY
            if sink.response is None and _may_answer(error, reason):
                _log_error(routed.request.facts, error)
                reply = _reply_to_error(forwarder.may_have_run)
                return await self._respond(routed, sink, reply, forwarder)
            self._ends.record_incomplete(
                routed.request.facts, reason, error, forwarder
            )
            if sink.response is not None:
                sink.abort()
            raise
        finally:
            sink.release()
            self._ends.log_end(routed, reply, reason, arrived_s, forwarder)

    async def _respond(
        self,
        routed: calls.RoutedRequest,
        sink: answers.CallerStream,
        reply: replies.Reply,
        forwarder: request_ends.Forwarder,
    ) -> web.StreamResponse:
        match reply:
            case exchanges.Answered(head, body):
                return answers.complete(head, body)
            case replies.Refusal(code, retry_after_s, is_scheduled):
                return self._ends.refuse(
                    routed.request.facts,
                    code,
                    503,
                    retry_after_s,
                    is_scheduled,
                )
            case replies.Failure(code, is_late):
                return self._ends.refuse(
                    routed.request.facts, code, 504 if is_late else 502
                )
            case replies.Streamed(is_complete, reason):
                assert sink.response is not None
                if is_complete:
                    await sink.response.write_eof()
                else:
                    assert reason is not None
                    self._ends.record_incomplete(
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
