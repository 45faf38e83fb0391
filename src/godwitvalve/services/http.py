"""HTTP client of plain services."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import aiohttp
import orjson
import yarl

from godwitvalve import clock as clock_model
from godwitvalve.engine import port as engine_port
from godwitvalve.forwarding import sockets
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.parsing import answers
from godwitvalve.parsing import connectors
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.services import headers as header_rules
from godwitvalve.services import port

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_LOAD_BYTES = 64 * 1024
# A live endpoint accepts within a few ms; a failed failure domain drops SYNs.
CONNECT_LIMIT_S = 1.0
LOAD_LIMIT_S = 1.0
_OWN_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class _NotSent(Exception):
    """The request was abandoned before its first byte was written."""

    def __init__(self, code: codes.ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code


class _Exchange:
    """Attempt and deadline that are passed to the connection hooks."""

    def __init__(
        self, attempt: outcome_model.SendAttempt, deadline_wall_s: float
    ) -> None:
        self.attempt = attempt
        self.deadline_wall_s = deadline_wall_s


class HttpPlainService:
    """Sends requests with aiohttp.

    Each request opens its own connection. Answers carry no id, so on a
    connection that was in use before, a late copy of an answer would be taken
    for the next one. The endpoint may also close an idle connection just as
    the request is written, which would give a request that never ran an
    unknown outcome.

    :param clock: clock for deadlines.
    """

    def __init__(self, clock: clock_model.Clock) -> None:
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        endpoint: endpoint_model.Endpoint,
        request: port.PlainRequest,
        attempt: outcome_model.SendAttempt,
    ) -> outcome_model.Outcome:
        """Send a request once.

        :param attempt: marked as sent before the first byte is written.
        :returns: the answer, whatever its status, or the failure that
            ``attempt`` allows.
        """
        remaining_s = request.deadline_wall_s - self._clock.wall_s()
        if remaining_s <= 0:
            return attempt.fail(
                codes.ResultCode.DEADLINE_BEFORE_SEND, 'deadline passed'
            )
        try:
            async with asyncio.timeout(remaining_s):
                return await self._exchange(endpoint, request, attempt)
        except _NotSent as error:
            return attempt.fail(error.code, str(error))
        except TimeoutError:
            return attempt.fail(
                codes.ResultCode.DEADLINE_BEFORE_SEND,
                f'no answer from {endpoint.endpoint_id} before the deadline',
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return attempt.fail(
                codes.ResultCode.CONNECT_FAILED,
                f'{endpoint.endpoint_id}: {type(error).__name__}: {error}',
            )

    async def _exchange(
        self,
        endpoint: endpoint_model.Endpoint,
        request: port.PlainRequest,
        attempt: outcome_model.SendAttempt,
    ) -> outcome_model.Outcome:
        url = yarl.URL(
            f'http://{endpoint.address}{request.target}', encoded=True
        )
        async with self._get_session().request(
            request.method,
            url,
            headers=header_rules.to_endpoint(request.headers),
            data=request.body or None,
            allow_redirects=False,
            skip_auto_headers=_OWN_HEADERS,
            trace_request_ctx=_Exchange(attempt, request.deadline_wall_s),
        ) as answer:
            try:
                body = await answers.read(answer, MAX_ANSWER_BYTES)
            except answers.AnswerTooLarge:
                return attempt.fail(
                    codes.ResultCode.CONNECT_FAILED,
                    f'answer exceeds {MAX_ANSWER_BYTES} bytes',
                )
            is_framed = (
                'Content-Length' in answer.headers
                or 'Transfer-Encoding' in answer.headers
            )
            if not body and header_rules.may_be_cut(
                answer.method, answer.status, is_framed
            ):
                return attempt.fail(
                    codes.ResultCode.CONNECT_FAILED,
                    'answer ended after its head',
                )
            if not is_framed and not await sockets.outlives(
                endpoint.address, CONNECT_LIMIT_S
            ):
                # The connections of a process that is killed end in the
                # ordinary way, as such an answer does.
                return attempt.fail(
                    codes.ResultCode.CONNECT_FAILED,
                    'answer ended with its endpoint',
                )
            headers = tuple((k, v) for k, v in answer.headers.items())
            if not all(header_rules.may_be_sent(v) for _, v in headers):
                return attempt.fail(
                    codes.ResultCode.CONNECT_FAILED,
                    'answer has a header that cannot be passed on',
                )
            return attempt.complete(
                answer.status, header_rules.to_caller(headers), body
            )

    async def load(
        self, endpoint: endpoint_model.Endpoint
    ) -> engine_port.LoadReport:
        """Read the load report on a new connection.

        :raises ServiceUnavailable: if no valid report was read in time.
        """
        exchange = _Exchange(
            outcome_model.SendAttempt(), self._clock.wall_s() + LOAD_LIMIT_S
        )
        try:
            async with (
                asyncio.timeout(LOAD_LIMIT_S),
                self._get_session().get(
                    f'http://{endpoint.address}/load',
                    trace_request_ctx=exchange,
                ) as answer,
            ):
                body = await answers.read(answer, MAX_LOAD_BYTES)
                return _parse_load(orjson.loads(body))
        except (
            _NotSent,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise port.ServiceUnavailable(str(error)) from error

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = self._new_session(force_close=True)
        return self._session

    def _new_session(self, force_close: bool) -> aiohttp.ClientSession:
        hooks = aiohttp.TraceConfig()
        hooks.on_connection_create_end.append(self._before_write)
        hooks.on_connection_reuseconn.append(self._before_write)
        return connectors.new_session(
            limit=0,
            force_close=force_close,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_LIMIT_S
            ),
            auto_decompress=False,
            trace_configs=[hooks],
        )

    async def _before_write(
        self,
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        params: Any,
    ) -> None:
        exchange: _Exchange = context.trace_request_ctx
        if exchange.attempt.is_sent:
            # aiohttp repeats requests with some methods when a pooled
            # connection is closed; an attempt must not be written twice.
            raise aiohttp.ClientConnectionError('refused to send twice')
        if self._clock.wall_s() >= exchange.deadline_wall_s:
            raise _NotSent(
                codes.ResultCode.DEADLINE_BEFORE_SEND,
                'deadline passed while connecting',
            )
        exchange.attempt.mark_sent()


def _parse_load(raw: dict[str, Any]) -> engine_port.LoadReport:
    return engine_port.LoadReport(
        queue_length=int(raw['queue_length']),
        running=int(raw['running']),
        state='leaving' if raw['state'] == 'leaving' else 'live',
        version=str(raw['version']),
        measured_wall_s=float(raw['measured_wall_s']),
    )
