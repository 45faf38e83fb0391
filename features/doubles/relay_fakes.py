"""Scripted engine and picker for relay tests, all in one process."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import re

from godwitvalve.engine import port
from godwitvalve.outcomes import codes
from godwitvalve.routing import endpoint as endpoint_model


def endpoint(endpoint_id, version='v1'):
    return endpoint_model.Endpoint(
        endpoint_id, f'127.0.0.1:{endpoint_id}', 'fd', 'm', version, True
    )


def token(order_or_seed, index, version='v1'):
    seed = getattr(order_or_seed, 'seed', order_or_seed)
    return (seed * 1000 + index * 7 + sum(map(ord, version))) % 65_000


def expected(seed, count, version='v1'):
    return [token(seed, index, version) for index in range(count)]


class ScriptedEngine:
    """Engine whose calls follow scripts such as ``3 tokens, idle``.

    Each endpoint has one queue of scripts for ``generate`` and one for
    ``resume``; an empty ``resume`` queue means that the engine has no stream.
    """

    def __init__(self):
        self.generate_scripts = collections.defaultdict(collections.deque)
        self.resume_scripts = collections.defaultdict(collections.deque)
        self.calls = []
        self.cancelled = []
        self.open_streams = 0
        self.closed = asyncio.Event()

    async def generate(self, endpoint, order):
        self.calls.append(('generate', endpoint.endpoint_id, order))
        script = self.generate_scripts[endpoint.endpoint_id].popleft()
        async with contextlib.aclosing(
            self._run_script(endpoint, order, script)
        ) as events:
            async for event in events:
                yield event

    async def resume(self, endpoint, stream_id, order):
        self.calls.append(('resume', endpoint.endpoint_id, order))
        scripts = self.resume_scripts[endpoint.endpoint_id]
        if not scripts:
            raise port.EngineError('stream_gone', True)
        async with contextlib.aclosing(
            self._run_script(endpoint, order, scripts.popleft())
        ) as events:
            async for event in events:
                yield event

    async def cancel(self, endpoint, stream_id):
        self.cancelled.append((endpoint.endpoint_id, stream_id))

    async def _run_script(self, endpoint, order, script):
        self.open_streams += 1
        try:
            steps = script.split(', ')
            if steps[0].startswith('refuse '):
                _, reason, sent = steps[0].split()
                raise port.EngineError(reason, sent == 'sent')
            if steps[0] == 'late start':
                await asyncio.sleep(0.4)
            if steps[0] != 'no start':
                yield self.started_event(endpoint, order)
            state = ScriptedStream(order, len(order.prefix_token_ids))
            for step in steps:
                async with contextlib.aclosing(state.run(step)) as events:
                    async for event in events:
                        yield event
        finally:
            self.open_streams -= 1

    def started_event(self, endpoint, order):
        return port.StreamStarted(
            order.request_id,
            order.attempt,
            f'stream-{endpoint.endpoint_id}',
            order.version,
            order.adapter,
            order.seed,
            len(order.prefix_token_ids),
            len(order.prefix_token_ids),
        )


class ScriptedStream:
    def __init__(self, order, cursor):
        self.order = order
        self.cursor = cursor
        self.shift = 0

    def tokens(self, first, count, attempt=None):
        ids = tuple(
            token(self.order, index, self.order.version) + self.shift
            for index in range(first, first + count)
        )
        pieces = tuple(f' {item}' for item in ids)
        return port.Tokens(
            self.order.request_id,
            self.order.attempt if attempt is None else attempt,
            first,
            ids,
            pieces,
        )

    async def run(self, step):
        order = self.order
        if match := re.fullmatch(r'(\d+) tokens', step):
            for _ in range(int(match[1])):
                yield self.tokens(self.cursor, 1)
                self.cursor += 1
        elif step == 'rest':
            count = order.max_tokens - self.cursor
            if count:
                yield self.tokens(self.cursor, count)
            self.cursor += count
            yield self.ended(self.cursor)
        elif step == 'idle':
            await asyncio.sleep(3600)
        elif match := re.fullmatch(r'(\d+) heartbeats', step):
            for _ in range(int(match[1])):
                await asyncio.sleep(0.1)
                yield port.Heartbeat()
        elif match := re.fullmatch(r'lose (\w+)', step):
            raise port.EngineError(match[1], True)
        elif match := re.fullmatch(r'repeat (\d+)', step):
            yield self.tokens(self.cursor - int(match[1]), int(match[1]))
        elif match := re.fullmatch(r'skip (\d+)', step):
            self.cursor += int(match[1])
        elif step == 'diverge':
            self.shift = 1
        elif step == 'late tokens':
            yield self.tokens(self.cursor, 2, order.attempt - 1)
        elif match := re.fullmatch(r'end at (\d+)', step):
            yield self.ended(int(match[1]))

    def ended(self, count):
        return port.StreamEnded(
            self.order.request_id, self.order.attempt, 'length', count
        )


class ListPicker:
    """Picks the first untried endpoint and counts outstanding picks."""

    def __init__(self, endpoints):
        self.endpoints = list(endpoints)
        self.outstanding = collections.Counter()
        self.results = []
        self.requested_versions = []
        self.refusal = None

    def pick(self, tried, prefix_hint, version):
        self.requested_versions.append(version)
        if self.refusal and self.results:
            return self.refusal
        for item in self.endpoints:
            if item.endpoint_id not in tried:
                self.outstanding[item.endpoint_id] += 1
                return item
        return codes.ResultCode.NO_ENDPOINT

    def claim(self, endpoint_id):
        for item in self.endpoints:
            if item.endpoint_id == endpoint_id:
                self.outstanding[endpoint_id] += 1
                return item
        return None

    def adapter(self, version):
        return f'adapter-{version}'

    def release(self, endpoint, result):
        self.outstanding[endpoint.endpoint_id] -= 1
        self.results.append((endpoint.endpoint_id, result))
