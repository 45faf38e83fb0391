"""``/v1/services/{service}/...``: calls of plain services."""

from __future__ import annotations

from typing import NamedTuple
import urllib.parse

from aiohttp import web

from godwitvalve.configuration import in_force
from godwitvalve.entry import answers
from godwitvalve.entry import call_sender
from godwitvalve.entry import context as contexts
from godwitvalve.entry import request_checks
from godwitvalve.idempotency import keyed_calls
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcomes
from godwitvalve.services import port as service_port

PREFIX = '/v1/services/'
KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'X-Deadline-Wall-S'
DEFAULT_DEADLINE_S = 30.0
ADMISSION_WAIT_S = 2.0
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# The caller's credential must not reach the service.
_DROPPED_HEADERS = frozenset(('authorization',))


class _PlainCall(NamedTuple):
    account: str
    service: in_force.ServiceInForce
    request: service_port.PlainRequest
    key: str | None


class PlainCallHandler:
    """Forwards calls to plain services."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._sender = call_sender.CallSender(context)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a call and count it as in flight meanwhile."""
        with self._context.lifecycle.request():
            return await self._handle(request)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        call = await self._prepare(request)
        if isinstance(call, outcomes.NotRun):
            return answers.problem_answer(self._context, call)
        context = self._context
        admitted = await context.admission.admit(
            call.account, 0.0, context.clock.monotonic_s() + ADMISSION_WAIT_S
        )
        if isinstance(admitted, outcomes.NotRun):
            return answers.problem_answer(context, admitted)
        async with admitted:
            context.counters.count_request(call.service.name)
            return self._response(await self._run(call))

    async def _prepare(
        self, request: web.Request
    ) -> _PlainCall | outcomes.NotRun:
        context = self._context
        configuration = request_checks.configuration_for_request(context)
        if isinstance(configuration, outcomes.NotRun):
            return configuration
        account = request_checks.authenticate(configuration, request)
        if isinstance(account, outcomes.NotRun):
            return account
        name = request.match_info['service']
        service = request_checks.find_service(
            context, configuration, name, 'plain'
        )
        if isinstance(service, outcomes.NotRun):
            return service
        body = await request_checks.read_body(request)
        if isinstance(body, outcomes.NotRun):
            return body
        return self._build_call(request, account.name, service, body)

    def _build_call(
        self,
        request: web.Request,
        account: str,
        service: in_force.ServiceInForce,
        body: bytes,
    ) -> _PlainCall | outcomes.NotRun:
        target = _target(request, service.name)
        path = urllib.parse.unquote(target.partition('?')[0])
        route = service.route(request.method, path)
        if route is None and request.method not in _REPEATABLE_METHODS:
            return outcomes.NotRun(
                codes.ResultCode.UNKNOWN_ROUTE,
                f'the text lists no route {request.method} {path}',
            )
        repeatable = route is None or route.repeatable
        key = request.headers.get(KEY_HEADER)
        if not repeatable and key is None:
            return outcomes.NotRun(codes.ResultCode.KEY_REQUIRED)
        deadline_wall_s = self._deadline_wall_s(request)
        if deadline_wall_s is None:
            return outcomes.NotRun(
                codes.ResultCode.BAD_REQUEST, f'{DEADLINE_HEADER}: no number'
            )
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _DROPPED_HEADERS
        )
        plain = service_port.PlainRequest(
            request.method,
            target,
            headers,
            body,
            repeatable,
            deadline_wall_s,
        )
        return _PlainCall(account, service, plain, None if repeatable else key)

    def _deadline_wall_s(self, request: web.Request) -> float | None:
        latest_wall_s = self._context.clock.wall_s() + DEFAULT_DEADLINE_S
        header = request.headers.get(DEADLINE_HEADER)
        if header is None:
            return latest_wall_s
        try:
            deadline_wall_s = float(header)
        except ValueError:
            return None
        if not deadline_wall_s >= 0:
            return None
        return min(deadline_wall_s, latest_wall_s)

    async def _run(self, call: _PlainCall) -> keyed_calls.CallAnswer:
        if call.key is None:
            outcome = await self._sender.send(
                call.account, call.service.name, call.request
            )
            return keyed_calls.CallAnswer(outcome)
        keyed_call = keyed_calls.KeyedCall(
            call.account, call.key, call.service.name, call.request
        )
        return await self._context.executor.execute(
            keyed_call, self._sender.bind(keyed_call)
        )

    def _response(self, answer: keyed_calls.CallAnswer) -> web.Response:
        match answer.outcome:
            case outcomes.Completed(status, headers, body):
                response = web.Response(body=body, status=status)
                for name, value in headers:
                    response.headers[name] = value
                if answer.replayed:
                    response.headers['Idempotency-Replayed'] = 'true'
                return response
            case failure:
                return answers.problem_answer(self._context, failure)


def _target(request: web.Request, service: str) -> str:
    raw = request.raw_path.removeprefix(f'{PREFIX}{service}')
    return raw if raw.startswith('/') else f'/{raw}'
