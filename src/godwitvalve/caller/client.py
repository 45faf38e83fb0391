"""Client library of the reference caller."""

from __future__ import annotations

from collections import abc
import contextlib
import random
import time

import aiohttp
import orjson

from godwitvalve.caller import addresses
from godwitvalve.caller import answer
from godwitvalve.caller import completions
from godwitvalve.caller import errors
from godwitvalve.caller import services

# An entry sends a comment after each second without other data.
IDLE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
ADDRESS_TIMEOUT_S = 2.0

Completion = completions.Completion


def new_session() -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each call.

    A reused connection may be dead without either side knowing.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class Client:
    """Calls the system through any of its entry instances.

    :param session: session made by :func:`new_session`.
    :param initial_addresses: ``host:port`` of entry instances that are
        asked for the current addresses.
    :param credential: key of the client account.
    :param failure_domain: failure domain of the caller, may be empty.
    :param idle_timeout_s: seconds without data after which a stream is
        continued on another connection.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        initial_addresses: abc.Sequence[str],
        credential: str,
        failure_domain: str = '',
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._headers = {'Authorization': f'Bearer {credential}'}
        self._idle_timeout_s = idle_timeout_s
        self._pool = addresses.AddressPool(
            initial_addresses, failure_domain, random.Random()
        )
        self._services = services.ServiceCalls(
            session, self._headers, self._pool, self._call_addresses
        )

    async def addresses(self) -> addresses.AddressAnswer:
        """Request the current addresses.

        :raises NoAddress: if no entry instance answered.
        :raises Refused: if the credential was rejected.
        """
        timeout = aiohttp.ClientTimeout(
            total=ADDRESS_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        for address in self._pool.lookup_order():
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
                self._pool.mark_failed(address)
                continue
            if response.status == 200:
                found = addresses.decode(body)
                self._pool.update(found)
                return found
            if response.status == 401:
                raise errors.Refused(services.as_problem(body))
            self._pool.mark_failed(address)
        raise errors.NoAddress('no entry instance answered')

    async def _call_addresses(self) -> list[str]:
        if not self._pool.is_valid(time.time()):
            try:
                await self.addresses()
            except errors.NoAddress:
                # The expired addresses may still work.
                pass
        return self._pool.call_order(time.time())

    def _completion_stream(
        self, completion: Completion
    ) -> completions.CompletionStream:
        return completions.CompletionStream(
            self._session,
            self._headers,
            self._pool,
            self._call_addresses,
            self._idle_timeout_s,
            completion,
        )

    async def complete(self, completion: Completion) -> answer.Answer:
        """Return a complete, verified answer.

        :raises CallerError: see :meth:`stream`.
        """
        stream = self._completion_stream(completion)
        async for _ in stream.chunks():
            pass
        return stream.result()

    async def stream(
        self, completion: Completion
    ) -> abc.AsyncGenerator[answer.Chunk, None]:
        """Yield the tokens of an answer as they arrive.

        Ends without an error only if the complete answer was verified.

        :raises Refused: if the system rejected the request.
        :raises PartialAnswer: if the answer could not be continued.
        :raises CorruptAnswer: if tokens are missing, repeated or changed.
        :raises NoAddress: if no entry instance could be reached.
        """
        stream = self._completion_stream(completion)
        async with contextlib.aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call_service(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b'',
        key: str | None = None,
    ) -> services.ServiceAnswer:
        """Call a plain service.

        :param path: path relative to the service, with the query string.
        :param key: idempotency key; required if the route is not
            repeatable. See :meth:`issue_key`.
        :raises OutcomeUnknown: if the call may have run. A retry must use
            the same key.
        :raises Refused: if the system rejected the call.
        :raises NoAddress: if no entry instance could be reached.
        """
        return await self._services.call(service, method, path, body, key)

    async def issue_key(self) -> str:
        """Request a new idempotency key from an entry instance.

        :raises CallerError: if none was issued.
        """
        return await self._services.issue_key()
