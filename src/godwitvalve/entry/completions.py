"""``POST /v1/completions``: generations, streamed or in one body."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from aiohttp import web

from godwitvalve.entry import answers
from godwitvalve.entry import context as contexts
from godwitvalve.entry import picker as pickers
from godwitvalve.entry import request_checks
from godwitvalve.generations import events
from godwitvalve.generations import plan
from godwitvalve.generations import requests
from godwitvalve.generations import results
from godwitvalve.moves import choice
from godwitvalve.outcomes import outcome as outcomes

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from godwitvalve.limits import admission as admissions

# Longest wait for admission; the deadline of the request may shorten it.
ADMISSION_WAIT_S = 2.0
# Estimates prompt tokens for the limits: only the engine has the tokenizer.
CHARACTERS_PER_TOKEN = 4


class CompletionHandler:
    """Handles requests for generations."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request and count it as in flight meanwhile."""
        with self._context.lifecycle.request():
            return await self._handle(request)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        prepared = await self._prepare(request)
        if not isinstance(prepared, plan.Generation):
            return answers.problem_answer(self._context, prepared)
        if prepared.resume_state is not None:
            return await self._serve(request, prepared)
        admitted = await self._admit(prepared)
        if isinstance(admitted, outcomes.NotRun):
            return answers.problem_answer(self._context, admitted)
        async with admitted:
            return await self._serve(request, prepared, admitted)

    async def _prepare(
        self, request: web.Request
    ) -> plan.Generation | outcomes.NotRun:
        context = self._context
        last_event_id = request.headers.get('Last-Event-ID')
        configuration = request_checks.configuration_for_request(
            context, last_event_id is not None
        )
        if isinstance(configuration, outcomes.NotRun):
            return configuration
        account = request_checks.authenticate(configuration, request)
        if isinstance(account, outcomes.NotRun):
            return account
        body = await request_checks.read_body(request)
        if isinstance(body, outcomes.NotRun):
            return body
        parsed = requests.parse(body)
        if isinstance(parsed, outcomes.NotRun):
            return parsed
        if last_event_id is None:
            service = request_checks.find_service(
                context, configuration, parsed.model, 'model'
            )
            if isinstance(service, outcomes.NotRun):
                return service
        return plan.plan_generation(
            parsed,
            last_event_id,
            account.name,
            (context.loaded.resume_key,),
            context.clock.wall_s(),
        )

    async def _admit(
        self, generation: plan.Generation
    ) -> admissions.Admitted | outcomes.NotRun:
        request = generation.request
        clock = self._context.clock
        wait_s = min(
            ADMISSION_WAIT_S, generation.deadline_wall_s - clock.wall_s()
        )
        return await self._context.admission.admit(
            generation.client_account,
            len(request.prompt) / CHARACTERS_PER_TOKEN + request.max_tokens,
            clock.monotonic_s() + wait_s,
        )

    async def _serve(
        self,
        request: web.Request,
        generation: plan.Generation,
        admitted: admissions.Admitted | None = None,
    ) -> web.StreamResponse:
        context = self._context
        context.counters.count_request(generation.service)
        picker = pickers.GenerationPicker(
            context,
            generation.service,
            generation.request.priority,
            choice.request_hash(
                generation.client_account, generation.request.digest()
            ),
        )
        writer = _AnswerWriter(context, request, generation, picker)
        try:
            stream = context.relay.run(generation, picker)
            async with contextlib.aclosing(stream):
                return await writer.send(stream)
        finally:
            if admitted is not None:
                prompt_tokens = (
                    len(generation.request.prompt) / CHARACTERS_PER_TOKEN
                )
                admitted.used_tokens = prompt_tokens + writer.delivered_tokens


class _AnswerWriter:
    """Writes the HTTP answer of one generation.

    The headers are sent with the first result, so that a failure before any
    output is answered by problem details with a status of its own.
    """

    def __init__(
        self,
        context: contexts.EntryContext,
        request: web.Request,
        generation: plan.Generation,
        picker: pickers.GenerationPicker,
    ) -> None:
        self._context = context
        self._request = request
        self._generation = generation
        self._picker = picker
        self._response: web.StreamResponse | None = None
        self._parts: list[results.Delivered] = []
        self._formatter: events.EventFormatter | None = None
        self.delivered_tokens = 0

    async def send(
        self, stream: AsyncGenerator[results.RelayResult, None]
    ) -> web.StreamResponse:
        """Send the results of the relay until the last one.

        :param stream: results that end with ``Finished`` or ``Failed``.
        """
        streamed = self._generation.request.stream
        async for result in stream:
            match result:
                case results.Delivered():
                    self._count(result)
                    if streamed:
                        await self._write(self._format().delivered(result))
                    else:
                        self._parts.append(result)
                case results.HeartbeatDue():
                    if streamed:
                        await self._write(events.HEARTBEAT)
                case results.Finished():
                    return await self._finish(result)
                case results.Failed():
                    return await self._fail(result)
        raise RuntimeError(
            'expected a Finished or Failed result at the end of the relay'
        )

    def _count(self, result: results.Delivered) -> None:
        count = len(result.token_ids)
        self.delivered_tokens += count
        self._picker.record_tokens(count)

    def _format(self) -> events.EventFormatter:
        if self._formatter is None:
            self._formatter = events.EventFormatter(
                self._generation.request_id,
                self._generation.service,
                self._picker.version,
            )
        return self._formatter

    async def _write(self, data: bytes) -> None:
        if self._response is None:
            self._response = web.StreamResponse(
                headers={
                    'Content-Type': events.CONTENT_TYPE,
                    'Cache-Control': 'no-store',
                    'X-Request-Id': self._generation.request_id,
                }
            )
            await self._response.prepare(self._request)
        await self._response.write(data)

    async def _finish(self, result: results.Finished) -> web.StreamResponse:
        if self._generation.request.stream:
            await self._write(self._format().finished(result))
            return await self._end()
        return web.Response(
            body=self._format().json_body(self._parts, result),
            content_type='application/json',
        )

    async def _fail(self, result: results.Failed) -> web.StreamResponse:
        if self._response is None:
            return answers.code_answer(
                self._context, result.code, result.detail
            )
        self._context.counters.count_refusal(result.code)
        await self._write(self._format().failed(result))
        return await self._end()

    async def _end(self) -> web.StreamResponse:
        assert self._response is not None
        await self._response.write_eof()
        return self._response
