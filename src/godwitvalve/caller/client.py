"""Reference caller."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import dataclasses
import random
import time
from typing import Any

import aiohttp
import orjson

from godwitvalve.caller import addresses
from godwitvalve.caller import answer
from godwitvalve.caller import errors
from godwitvalve.caller import services
from godwitvalve.engine import sse
from godwitvalve.outcomes import codes

# An entry sends a comment for each second of silence.
SILENCE_LIMIT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
ADDRESS_TIMEOUT_S = 2.0
MAX_EVENT_BYTES = 1024 * 1024
# Reconnects without a new token between them.
MAX_FRUITLESS_RECONNECTS = 6
RECONNECT_PAUSE_S = 0.2
# A resume id cannot help after these.
_FINAL_CODES = frozenset(
    (
        codes.ResultCode.VERSION_GONE,
        codes.ResultCode.CONTINUATION_DIVERGED,
        codes.ResultCode.GENERATION_DEADLINE,
    )
)


@dataclasses.dataclass(frozen=True)
class Completion:
    """What to generate.

    :param deadline_wall_s: Unix seconds after which no one waits.
    """

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int | None = None
    priority: int = 5
    deadline_wall_s: float | None = None


def new_session() -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each call.

    A kept connection can have gone silent unnoticed.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class _Interrupted(Exception):
    """The stream stopped; the rest can be asked for elsewhere."""


def _stream_failure(data: bytes, check: answer.AnswerCheck) -> Exception:
    refused = errors.Refused(services.as_problem(services.decode(data)))
    if refused.code not in _FINAL_CODES:
        return _Interrupted(str(refused))
    if not check.token_ids:
        return refused
    return errors.PartialAnswer(str(refused), check.resume_id, check.token_ids)


class Client:
    """Calls the system through any of its entry instances.

    :param session: session made by :func:`new_session`.
    :param known: ``host:port`` of entry instances to begin with.
    :param credential: key of the client account.
    :param failure_domain: failure domain of the caller, may be empty.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        known: abc.Sequence[str],
        credential: str,
        failure_domain: str = '',
        silence_limit_s: float = SILENCE_LIMIT_S,
    ) -> None:
        self._session = session
        self._headers = {'Authorization': f'Bearer {credential}'}
        self._silence_limit_s = silence_limit_s
        self._book = addresses.AddressBook(
            known, failure_domain, random.Random()
        )
        self._services = services.ServiceCalls(
            session, self._headers, self._book, self._call_addresses
        )

    async def addresses(self) -> addresses.AddressAnswer:
        """Ask for the current addresses.

        :raises NoAddress: if no entry instance answered.
        :raises Refused: if the credential was refused.
        """
        timeout = aiohttp.ClientTimeout(
            total=ADDRESS_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        for address in self._book.to_ask():
            try:
                async with self._session.get(
                    f'http://{address}/v1/addresses',
                    headers=self._headers,
                    timeout=timeout,
                ) as response:
                    body = orjson.loads(await response.read())
            except (
                aiohttp.ClientError,
                OSError,
                TimeoutError,
                orjson.JSONDecodeError,
            ):
                self._book.failed(address)
                continue
            if response.status == 200:
                found = addresses.decode(body)
                self._book.update(found)
                return found
            if response.status == 401:
                raise errors.Refused(services.as_problem(body))
            self._book.failed(address)
        raise errors.NoAddress('no entry instance answered')

    async def _call_addresses(self) -> list[str]:
        if not self._book.is_valid(time.time()):
            try:
                await self.addresses()
            except errors.NoAddress:
                # The old addresses may still work.
                pass
        return self._book.to_call(time.time())

    async def complete(self, completion: Completion) -> answer.Answer:
        """Return a whole, checked answer.

        :raises CallerError: see :meth:`stream`.
        """
        check = answer.AnswerCheck()
        reconnects = [0]
        async for _ in self._stream(completion, check, reconnects):
            pass
        return check.whole(reconnects[0])

    async def stream(
        self, completion: Completion
    ) -> abc.AsyncGenerator[answer.Chunk, None]:
        """Yield the tokens of an answer as they come.

        It ends without an error only if the whole answer was checked.

        :raises Refused: if the system refused the request.
        :raises PartialAnswer: if the rest could not be had.
        :raises CorruptAnswer: if the answer breaks a promise.
        :raises NoAddress: if no entry instance could be reached.
        """
        check = answer.AnswerCheck()
        async with contextlib.aclosing(
            self._stream(completion, check, [0])
        ) as chunks:
            async for chunk in chunks:
                yield chunk

    async def _stream(
        self,
        completion: Completion,
        check: answer.AnswerCheck,
        reconnects: list[int],
    ) -> abc.AsyncGenerator[answer.Chunk, None]:
        fruitless = 0
        while True:
            received = len(check.token_ids)
            try:
                async with contextlib.aclosing(
                    self._connect(completion, check)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except _Interrupted as interruption:
                detail = str(interruption)
            fruitless += 1
            if len(check.token_ids) > received:
                fruitless = 0
            if fruitless > MAX_FRUITLESS_RECONNECTS:
                raise self._gave_up(check, detail)
            reconnects[0] += 1
            check.reconnected()
            if fruitless > 1:
                await asyncio.sleep(RECONNECT_PAUSE_S * fruitless)

    def _gave_up(
        self, check: answer.AnswerCheck, detail: str
    ) -> errors.CallerError:
        if not check.token_ids:
            return errors.NoAddress(detail)
        return errors.PartialAnswer(detail, check.resume_id, check.token_ids)

    def _request(
        self, completion: Completion, check: answer.AnswerCheck
    ) -> tuple[bytes, dict[str, str]]:
        body: dict[str, Any] = {
            name: value
            for name, value in dataclasses.asdict(completion).items()
            if value is not None
        }
        body['stream'] = True
        headers = {**self._headers, 'Content-Type': 'application/json'}
        if check.resume_id:
            headers['Last-Event-ID'] = check.resume_id
            body['resume_token_ids'] = check.token_ids
        return orjson.dumps(body), headers

    async def _connect(
        self, completion: Completion, check: answer.AnswerCheck
    ) -> abc.AsyncGenerator[answer.Chunk, None]:
        found = await self._call_addresses()
        if not found:
            raise errors.NoAddress('no address is known')
        address = found[0]
        body, headers = self._request(completion, check)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._silence_limit_s,
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
                async with contextlib.aclosing(
                    self._read(response, check)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._book.failed(address)
            raise _Interrupted(type(error).__name__) from error
        except sse.EventTooLarge as error:
            raise errors.CorruptAnswer('event too large') from error
        if not check.is_done:
            self._book.failed(address)
            raise _Interrupted('the stream ended early')
        self._book.worked(address)

    async def _raise_problem(
        self, response: aiohttp.ClientResponse, address: str
    ) -> None:
        problem = services.as_problem(services.decode(await response.read()))
        if response.status in services.RETRIED_STATUSES:
            # Another entry instance may admit the request.
            self._book.failed(address)
            raise _Interrupted(str(errors.Refused(problem)))
        raise errors.Refused(problem)

    async def _read(
        self, response: aiohttp.ClientResponse, check: answer.AnswerCheck
    ) -> abc.AsyncGenerator[answer.Chunk, None]:
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

    async def call_service(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b'',
        key: str | None = None,
    ) -> services.ServiceAnswer:
        """Call a plain service.

        :param path: path below the service, with its query.
        :param key: idempotency key; needed if the route may not be
            repeated. See :meth:`issue_key`.
        :raises OutcomeUnknown: if the call may have run. Only the same key
            may be used to ask again.
        :raises Refused: if the system refused the call.
        :raises NoAddress: if no entry instance could be reached.
        """
        return await self._services.call(service, method, path, body, key)

    async def issue_key(self) -> str:
        """Return a new idempotency key from an entry instance.

        :raises CallerError: if none was issued.
        """
        return await self._services.issue_key()
