"""Streams one answer, reconnecting until it is complete."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Any, TypeAlias

import aiohttp
import orjson

from godwitvalve.caller import addresses
from godwitvalve.caller import answer
from godwitvalve.caller import errors
from godwitvalve.caller import services
from godwitvalve.engine import sse
from godwitvalve.outcomes import codes

CONNECT_TIMEOUT_S = 1.0
MAX_EVENT_BYTES = 1024 * 1024
# Consecutive reconnects that bring no new token.
MAX_RECONNECTS_WITHOUT_PROGRESS = 6
RECONNECT_PAUSE_S = 0.2
# The answer cannot be resumed after these codes.
_FINAL_CODES = frozenset(
    (
        codes.ResultCode.VERSION_GONE,
        codes.ResultCode.CONTINUATION_DIVERGED,
        codes.ResultCode.GENERATION_DEADLINE,
    )
)

Chunks: TypeAlias = abc.AsyncGenerator[answer.Chunk, None]


@dataclasses.dataclass(frozen=True)
class Completion:
    """Parameters of a completion request.

    :param deadline_wall_s: Unix seconds after which the answer is of no use.
    """

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int | None = None
    priority: int = 5
    deadline_wall_s: float | None = None


class _Interrupted(Exception):
    """The stream stopped early and can be resumed at another entry."""


def _stream_failure(data: bytes, check: answer.AnswerCheck) -> Exception:
    refused = errors.Refused(services.as_problem(services.decode(data)))
    if refused.code not in _FINAL_CODES:
        return _Interrupted(str(refused))
    if not check.token_ids:
        return refused
    return errors.PartialAnswer(str(refused), check.resume_id, check.token_ids)


class CompletionStream:
    """Stream of one answer over one or more connections.

    :param fresh_addresses: returns the addresses in the order of preference.
    :param idle_timeout_s: seconds without data after which a connection is
        closed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        headers: dict[str, str],
        pool: addresses.AddressPool,
        fresh_addresses: services.FreshAddresses,
        idle_timeout_s: float,
        completion: Completion,
    ) -> None:
        self._session = session
        self._headers = headers
        self._pool = pool
        self._fresh_addresses = fresh_addresses
        self._idle_timeout_s = idle_timeout_s
        self._completion = completion
        self._check = answer.AnswerCheck()
        self._reconnects = 0

    def result(self) -> answer.Answer:
        """Return the complete answer after :meth:`chunks` has ended."""
        return self._check.result(self._reconnects)

    async def chunks(self) -> Chunks:
        """Yield the tokens of the answer as they arrive."""
        check = self._check
        without_progress = 0
        while True:
            received = len(check.token_ids)
            try:
                async with contextlib.aclosing(self._connect()) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except _Interrupted as interruption:
                detail = str(interruption)
            without_progress += 1
            if len(check.token_ids) > received:
                without_progress = 0
            if without_progress > MAX_RECONNECTS_WITHOUT_PROGRESS:
                raise self._final_error(detail)
            self._reconnects += 1
            check.start_reconnect()
            if without_progress > 1:
                await asyncio.sleep(RECONNECT_PAUSE_S * without_progress)

    def _final_error(self, detail: str) -> errors.CallerError:
        check = self._check
        if not check.token_ids:
            return errors.NoAddress(detail)
        return errors.PartialAnswer(detail, check.resume_id, check.token_ids)

    def _request(self) -> tuple[bytes, dict[str, str]]:
        check = self._check
        body: dict[str, Any] = {
            name: value
            for name, value in dataclasses.asdict(self._completion).items()
            if value is not None
        }
        body['stream'] = True
        headers = {**self._headers, 'Content-Type': 'application/json'}
        if check.resume_id:
            headers['Last-Event-ID'] = check.resume_id
            body['resume_token_ids'] = check.token_ids
        return orjson.dumps(body), headers

    async def _connect(self) -> Chunks:
        check = self._check
        found = await self._fresh_addresses()
        if not found:
            raise errors.NoAddress('no address is known')
        address = found[0]
        body, headers = self._request()
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._idle_timeout_s,
        )
        try:
            async with self._session.post(
                f'http://{address}/v1/completions',
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    await self._raise_problem(response, address)
                async with contextlib.aclosing(self._read(response)) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._pool.mark_failed(address)
            raise _Interrupted(type(error).__name__) from error
        except sse.EventTooLarge as error:
            raise errors.CorruptAnswer('event too large') from error
        if not check.is_done:
            self._pool.mark_failed(address)
            raise _Interrupted('the stream ended early')
        self._pool.mark_working(address)

    async def _raise_problem(
        self, response: aiohttp.ClientResponse, address: str
    ) -> None:
        problem = services.as_problem(services.decode(await response.read()))
        if response.status in services.RETRIED_STATUSES:
            # Another entry instance may admit the request.
            self._pool.mark_failed(address)
            raise _Interrupted(str(errors.Refused(problem)))
        raise errors.Refused(problem)

    async def _read(self, response: aiohttp.ClientResponse) -> Chunks:
        check = self._check
        splitter = sse.EventSplitter(MAX_EVENT_BYTES)
        async for part in response.content.iter_any():
            for block in splitter.feed(part):
                event = sse.parse_block(block)
                if event.name == 'error':
                    raise _stream_failure(event.data, check)
                if not event.data:
                    continue
                chunk = check.accept(event.event_id, event.data)
                if chunk is not None:
                    yield chunk
                if check.is_done:
                    return
