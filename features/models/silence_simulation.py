"""Simulates streams whose endpoints fall silent for a while and go on."""

from __future__ import annotations

import dataclasses
import random

from godwitvalve.endpoint_limits import view as views
from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import silence
from godwitvalve.placement import choose
from godwitvalve.placement import tracker as trackers
from godwitvalve.routing import retry_budget

SERVICE = 'summaries'
TICK_S = 0.05
ENDPOINTS = 6
SLOTS = 4
STREAM_S = 6.0
LIMIT_S = 25.0
SILENCE_S = 1.2
MEAN_TIME_BETWEEN_SILENCES_S = 12.0
MAX_RUNS = 3


@dataclasses.dataclass
class Stream:
    """A stream that has begun; times are seconds of the simulation."""

    endpoint: endpoints.FleetEndpoint | None
    deadline_s: float
    left_s: float = STREAM_S
    progress_s: float = 0.0
    try_again_s: float = 0.0
    runs: int = 0
    is_declared_lost: bool = False


@dataclasses.dataclass
class Result:
    """Counts of one run."""

    completed: int = 0
    cut: int = 0
    moved: int = 0
    longest_wait_to_move_s: float = 0.0


class SilenceSimulation:
    """One run with a seed.

    :param others: state of the other endpoints: ``full``, ``limited``,
        ``no retries`` or ``free``.
    :param silence_s: how long an endpoint is silent.
    :param silent_count: number of endpoints that fall silent.
    :param is_eager: whether streams leave silent endpoints at once, without
        regard to where they can go on.
    """

    def __init__(
        self,
        seed,
        others,
        silence_s=SILENCE_S,
        silent_count=ENDPOINTS,
        is_eager=False,
    ):
        self._rng = random.Random(seed)
        self._others = others
        self._silence_s = silence_s
        self._is_eager = is_eager
        self._now_s = 100.0
        self._tracker = trackers.EndpointTracker()
        self._budget = (
            retry_budget.RetryBudget(0.0, 0.0, 0.0)
            if others == 'no retries'
            else retry_budget.RetryBudget(1e6)
        )
        self._endpoints = [
            endpoints.FleetEndpoint(
                f'e{number}',
                SERVICE,
                f'10.0.0.{number}:1',
                f'fd-{number % 3}',
                'v1',
                SLOTS,
                False,
                1,
            )
            for number in range(ENDPOINTS)
        ]
        self._silent_until_s = [0.0] * silent_count
        self._monitor = gaps.GapMonitor(0.7, 4.5)
        self._streams = []
        self.result = Result()

    def run(self, length_s):
        end_s = self._now_s + length_s
        while self._now_s < end_s:
            self._now_s += TICK_S
            self._arrive()
            self._fall_silent()
            for stream in list(self._streams):
                self._advance(stream)
        return self.result

    def _stats(self, endpoint):
        return self._tracker.stats(endpoint.endpoint_id)

    def _arrive(self):
        """Fill the endpoints, or half of them, with new streams."""
        places = SLOTS if self._others == 'full' else SLOTS // 2
        for endpoint in self._endpoints:
            while self._stats(endpoint).streams < places:
                stream = Stream(None, self._now_s + LIMIT_S)
                self._place(stream, endpoint)
                # Streams that began at once would end at once.
                stream.left_s *= self._rng.uniform(0.2, 1.0)
                self._streams.append(stream)

    def _fall_silent(self):
        chance = TICK_S / MEAN_TIME_BETWEEN_SILENCES_S
        for number, until_s in enumerate(self._silent_until_s):
            if until_s <= self._now_s and self._rng.random() < chance:
                self._silent_until_s[number] = self._now_s + self._silence_s

    def _place(self, stream, endpoint):
        stream.endpoint = endpoint
        stream.progress_s = self._now_s
        stream.runs += 1
        stream.is_declared_lost = False
        self._stats(endpoint).streams += 1

    def _leave(self, stream):
        self._stats(stream.endpoint).streams -= 1
        stream.endpoint = None

    def _end(self, stream, is_complete):
        if stream.endpoint is not None:
            self._leave(stream)
        self._streams.remove(stream)
        if is_complete:
            self.result.completed += 1
        else:
            self.result.cut += 1

    def _advance(self, stream):
        if self._now_s > stream.deadline_s:
            self._end(stream, False)
        elif stream.endpoint is None:
            self._try_again(stream)
        elif self._is_silent(stream.endpoint):
            self._wait(stream)
        else:
            self._progress(stream)

    def _is_silent(self, endpoint):
        number = self._endpoints.index(endpoint)
        return (
            number < len(self._silent_until_s)
            and self._silent_until_s[number] > self._now_s
        )

    def _progress(self, stream):
        stream.left_s -= TICK_S
        stream.progress_s = self._now_s
        if stream.is_declared_lost:
            stream.is_declared_lost = False
            self._tracker.record_recovery(
                stream.endpoint.endpoint_id, self._now_s
            )
        if stream.left_s <= 0:
            self._end(stream, True)

    def _wait(self, stream):
        idle_s = self._now_s - stream.progress_s
        if not self._monitor.is_unresponsive(idle_s, True, False):
            return
        if stream.runs >= MAX_RUNS:
            return
        if not stream.is_declared_lost:
            stream.is_declared_lost = True
            self._tracker.record_loss(stream.endpoint.endpoint_id, self._now_s)
        if self._is_eager:
            self._leave(stream)
            if not self._budget.try_retry(SERVICE, True):
                self._end(stream, False)
            return
        if self._now_s < stream.try_again_s:
            return
        stream.try_again_s = self._now_s + policy.FULL_STREAM_PAUSE_S
        progress = silence.StreamProgress(
            stream.runs, MAX_RUNS, True, stream.deadline_s - self._now_s
        )
        if silence.obstacle(progress) is not None:
            return
        usable = silence.successors(
            self._endpoints,
            stream.endpoint.endpoint_id,
            self._tracker,
            {},
            self._now_s,
        )
        successor = self._choose(usable)
        if successor is None or not self._budget.try_retry(SERVICE, True):
            return
        self.result.longest_wait_to_move_s = max(
            self.result.longest_wait_to_move_s, idle_s
        )
        self._leave(stream)
        self._move(stream, successor)

    def _choose(self, usable):
        """Choose an endpoint; with limits, no permit is left."""
        ids = {each.endpoint_id for each in usable}
        limits = (
            views.LimitView(ids, ids)
            if self._others == 'limited'
            else choose.NO_LIMITS
        )
        return choose.choose_stream(
            usable,
            self._tracker,
            {},
            set(),
            'fd-0',
            self._now_s,
            self._rng,
            None,
            limits,
        )

    def _move(self, stream, endpoint):
        assert self._stats(endpoint).streams < SLOTS
        self._place(stream, endpoint)
        self.result.moved += 1

    def _try_again(self, stream):
        """Place a stream that left its endpoint wherever it finds room."""
        if self._now_s < stream.try_again_s:
            return
        stream.try_again_s = self._now_s + policy.FULL_STREAM_PAUSE_S
        endpoint = self._choose(self._endpoints)
        if endpoint is not None and self._stats(endpoint).streams < SLOTS:
            self._move(stream, endpoint)
