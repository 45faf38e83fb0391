"""Simulates a client account that overloads a queue shared with another."""

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
    """Interface of ``AdmissionQueue`` that the simulation uses."""

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
    """Baseline: one queue for all accounts, bounded by the expected wait."""

    def __init__(self) -> None:
        self._waiting: collections.deque[queue.QueuedRequest] = (
            collections.deque()
        )

    def offer(
        self, request: queue.QueuedRequest, now_s: float
    ) -> queue.OfferOutcome:
        """Queue a request unless its expected wait exceeds its deadline."""
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
    """Waits and rejections; fractions are of the account's requests.

    :param waits_s: waits of the small account's requests in seconds.
    :param rejected: fraction of the small account's requests rejected.
    :param late: fraction of the small account's requests that were queued
        and taken from the queue after their deadline.
    :param large_rejected: as ``rejected``, of the large account.
    :param large_late: as ``late``, of the large account.
    """

    waits_s: list[float]
    rejected: float
    late: float
    large_rejected: float
    large_late: float


class _Event(NamedTuple):
    at_s: float
    order: int
    kind: str


class FloodRun:
    """Simulates a large account at 5 times the capacity and a small at 2%."""

    def __init__(self, seed: int, admission_queue: Queue) -> None:
        self._random = random.Random(seed)
        self._queue = admission_queue
        self._events: list[_Event] = []
        self._arrived_at_s: dict[int, float] = {}
        self._count = 0
        self._free_slots = SLOTS
        self._offered: collections.Counter[str] = collections.Counter()
        self._rejected: collections.Counter[str] = collections.Counter()
        self._late: collections.Counter[str] = collections.Counter()
        self._waits_s: list[float] = []

    def run(self) -> FloodResult:
        """Run the simulation."""
        capacity_per_s = SLOTS / SERVICE_S
        rates = {'large': 5 * capacity_per_s, 'small': 0.02 * capacity_per_s}
        for account, rate in rates.items():
            self._schedule(self._random.expovariate(rate), account)
        while self._events and self._events[0].at_s < DURATION_S:
            event = heapq.heappop(self._events)
            if event.kind == 'end':
                self._free_slots += 1
                self._queue.record_finished(100.0, event.at_s)
            else:
                gap_s = self._random.expovariate(rates[event.kind])
                self._schedule(event.at_s + gap_s, event.kind)
                self._arrive(event.kind, event.at_s)
            self._serve(event.at_s)
        return FloodResult(
            self._waits_s,
            self._rejected['small'] / max(1, self._offered['small']),
            self._late['small'] / max(1, self._offered['small']),
            self._rejected['large'] / max(1, self._offered['large']),
            self._late['large'] / max(1, self._offered['large']),
        )

    def _schedule(self, at_s: float, kind: str) -> None:
        self._count += 1
        heapq.heappush(self._events, _Event(at_s, self._count, kind))

    def _arrive(self, account: str, now_s: float) -> None:
        self._offered[account] += 1
        request = queue.QueuedRequest(
            self._count, account, 100.0, now_s + DEADLINE_S
        )
        if isinstance(self._queue.offer(request, now_s), queue.Rejected):
            self._rejected[account] += 1
            return
        self._arrived_at_s[request.request_id] = now_s

    def _serve(self, now_s: float) -> None:
        while self._free_slots:
            request = self._queue.take(now_s)
            if request is None:
                break
            waited_s = now_s - self._arrived_at_s.pop(request.request_id)
            if waited_s > DEADLINE_S:
                self._late[request.client_account] += 1
                continue
            self._free_slots -= 1
            if request.client_account == 'small':
                self._waits_s.append(waited_s)
            service_s = self._random.expovariate(1 / SERVICE_S)
            self._schedule(now_s + service_s, 'end')
        self._queue.set_busy(not self._free_slots, now_s)
