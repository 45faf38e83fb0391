"""Streams that continue to generate while no connection reads them."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any, NamedTuple

from standins.engine import cache
from standins.engine import faults as engine_faults
from standins.engine import tokens

# Finished streams are retained for a late resume, up to this number.
MAX_RETAINED_STREAMS = 5_000


class Speed(NamedTuple):
    """Simulated generation speed and the limit for unread streams."""

    token_interval_s: float
    tokens_per_event: int
    prefill_s_per_1000_tokens: float
    orphan_limit_s: float


class Superseded(Exception):
    """A newer attempt of the request exists."""


class Stream:
    """One generation and its buffered tokens."""

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
        """Wake all waiting readers."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_changed(self, timeout_s: float) -> bool:
        """Wait for new tokens or the end; return False on a timeout."""
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
        """Stop generating; only the first reason is recorded."""
        self.end_reason = self.end_reason or reason
        if self.task is not None:
            self.task.cancel()
        self.notify()


class StreamTable:
    """Streams of one engine by stream id and by request id."""

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
        """Start a stream for an order.

        :raises Superseded: if the same or a newer attempt exists.
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
        self._evict_oldest()
        return stream

    def resume(self, stream: Stream, attempt: int) -> None:
        """Assign a stream to a newer attempt.

        :raises Superseded: if the attempt is not newer.
        """
        if attempt <= stream.attempt:
            raise Superseded()
        stream.attempt = attempt
        stream.attempts.append(attempt)
        stream.notify()

    def _evict_oldest(self) -> None:
        while len(self.streams) > MAX_RETAINED_STREAMS:
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
            await self._faults.wait_unfrozen()
            if self._is_orphaned(stream):
                stream.end_reason = 'orphaned'
                break
            start = len(stream.token_ids)
            end = min(start + speed.tokens_per_event, stream.max_tokens)
            stream.token_ids.extend(map(source.token, range(start, end)))
            stream.notify()
        stream.end_reason = stream.end_reason or 'length'
        stream.notify()

    def _is_orphaned(self, stream: Stream) -> bool:
        if stream.readers:
            return False
        unread_s = time.monotonic() - stream.unread_since_s
        return unread_s > self._speed.orphan_limit_s
