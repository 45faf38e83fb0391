"""Seeded simulation of roll-outs at several entry instances."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

import msgspec

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import outcome_counts
from godwitvalve.rollouts import registry

LIMITS = orders.ExposureLimits(0.1, 50.0)
ROUTES = ('a', 'b', 'c')
HEARTBEAT_S = 0.25
REPORT_DELAY_S = 0.1
STORED_AFTER_S = 0.05
BASELINE_S = 5.0


class Case(NamedTuple):
    """Behaviour of a new version.

    :param usual_failures: failure rate of both versions.
    :param failures: additional failure rate of the new version.
    :param slower: factor by which its answers are slower.
    :param from_s: seconds from the order to the first bad answer.
    :param route: the only route with bad answers; empty for all routes.
    :param from_running: number of requests that run at an endpoint, from
        which on its answers are bad.
    """

    usual_failures: float = 0.0
    failures: float = 0.0
    slower: float = 1.0
    from_s: float = 0.0
    route: str = ''
    from_running: int = 1


class Size(NamedTuple):
    """Traffic and endpoints of a service.

    :param answer_s: typical seconds to the answer or the first event.
    :param drain_s: seconds in which requests at the old version end.
    """

    requests_per_s: float
    entries: int
    endpoints: int
    duration_s: float
    answer_s: float
    drain_s: float


LOW_TRAFFIC = Size(3.0, 9, 9, 15.0, 1.2, 6.0)
PLAIN = Size(20.0, 9, 3, 15.0, 0.045, 0.5)
LARGE = Size(18.0, 12, 71, 15.0, 1.2, 6.0)
SHORT_PLAIN = Size(21.8, 9, 3, 12.0, 0.045, 0.5)
LARGE_PLAIN = Size(137.0, 12, 4, 15.0, 0.03, 0.5)


@dataclasses.dataclass
class Result:
    """Outcome of a simulated roll-out.

    :param sent: requests to the service within the ordered duration.
    :param sent_new: requests to the new version among them.
    :param bad_answers: bad answers of the new version.
    :param completed_s: seconds from the order; None if not completed.
    :param rolled_back_s: seconds from the order; None if not rolled back.
    """

    sent: int = 0
    sent_new: int = 0
    bad_answers: int = 0
    completed_s: float | None = None
    rolled_back_s: float | None = None

    @property
    def allowed(self) -> float:
        """Return how many requests a bad version may receive."""
        return LIMITS.share * self.sent + LIMITS.slack


class _Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class Simulation:
    """One roll-out, ordered after ``BASELINE_S`` of normal traffic."""

    def __init__(self, size: Size, case: Case, seed: int, naive=False):
        self._size = size
        self._case = case
        self._rng = random.Random(seed)
        self._naive = naive
        self._now_s = 0.0
        self._queue = []
        self._sequence = itertools.count()
        self._registries = [
            registry.RolloutRegistry(LIMITS) for _ in range(size.entries)
        ]
        self._listed = [
            endpoints.FleetEndpoint(
                f'{version}-{number}',
                's',
                'x:1',
                f'fd-{number % 3}',
                version,
                8,
                False,
                1,
            )
            for version in ('v1', 'v2')
            for number in range(size.endpoints)
        ]
        self.result = Result()
        self._running = collections.Counter()

    def _at(self, delay_s, callback):
        entry = (self._now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def _call_later(self, delay_s, callback):
        timer = _Timer(callback)
        self._at(delay_s, lambda: timer.callback and timer.callback())
        return timer

    def run(self) -> Result:
        """Simulate until the ordered duration is over."""
        self._at(0.0, self._arrive)
        self._at(BASELINE_S, self._begin)
        end_s = BASELINE_S + self._size.duration_s
        while self._queue and self._queue[0][0] < end_s:
            self._now_s, _, callback = heapq.heappop(self._queue)
            callback()
        return self.result

    @property
    def _elapsed_s(self):
        return self._now_s - BASELINE_S

    def _begin(self):
        order = orders.RolloutOrder('s', 'v2', self._size.duration_s, 7)
        for number, each in enumerate(self._registries):
            found = each.add_order(order, self._now_s)
            self._at(STORED_AFTER_S, lambda f=found: self._set_stored(f))
            self._at(
                self._rng.random() * HEARTBEAT_S,
                lambda n=number: self._heartbeat(n),
            )

    @staticmethod
    def _set_stored(found):
        found.is_stored = True

    def _heartbeat(self, number):
        own = self._registries[number]
        (found,) = own.all()
        found.review(self._listed, self._size.drain_s, self._now_s)
        if found.pending_state() is orders.RolloutState.COMPLETED:
            found.advance(orders.RolloutState.COMPLETED, 'test')
            self.result.completed_s = self._elapsed_s
        rolled_back = found.state is orders.RolloutState.DOUBTED
        if rolled_back and self.result.rolled_back_s is None:
            self.result.rolled_back_s = self._elapsed_s
        report = copy_report(own.reports(self._now_s)[0])
        self._at(REPORT_DELAY_S, lambda: self._deliver(number, report))
        self._at(HEARTBEAT_S, lambda: self._heartbeat(number))

    def _deliver(self, number, report):
        for other, each in enumerate(self._registries):
            if other != number:
                origin = (f'entry-{number}', 1)
                each.apply_report(origin, report, self._now_s, REPORT_DELAY_S)

    def _arrive(self):
        self._at(
            self._rng.expovariate(self._size.requests_per_s), self._arrive
        )
        own = self._rng.choice(self._registries)
        usable = self._usable(own)
        if not usable:
            return
        endpoint = self._rng.choice(usable)
        route = self._rng.choice(ROUTES)
        is_new = endpoint.version == 'v2'
        if self._elapsed_s > 0:
            self.result.sent += 1
            self.result.sent_new += is_new
        observation = own.observe(
            endpoint,
            _route(route, self._size.answer_s * 4),
            self._call_later,
            self._now_s,
        )
        self._running[endpoint.endpoint_id] += 1
        self._answer(observation, endpoint, route)

    def _usable(self, own):
        if self._elapsed_s <= 0:
            return [each for each in self._listed if each.version == 'v1']
        if self._naive:
            share = self._elapsed_s / self._size.duration_s
            version = 'v2' if self._rng.random() < share else 'v1'
            return [each for each in self._listed if each.version == version]
        return own.choose('s', self._listed, self._rng.random())

    def _answer(self, observation, endpoint, route):
        case = self._case
        is_new = endpoint.version == 'v2'
        fails = self._rng.random() < case.usual_failures
        time_s = self._size.answer_s * self._rng.lognormvariate(0.0, 0.3)
        is_bad = (
            is_new
            and self._elapsed_s >= case.from_s
            and case.route in ('', route)
            and self._running[endpoint.endpoint_id] >= case.from_running
        )
        if is_bad and self._rng.random() < case.failures:
            fails = True
            self.result.bad_answers += 1
        if is_bad and case.slower > 1.0:
            time_s *= case.slower
            self.result.bad_answers += 1
        self._at(time_s, lambda: self._end(observation, endpoint, fails))

    def _end(self, observation, endpoint, fails):
        self._running[endpoint.endpoint_id] -= 1
        observation.record_answer(fails)


def copy_report(report):
    """Return a copy, as the counts change before the delivery."""
    return msgspec.structs.replace(
        report, counts=outcome_counts.total([report.counts])
    )


def _route(name, objective_s):
    return routes.Route(
        name,
        'h',
        '/',
        routes.RequestKind.ONCE,
        9000.0,
        objective_s * 1000,
        1,
        (),
        1,
        True,
        False,
        700.0,
    )


def simulate(size, case, count, naive=False):
    """Return the results of ``count`` roll-outs with fixed seeds."""
    return [
        Simulation(size, case, seed, naive).run()
        for seed in range(100, 100 + count)
    ]
