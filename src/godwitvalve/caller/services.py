"""Calls plain services, with at most one run per idempotency key."""

from __future__ import annotations

import asyncio
from collections import abc
from typing import Any, NamedTuple, TypeAlias

import aiohttp
import orjson

from godwitvalve.caller import addresses
from godwitvalve.caller import errors
from godwitvalve.outcomes import codes

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Attempts on the full list of addresses, with a pause in between.
MAX_ROUNDS = 3
ROUND_PAUSE_S = 0.3
# Another entry instance may accept a request rejected with these.
RETRIED_STATUSES = frozenset((502, 503))
_PROBLEM_TYPE = 'urn:godwitvalve:result:'
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Unknown outcomes that a later retry with the same key may resolve.
_RETRY_KEY_CODES = frozenset(
    (codes.ResultCode.OWNER_UNREACHABLE, codes.ResultCode.CLAIM_UNKNOWN)
)

FreshAddresses: TypeAlias = abc.Callable[[], abc.Awaitable[list[str]]]


class ServiceAnswer(NamedTuple):
    """Answer of a plain service, passed on unchanged."""

    status: int
    headers: dict[str, str]
    body: bytes


def decode(body: bytes) -> object:
    """Decode JSON; return None if it is malformed."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


def as_problem(body: object) -> dict[str, Any]:
    """Return the body if it is problem details, else a substitute."""
    if isinstance(body, dict) and 'title' in body:
        return body
    return {'title': 'answer without problem details', 'detail': ''}


def _system_problem(status: int, body: bytes) -> dict[str, Any] | None:
    # Problem details of the service itself are passed on to the caller.
    if status < 400:
        return None
    problem = decode(body)
    if not isinstance(problem, dict):
        return None
    kind = problem.get('type')
    if not isinstance(kind, str) or not kind.startswith(_PROBLEM_TYPE):
        return None
    return problem


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes | None:
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            return None
    return bytes(body)


class _Call(NamedTuple):
    method: str
    path: str
    body: bytes
    key: str | None

    @property
    def may_repeat(self) -> bool:
        """Tell whether the call may be retried after it may have run."""
        return self.key is not None or self.method in _SAFE_METHODS


class ServiceCalls:
    """Sends calls to one address after the other until one succeeds.

    :param fresh_addresses: returns the addresses in the order of preference.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        headers: dict[str, str],
        pool: addresses.AddressPool,
        fresh_addresses: FreshAddresses,
    ) -> None:
        self._session = session
        self._headers = headers
        self._pool = pool
        self._fresh_addresses = fresh_addresses

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes,
        key: str | None,
    ) -> ServiceAnswer:
        """Call a plain service; see ``Client.call_service``."""
        full_path = f'/v1/services/{service}/{path.removeprefix("/")}'
        return await self._call(_Call(method.upper(), full_path, body, key))

    async def issue_key(self) -> str:
        """Request a new idempotency key.

        :raises CallerError: if none was issued.
        """
        # An issued key that is never used has no effect, so the request may
        # be repeated.
        found = await self._call(_Call('POST', '/v1/keys', b'', None), True)
        body = decode(found.body)
        if isinstance(body, dict) and isinstance(body.get('key'), str):
            return str(body['key'])
        raise errors.CorruptAnswer('malformed key answer')

    async def _call(
        self, call: _Call, may_repeat: bool = False
    ) -> ServiceAnswer:
        may_repeat = may_repeat or call.may_repeat
        failure: errors.CallerError = errors.NoAddress('no address is known')
        was_sent = False
        for round_number in range(MAX_ROUNDS):
            if round_number:
                await asyncio.sleep(ROUND_PAUSE_S * round_number)
            for address in await self._fresh_addresses():
                try:
                    return await self._send(address, call)
                except _FinalUnknown:
                    raise
                except errors.OutcomeUnknown as error:
                    was_sent = True
                    failure = error
                    if not may_repeat:
                        raise
                except _TryElsewhere as error:
                    failure = error.failure
                self._pool.mark_failed(address)
        if was_sent:
            # An earlier attempt may have run, even if the last one did not.
            raise errors.OutcomeUnknown(str(failure), call.key)
        raise failure

    async def _send(self, address: str, call: _Call) -> ServiceAnswer:
        headers = dict(self._headers)
        if call.key is not None:
            headers['Idempotency-Key'] = call.key
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                call.method,
                f'http://{address}{call.path}',
                data=call.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_bounded(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            failure = errors.NoAddress(type(error).__name__)
            raise _TryElsewhere(failure) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.OutcomeUnknown(
                type(error).__name__, call.key
            ) from error
        if body is None:
            raise errors.OutcomeUnknown('answer too large', call.key)
        problem = _system_problem(response.status, body)
        if problem is not None:
            raise _failure(problem, response.status, call.key)
        self._pool.mark_working(address)
        found = {str(name): text for name, text in response.headers.items()}
        return ServiceAnswer(response.status, found, body)


class _TryElsewhere(Exception):
    """The call did not run and may be sent to another address."""

    def __init__(self, failure: errors.CallerError) -> None:
        super().__init__(str(failure))
        self.failure = failure


def _failure(
    problem: dict[str, Any], status: int, key: str | None
) -> Exception:
    refused = errors.Refused(problem)
    if refused.not_run:
        if status in RETRIED_STATUSES:
            return _TryElsewhere(refused)
        return refused
    if refused.code in _RETRY_KEY_CODES:
        return errors.OutcomeUnknown(str(refused), key)
    return _FinalUnknown(str(refused), key)


class _FinalUnknown(errors.OutcomeUnknown):
    """The outcome stays unknown; a retry with the same key cannot tell."""
