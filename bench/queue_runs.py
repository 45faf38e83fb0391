"""Simulated flood of one client account against a small one."""

from __future__ import annotations

import collections
import heapq
import random
from typing import NamedTuple, Protocol

from godwitvalve.limits import queue

SLOTS = 16
SERVICE_S = 1.0
DURATION_S = 120.0
DEADLINE_S = 10.0


class Queue(Protocol):
    """The part of ``AdmissionQueue`` that the simulation uses."""

    def offer(
        self, request: queue.QueuedRequest, now_s: float
    ) -> queue.OfferOutcome:
        """See ``AdmissionQueue``."""

    def take(self, now_s: float) -> queue.QueuedRequest | None:
        """See ``AdmissionQueue``."""

    def record_finished(self, cost_tokens: float, now_s: float) -> None:
        """See ``AdmissionQueue``."""

    def set_busy(self, busy: bool, now_s: float) -> None:
        """See ``AdmissionQueue``."""


class FirstComeFirstServed:
    """Baseline: one queue, bounded by the expected wait."""

    def __init__(self) -> None:
        self._waiting: collections.deque[queue.QueuedRequest] = (
            collections.deque()
        )

    def offer(
        self, request: queue.QueuedRequest, now_s: float
    ) -> queue.OfferOutcome:
        """Queue a request unless its expected wait passes its deadline."""
        wait_s = len(self._waiting) * SERVICE_S / SLOTS
        if now_s + wait_s > request.deadline_s:
            return queue.Rejected(now_s + wait_s)
        self._waiting.append(request)
        return queue.Queued(now_s + wait_s)

    def take(self, now_s: float) -> queue.QueuedRequest | None:
        """Return the oldest request."""
        return self._waiting.popleft() if self._waiting else None

    def record_finished(self, cost_tokens: float, now_s: float) -> None:
        """Ignore a finished request."""

    def set_busy(self, busy: bool, now_s: float) -> None:
        """Ignore the number of free slots."""


class FloodResult(NamedTuple):
    """Waits in seconds and refusals of the small account.

    :param late: part of the small account's requests that were queued
        and had passed their deadline when their turn came.
    """

    waits_s: list[float]
    refused: float
    late: float
    large_refused: float
    large_late: float


class _Event(NamedTuple):
    at_s: float
    order: int
    kind: str


class FloodRun:
    """A large account offers 5 times the capacity, a small one 2%."""

    def __init__(self, seed: int, tested: Queue) -> None:
        self._random = random.Random(seed)
        self._queue = tested
        self._events: list[_Event] = []
        self._arrived: dict[int, float] = {}
        self._count = 0
        self._free = SLOTS
        self._asked: collections.Counter[str] = collections.Counter()
        self._refused: collections.Counter[str] = collections.Counter()
        self._late: collections.Counter[str] = collections.Counter()
        self._waits_s: list[float] = []

    def run(self) -> FloodResult:
        """Run the simulation."""
        capacity_per_s = SLOTS / SERVICE_S
        rates = {'large': 5 * capacity_per_s, 'small': 0.02 * capacity_per_s}
        for account, rate in rates.items():
            self._push(self._random.expovariate(rate), account)
        while self._events and self._events[0].at_s < DURATION_S:
            event = heapq.heappop(self._events)
            if event.kind == 'end':
                self._free += 1
                self._queue.record_finished(100.0, event.at_s)
            else:
                wait_s = self._random.expovariate(rates[event.kind])
                self._push(event.at_s + wait_s, event.kind)
                self._arrive(event.kind, event.at_s)
            self._serve(event.at_s)
        return FloodResult(
            self._waits_s,
            self._refused['small'] / max(1, self._asked['small']),
            self._late['small'] / max(1, self._asked['small']),
            self._refused['large'] / max(1, self._asked['large']),
            self._late['large'] / max(1, self._asked['large']),
        )

    def _push(self, at_s: float, kind: str) -> None:
        self._count += 1
        heapq.heappush(self._events, _Event(at_s, self._count, kind))

    def _arrive(self, account: str, now_s: float) -> None:
        self._asked[account] += 1
        request = queue.QueuedRequest(
            self._count, account, 100.0, now_s + DEADLINE_S
        )
        if isinstance(self._queue.offer(request, now_s), queue.Rejected):
            self._refused[account] += 1
            return
        self._arrived[request.request_id] = now_s

    def _serve(self, now_s: float) -> None:
        while self._free:
            request = self._queue.take(now_s)
            if request is None:
                break
            waited_s = now_s - self._arrived.pop(request.request_id)
            if waited_s > DEADLINE_S:
                self._late[request.client_account] += 1
                continue
            self._free -= 1
            if request.client_account == 'small':
                self._waits_s.append(waited_s)
            took_s = self._random.expovariate(1 / SERVICE_S)
            self._push(now_s + took_s, 'end')
        self._queue.set_busy(not self._free, now_s)
