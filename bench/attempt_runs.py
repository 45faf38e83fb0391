"""Simulates attempts per request while endpoints fail."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import codes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results
from godwitvalve.routing import retry_budget
from godwitvalve.routing import router as routers

DOMAINS = 4
ENDPOINTS = 12
REQUESTS_PER_S = 50.0
DURATION_S = 120.0
SERVICE_S = 0.5
MAX_RETRIES = 3
PROBE_INTERVAL_S = 0.25
RESPONSE_TIMEOUT_S = 1.0


class AttemptRun(NamedTuple):
    """Settings of one run.

    :param dead_domain: domain whose endpoints do not answer.
    :param unresponsive: whether they accept connections but do not answer;
        otherwise they refuse connections.
    :param failing: fraction of the attempts that fail at live endpoints.
    :param budgeted: whether the retry budget limits retries.
    :param health_checked: whether the router receives the results.
    """

    seed: int
    dead_domain: str = ''
    unresponsive: bool = False
    failing: float = 0.0
    budgeted: bool = True
    health_checked: bool = True


class AttemptResult(NamedTuple):
    """Mean numbers of attempts and successes per request."""

    attempts: float
    succeeded: float


class _Event(NamedTuple):
    at_s: float
    order: int
    kind: str
    tried: frozenset[str] = frozenset()
    endpoint_id: str = ''


class _Simulation:
    def __init__(self, run: AttemptRun) -> None:
        self._run = run
        self._random = random.Random(run.seed)
        self._router = routers.Router('entry-1', 'fd-1')
        self._endpoints = [
            endpoint_model.Endpoint(
                f'e{index}',
                '',
                f'fd-{index % DOMAINS + 1}',
                'summaries',
                'v1',
                True,
            )
            for index in range(ENDPOINTS)
        ]
        self._router.update_endpoints(self._endpoints, 0.0)
        self._domains = {
            item.endpoint_id: item.failure_domain for item in self._endpoints
        }
        self._budget = retry_budget.RetryBudget()
        self._order = itertools.count()
        self._events: list[_Event] = []
        self.requests = self.attempts = self.succeeded = 0

    def run(self) -> None:
        """Process events until the end of the run."""
        self._schedule(0.0, 'arrive')
        self._schedule(0.0, 'probe')
        while self._events and self._events[0].at_s < DURATION_S:
            event = heapq.heappop(self._events)
            match event.kind:
                case 'arrive':
                    self._arrive(event)
                case 'probe':
                    self._probe(event.at_s)
                case _:
                    self._finish(event)

    def _schedule(
        self,
        at_s: float,
        kind: str,
        tried: frozenset[str] = frozenset(),
        endpoint_id: str = '',
    ) -> None:
        event = _Event(at_s, next(self._order), kind, tried, endpoint_id)
        heapq.heappush(self._events, event)

    def _arrive(self, event: _Event) -> None:
        gap_s = self._random.expovariate(REQUESTS_PER_S)
        self._schedule(event.at_s + gap_s, 'arrive')
        self.requests += 1
        self._budget.record_first_attempt('summaries')
        self._attempt(event.at_s, frozenset())

    def _attempt(self, now_s: float, tried: frozenset[str]) -> None:
        request = choose.RouteRequest('summaries', 'v1', tried=tried)
        chosen = self._router.acquire(request, now_s)
        if isinstance(chosen, codes.ResultCode):
            return
        self.attempts += 1
        tried |= {chosen.endpoint_id}
        if chosen.failure_domain == self._run.dead_domain:
            kind = 'unresponsive' if self._run.unresponsive else 'refused'
            duration_s = (
                RESPONSE_TIMEOUT_S if self._run.unresponsive else 0.001
            )
        elif self._random.random() < self._run.failing:
            kind, duration_s = 'failed', 0.05
        else:
            kind = 'succeeded'
            duration_s = self._random.expovariate(1 / SERVICE_S)
        self._schedule(now_s + duration_s, kind, tried, chosen.endpoint_id)

    def _finish(self, event: _Event) -> None:
        result = _result(event.kind)
        reported = result if self._run.health_checked else results.Cancelled()
        self._router.release(event.endpoint_id, reported, event.at_s)
        if event.kind == 'succeeded':
            self.succeeded += 1
            return
        if len(event.tried) > MAX_RETRIES:
            return
        allowed = self._budget.try_retry('summaries')
        if allowed or not self._run.budgeted:
            self._attempt(event.at_s, event.tried)

    def _probe(self, now_s: float) -> None:
        self._schedule(now_s + PROBE_INTERVAL_S, 'probe')
        for endpoint in self._router.endpoints_to_probe(now_s):
            dead = endpoint.failure_domain == self._run.dead_domain
            result: engine_port.LoadReport | results.AttemptResult
            result = engine_port.LoadReport(0, 0, 'live', 'v1', now_s)
            if dead:
                result = _result(
                    'unresponsive' if self._run.unresponsive else 'refused'
                )
            self._router.record_probe(endpoint.endpoint_id, result, now_s)


def _result(kind: str) -> results.AttemptResult:
    match kind:
        case 'unresponsive':
            return results.Unresponsive()
        case 'refused':
            return results.ConnectFailed(refused=True)
        case 'failed':
            return results.Failed()
        case _:
            return results.Succeeded()


def simulate(run: AttemptRun) -> AttemptResult:
    """Return the attempts and successes per request of one run."""
    simulation = _Simulation(run)
    simulation.run()
    requests = max(1, simulation.requests)
    return AttemptResult(
        simulation.attempts / requests, simulation.succeeded / requests
    )
