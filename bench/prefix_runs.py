"""Simulates prefix cache hits with the affinity of the router."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from typing import NamedTuple

from godwitvalve.outcomes import codes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results
from godwitvalve.routing import router as routers

ENTRIES = 6
ENDPOINTS = 12
DOMAINS = 4
PREFIXES = 60
CACHED_PREFIXES = 8
DURATION_S = 400.0
WARM_UP_S = 100.0
SERVICE_S = 5.0
_WEIGHTS = [1 / (rank + 1) for rank in range(PREFIXES)]


class PrefixResult(NamedTuple):
    """Results of one run after the warm-up.

    :param hits: fraction of the requests whose prefix was cached.
    :param busiest_load: requests of the busiest endpoint, relative to the
        mean.
    """

    hits: float
    busiest_load: float


class PrefixRun:
    """Routes requests with prefixes of unequal popularity.

    :param streams: mean number of concurrent streams per endpoint.
    :param hinted: whether requests carry a prefix hint.
    :param by_domain: whether entries prefer their failure domain.
    """

    def __init__(
        self, seed: int, streams: float, hinted: bool, by_domain: bool
    ) -> None:
        self._random = random.Random(seed)
        self._hinted = hinted
        self._rate_per_s = streams * ENDPOINTS / SERVICE_S
        endpoints = _endpoints()
        self._routers = [
            _router(number, endpoints, by_domain) for number in range(ENTRIES)
        ]
        self._caches: dict[str, collections.OrderedDict[int, None]] = {
            item.endpoint_id: collections.OrderedDict() for item in endpoints
        }
        self._served: collections.Counter[str] = collections.Counter()
        self._hits = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, int, str]] = [(0.0, -1, -1, '')]

    def run(self) -> PrefixResult:
        """Run the simulation and return its results after the warm-up."""
        while self._events[0][0] < DURATION_S:
            now_s, _, number, endpoint_id = heapq.heappop(self._events)
            if number < 0:
                self._arrive(now_s)
                continue
            self._routers[number].release(
                endpoint_id, results.Succeeded(), now_s
            )
        total = self._served.total()
        most_served = max(self._served.values())
        return PrefixResult(
            self._hits / total, most_served * ENDPOINTS / total
        )

    def _arrive(self, now_s: float) -> None:
        self._schedule(now_s + self._random.expovariate(self._rate_per_s))
        prefix = self._random.choices(range(PREFIXES), _WEIGHTS)[0]
        number = self._random.randrange(ENTRIES)
        hint = f'p{prefix}' if self._hinted else ''
        request = choose.RouteRequest('summaries', 'v1', prefix_hint=hint)
        chosen = self._routers[number].acquire(request, now_s)
        assert not isinstance(chosen, codes.ResultCode)
        self._use_cache(chosen.endpoint_id, prefix, now_s)
        duration_s = self._random.expovariate(1 / SERVICE_S)
        self._schedule(now_s + duration_s, number, chosen.endpoint_id)

    def _use_cache(self, endpoint_id: str, prefix: int, now_s: float) -> None:
        cache = self._caches[endpoint_id]
        if now_s >= WARM_UP_S:
            self._served[endpoint_id] += 1
            self._hits += prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            cache.popitem(last=False)

    def _schedule(
        self, at_s: float, number: int = -1, endpoint_id: str = ''
    ) -> None:
        event = (at_s, next(self._order), number, endpoint_id)
        heapq.heappush(self._events, event)


def _endpoints() -> list[endpoint_model.Endpoint]:
    return [
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


def _router(
    number: int, endpoints: list[endpoint_model.Endpoint], by_domain: bool
) -> routers.Router:
    own_domain = f'fd-{number % DOMAINS + 1}' if by_domain else ''
    router = routers.Router(f'entry-{number}', own_domain)
    router.update_endpoints(endpoints, 0.0)
    return router
