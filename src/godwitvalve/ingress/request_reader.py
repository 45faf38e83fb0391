"""Reads the requests of callers and decides which are forwarded where."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from aiohttp import web

from godwitvalve.fleet import routes
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import message_buffer
from godwitvalve.ingress import bodies
from godwitvalve.ingress import body_room
from godwitvalve.ingress import connections
from godwitvalve.ingress import deadlines
from godwitvalve.ingress import request_ends
from godwitvalve.ingress import stop_gate
from godwitvalve.ingress import targets
from godwitvalve.outcomes import codes
from godwitvalve.platform import headers as wire

NOT_READY_RETRY_AFTER_S = 0.3
DRAINING_RETRY_AFTER_S = 0.05
# Bodies in memory are sent on within tens of ms.
NO_ROOM_RETRY_AFTER_S = 0.3


class Admitted(NamedTuple):
    """A request that passed the checks of its route."""

    route: routes.Route
    account: routes.AccountConfig | None


class RequestReader:
    """Reads, admits and routes the requests of all caller connections."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        gate: stop_gate.StopGate,
        ends: request_ends.RequestEnds,
    ) -> None:
        self._context = context
        self._gate = gate
        self._ends = ends

    async def route(
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
        deadline_s = deadlines.answer_by_s(admitted.route, facts, arrived_s)
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
            return self._ends.refuse(
                facts, codes.ResultCode.DEADLINE_BEFORE_SEND, 504
            )
        except body_room.NoRoom:
            return self._ends.refuse(
                facts,
                codes.ResultCode.BODY_MEMORY_EXHAUSTED,
                503,
                NO_ROOM_RETRY_AFTER_S,
            )
        except connections.CostlyBody:
            refusal = self._ends.refuse(
                facts, codes.ResultCode.BODY_FRAMING, 400
            )
            refusal.force_close()
            return refusal
        if body is None:
            return self._ends.refuse(
                facts, codes.ResultCode.BODY_TOO_LARGE, 413
            )
        if not self._gate.can_end(admitted.route, facts, arrived_s):
            return self._refuse_draining(facts)
        service = self._context.pick_service(admitted.route)
        if service is None:
            return self._ends.refuse(
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
            return self._ends.refuse(
                facts,
                codes.ResultCode.NOT_READY,
                503,
                NOT_READY_RETRY_AFTER_S,
            )
        path = target.path.partition('?')[0]
        route = configuration.route(target.host, path)
        if route is None:
            return self._ends.refuse(
                facts, codes.ResultCode.UNKNOWN_ROUTE, 404
            )
        if not self._gate.accepts(route, facts, arrived_s):
            return self._refuse_draining(facts)
        if route.is_public or not configuration.requires_key:
            return Admitted(route, None)
        account = configuration.account(facts.key)
        if account is None:
            return self._ends.refuse(
                facts, codes.ResultCode.UNAUTHENTICATED, 401
            )
        return Admitted(route, account)

    def _refuse_draining(self, facts: wire.CallerFacts) -> web.Response:
        return self._ends.refuse(
            facts, codes.ResultCode.DRAINING, 503, DRAINING_RETRY_AFTER_S
        )


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
        deadlines.answer_by_s(route, facts, arrived_s),
    )
