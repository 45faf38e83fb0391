"""Callers of the soak test and the guarantees that they check."""

from __future__ import annotations

import asyncio
import itertools
import random

import aiohttp

from standins.fleet import site as fleet_site

EVENTS = 50
CALL_LIMIT_S = 6.0
PAUSE_S = 0.05
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def expected_events(count: int) -> bytes:
    """Return the first events of a stream."""
    return b''.join(
        b'id: %d\ndata: token\n\n' % number for number in range(1, count + 1)
    )


class Callers:
    """Sends calls and streams over persistent connections until cancelled.

    :param addresses: addresses of all entries.
    """

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self.violations: list[str] = []
        self.not_run: set[str] = set()
        self.answered: set[str] = set()
        self.outcomes: dict[str, int] = {}
        self._addresses = addresses
        self._rng = rng
        self._numbers = itertools.count(1)

    def _count_outcome(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            'Host': fleet_site.HOST,
            'Request-Id': request_id,
            'Api-Key': fleet_site.KEY,
            'Deadline-Ms': str(int(CALL_LIMIT_S * 1000)),
        }

    async def run(self) -> None:
        """Send calls and streams in random order until cancelled."""
        limit = aiohttp.ClientTimeout(total=CALL_LIMIT_S + 1.0)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                send = self.call if self._rng.random() < 0.7 else self.stream
                await send(session)
                await asyncio.sleep(PAUSE_S * self._rng.random())

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Send a complaint; return whether it was answered with 200."""
        request_id = f'c-{next(self._numbers)}'
        address = self._rng.choice(self._addresses)
        url = f'http://{address}{fleet_site.CALL_PREFIX}{request_id}'
        body = f'noise {request_id}'.encode()
        try:
            async with session.post(
                url, data=body, headers=self._headers(request_id)
            ) as answer:
                content = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            self._count_outcome('call: no answer')
            return False
        self._count_outcome(f'call: {status}')
        if status in NOT_RUN_STATUSES:
            self.not_run.add(request_id)
        elif status == 200:
            self.answered.add(request_id)
            if content != b'done ' + body:
                self.violations.append(f'{request_id}: answer {content!r}')
        elif status < 500:
            self.violations.append(f'{request_id}: denied with {status}')
        return status == 200

    async def stream(self, session: aiohttp.ClientSession) -> bool:
        """Request a summary; return whether the stream was complete."""
        request_id = f's-{next(self._numbers)}'
        address = self._rng.choice(self._addresses)
        url = f'http://{address}{fleet_site.STREAM_PREFIX}{request_id}'
        headers = {
            **self._headers(request_id),
            'Token-Usage': f'10,{EVENTS}',
            'Prompt-Prefix': f'aa:5,{request_id}:5',
        }
        content = bytearray()
        is_complete = False
        status = 0
        try:
            async with session.post(
                url, data=b'month', headers=headers
            ) as answer:
                status = answer.status
                async for chunk in answer.content.iter_any():
                    content += chunk
                is_complete = True
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            self._count_outcome('stream: broken off')
        if status != 200:
            self._count_outcome(f'stream: {status}')
            if 400 <= status < 500 and status not in NOT_RUN_STATUSES:
                self.violations.append(f'{request_id}: denied with {status}')
            return False
        expected = expected_events(EVENTS)
        if is_complete and content != expected:
            self.violations.append(f'{request_id}: looks whole and is not')
        if not expected.startswith(content):
            self.violations.append(f'{request_id}: events are not in order')
        if is_complete:
            self._count_outcome('stream: whole')
        return is_complete
