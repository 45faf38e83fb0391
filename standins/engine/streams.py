"""Streams that keep generating while no connection reads them."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any, NamedTuple

from standins.engine import cache
from standins.engine import faults as engine_faults
from standins.engine import tokens

# Finished streams are kept for a late resume, up to this number.
MAX_KEPT_STREAMS = 5_000


class Speed(NamedTuple):
    """Costs of the stand-in's work."""

    token_interval_s: float
    tokens_per_event: int
    prefill_s_per_1000_tokens: float
    orphan_limit_s: float


class Superseded(Exception):
    """A newer attempt of the request exists."""


class Stream:
    """One generation with its buffered tokens."""

    def __init__(self, stream_id: str, order: dict[str, Any]) -> None:
        self.stream_id = stream_id
        self.request_id = str(order['request_id'])
        self.attempt = int(order['attempt'])
        self.attempts = [self.attempt]
        self.version = str(order['version'])
        self.adapter = str(order['adapter'])
        self.seed = int(order['seed'])
        self.max_tokens = int(order['max_tokens'])
        self.token_ids = [int(token) for token in order['prefix_token_ids']]
        self.prefix_length = len(self.token_ids)
        self.prefill_tokens = 0
        self.end_reason = ''
        self.readers = 0
        self.unread_since_s = time.monotonic()
        self.task: asyncio.Task[None] | None = None
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def generated_tokens(self) -> int:
        """Return the number of tokens computed by this stream."""
        return len(self.token_ids) - self.prefix_length

    def notify(self) -> None:
        """Wake the readers."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def changed(self, timeout_s: float) -> bool:
        """Wait for new tokens or the end; False after the timeout."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters.append(waiter)
        timer = loop.call_later(timeout_s, self._expire, waiter)
        try:
            await waiter
        except TimeoutError:
            return False
        finally:
            timer.cancel()
        return True

    def _expire(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not waiter.done():
            waiter.set_exception(TimeoutError())

    def end(self, reason: str) -> None:
        """Stop generating; the first reason stays."""
        self.end_reason = self.end_reason or reason
        if self.task is not None:
            self.task.cancel()
        self.notify()


class StreamTable:
    """All streams of one engine by id and by request."""

    def __init__(
        self,
        speed: Speed,
        prefixes: cache.PrefixCache,
        faults: engine_faults.Faults,
    ) -> None:
        self.streams: dict[str, Stream] = {}
        self._by_request: dict[str, Stream] = {}
        self._speed = speed
        self._prefixes = prefixes
        self._faults = faults
        self._ids = itertools.count(1)
        self._id_salt = f'{time.time_ns():x}'

    def running(self) -> int:
        """Return the number of streams that generate now."""
        return sum(not stream.end_reason for stream in self.streams.values())

    def start(self, order: dict[str, Any]) -> Stream:
        """Begin to generate.

        :raises Superseded: if a newer attempt is known.
        """
        stream = Stream(f's{self._id_salt}-{next(self._ids)}', order)
        older = self._by_request.get(stream.request_id)
        if older is not None:
            if older.attempt >= stream.attempt:
                raise Superseded()
            older.end('superseded')
        self._by_request[stream.request_id] = stream
        self.streams[stream.stream_id] = stream
        prompt = str(order['prompt'])
        self._reuse_prefix(stream, prompt)
        stream.task = asyncio.create_task(self._generate(stream, prompt))
        self._forget_oldest()
        return stream

    def resume(self, stream: Stream, attempt: int) -> None:
        """Give a stream to a newer attempt.

        :raises Superseded: if the attempt is not newer.
        """
        if attempt <= stream.attempt:
            raise Superseded()
        stream.attempt = attempt
        stream.attempts.append(attempt)
        stream.notify()

    def _forget_oldest(self) -> None:
        while len(self.streams) > MAX_KEPT_STREAMS:
            oldest = self.streams.pop(next(iter(self.streams)))
            oldest.end('evicted')
            if self._by_request.get(oldest.request_id) is oldest:
                del self._by_request[oldest.request_id]

    def _reuse_prefix(self, stream: Stream, prompt: str) -> None:
        key = (stream.adapter, tokens.prompt_digest(prompt))
        cached = self._prefixes.cached_tokens(key, stream.token_ids)
        stream.prefill_tokens = stream.prefix_length - max(0, cached)
        if cached < 0:
            stream.prefill_tokens += tokens.prompt_tokens(prompt)
        self._prefixes.store(key, stream.token_ids)

    async def _generate(self, stream: Stream, prompt: str) -> None:
        speed = self._speed
        prefill_s = stream.prefill_tokens * speed.prefill_s_per_1000_tokens
        await asyncio.sleep(prefill_s / 1000 * self._faults.slow_factor)
        source = tokens.TokenSource(
            stream.version,
            stream.adapter,
            stream.seed,
            tokens.prompt_digest(prompt),
            self._faults.diverge,
        )
        due_s = time.monotonic()
        while len(stream.token_ids) < stream.max_tokens:
            interval_s = speed.token_interval_s * speed.tokens_per_event
            due_s += interval_s * self._faults.slow_factor
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            await self._faults.while_frozen()
            if self._orphaned(stream):
                stream.end_reason = 'orphaned'
                break
            start = len(stream.token_ids)
            end = min(start + speed.tokens_per_event, stream.max_tokens)
            stream.token_ids.extend(map(source.token, range(start, end)))
            stream.notify()
        stream.end_reason = stream.end_reason or 'length'
        stream.notify()

    def _orphaned(self, stream: Stream) -> bool:
        if stream.readers:
            return False
        unread_s = time.monotonic() - stream.unread_since_s
        return unread_s > self._speed.orphan_limit_s
