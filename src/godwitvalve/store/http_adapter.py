"""HTTP client of the platform's table, object, weight and list services."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from urllib import parse

import aiohttp
import orjson

from godwitvalve.parsing import answers as bodies
from godwitvalve.parsing import connectors
from godwitvalve.store import answers
from godwitvalve.store import port

DEFAULT_TIMEOUT_S = 1.0
# A larger answer is treated as damaged instead of being read to its end.
MAX_ANSWER_BYTES = 32 * 1024 * 1024

# Errors that are raised before the first byte of a request is written.
_UNSENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


async def _single_use_body(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body that the HTTP client cannot send a second time.

    aiohttp repeats a PUT after a connection loss if its body can be read
    again. Repeating a write that took effect would return a conflict, which
    would be taken as "nothing was written".
    """
    yield body


def _table_path(table: str, key: str) -> str:
    return f'/tables/{_quote(table)}/{_quote(key)}'


def _quote(text: str) -> str:
    return parse.quote(text, safe='')


class HttpPlatform:
    """Implements all four platform ports over one base URL.

    Each call opens its own connection: a pooled connection may have become
    unresponsive, and only a new one distinguishes "not sent" from "lost
    after sending".

    :param base_url: URL of the platform, such as ``http://127.0.0.1:7002``.
    :param timeout_s: seconds after which a call fails.
    """

    def __init__(
        self, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> HttpPlatform:
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = connectors.new_session(
                force_close=True,
                timeout=aiohttp.ClientTimeout(total=self._timeout_s),
            )
        return self._session

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> answers.Answer:
        async with self._open_session().request(
            method,
            self._base_url + path,
            data=None if body is None else _single_use_body(body),
            headers=headers,
            allow_redirects=False,
        ) as answer:
            content = await bodies.read(answer, MAX_ANSWER_BYTES)
            return answers.Answer(answer.status, content)

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> answers.Answer:
        """Return an answer with status 200 or 404.

        :raises PlatformUnavailable: on any other status or failure.
        """
        try:
            answer = await self._call(method, path, body)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            reason = f'{method} {path}: {type(error).__name__}'
            raise port.PlatformUnavailable(reason) from error
        if answer.status not in (200, 404):
            reason = f'{method} {path}: status {answer.status}'
            raise port.PlatformUnavailable(reason)
        return answer

    async def read(self, table: str, key: str) -> port.Row | None:
        """Return a row or None.

        :raises PlatformUnavailable: if no answer came in time.
        """
        answer = await self._request('GET', _table_path(table, key))
        if answer.status == 404:
            return None
        return answers.decode_body(answers.row, answer)

    async def scan(self, table: str, prefix: str) -> list[port.Row]:
        """Return the rows whose key starts with a prefix, by key.

        :raises PlatformUnavailable: if no answer came in time.
        """
        path = f'/tables/{_quote(table)}?prefix={_quote(prefix)}'
        answer = await self._request('GET', path)
        if answer.status == 404:
            return []
        return answers.decode_body(answers.rows, answer)

    async def compare_and_set(
        self, table: str, key: str, expected_version: int, value: bytes
    ) -> port.WriteOutcome:
        """Write a row if it still has the expected version.

        :param expected_version: 0 if the row must be absent.
        """
        body = orjson.dumps({'value': base64.b64encode(value).decode()})
        headers = {'If-Match': str(expected_version)}
        path = _table_path(table, key)
        try:
            answer = await self._call('PUT', path, body, headers)
        except _UNSENT_ERRORS as error:
            return port.WriteRefused(f'not sent: {type(error).__name__}')
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            return port.WriteUnknown(f'no answer: {type(error).__name__}')
        return answers.write_outcome(answer)

    async def put(self, key: str, body: bytes) -> None:
        """Store an object.

        :raises PlatformUnavailable: if the store did not confirm it.
        """
        answer = await self._request('PUT', f'/objects/{_quote(key)}', body)
        if answer.status != 200:
            raise port.PlatformUnavailable(f'PUT object: {answer.status}')

    async def get(self, key: str) -> bytes | None:
        """Return an object or None.

        :raises PlatformUnavailable: if no answer came in time.
        """
        answer = await self._request('GET', f'/objects/{_quote(key)}')
        return answer.body if answer.status == 200 else None

    async def has(self, weights: str) -> bool:
        """Tell whether the weights are stored.

        :raises PlatformUnavailable: if no answer came in time.
        """
        answer = await self._request('GET', f'/weights/{_quote(weights)}')
        return answer.status == 200

    async def instances(self) -> list[port.ListedInstance]:
        """Return the listed instances.

        :raises PlatformUnavailable: if no answer came in time.
        """
        answer = await self._request('GET', '/instances')
        return answers.decode_body(answers.instances, answer)
