"""Simulates the load on the endpoints of one model at full size."""

from __future__ import annotations

from collections import abc
import heapq
import itertools
import random
from typing import NamedTuple

from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import codes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results
from godwitvalve.routing import router as routers
from godwitvalve.routing import subset

ENTRIES = 420
ENDPOINTS = 7100
MODELS = 22
DOMAINS = 8
REQUESTS_PER_S = 7300 / MODELS
# 1.6 million tokens/s at 79 ms per token correspond to 126,400 streams.
STREAM_S = 1.6e6 * 0.079 / 7300
REPORT_INTERVAL_S = 1.0
DURATION_S = 90.0


def model_endpoints(model: int) -> list[endpoint_model.Endpoint]:
    """Return the endpoints of one model."""
    return [
        endpoint_model.Endpoint(
            f'ep-{index:05}',
            '',
            f'fd-{index // MODELS % DOMAINS + 1}',
            f'model-{model}',
            'v1',
            True,
        )
        for index in range(model, ENDPOINTS, MODELS)
    ]


def entry_names() -> list[str]:
    """Return the names of all entries."""
    return [f'entry-{index:03}' for index in range(ENTRIES)]


Choose = abc.Callable[
    [str, list[endpoint_model.Endpoint], int], list[endpoint_model.Endpoint]
]


def slice_by_number(
    entry_id: str, endpoints: list[endpoint_model.Endpoint], size: int
) -> list[endpoint_model.Endpoint]:
    """Baseline: consecutive endpoints, starting at entry number times size."""
    first = int(entry_id.rsplit('-', 1)[1]) * size
    ordered = sorted(endpoints)
    count = len(ordered)
    return [ordered[(first + step) % count] for step in range(size)]


class Spread(NamedTuple):
    """Distribution of a count over endpoints, relative to its mean.

    The field names are part of the printed measurement names.
    """

    most: float
    p99: float
    least: float


def spread_of(counts: abc.Collection[float]) -> Spread:
    """Return the spread of counts over endpoints."""
    ordered = sorted(counts)
    mean = sum(ordered) / len(ordered)
    p99 = ordered[int(0.99 * len(ordered))]
    return Spread(ordered[-1] / mean, p99 / mean, ordered[0] / mean)


def entries_by_endpoint(pick: Choose, size: int, model: int) -> list[float]:
    """Return the number of entries that use each endpoint of a model."""
    endpoints = model_endpoints(model)
    counts = {item.endpoint_id: 0.0 for item in endpoints}
    for entry in entry_names():
        for item in pick(entry, endpoints, size):
            counts[item.endpoint_id] += 1
    return list(counts.values())


def moved_by_endpoint(pick: Choose, size: int) -> float:
    """Return the fraction of connections that a changed endpoint id moves."""
    before = model_endpoints(0)
    changed = before[0]._replace(endpoint_id='ep-90000')
    after = [changed, *before[1:]]
    return _moved(entry_names(), before, entry_names(), after, pick, size)


def moved_by_entry(pick: Choose, size: int) -> float:
    """Return the fraction of the other entries' connections that move.

    Entry 7 is replaced by one with another name. With slices by number, the
    entries after it move up by one number.
    """
    endpoints = model_endpoints(0)
    names = entry_names()
    if pick is slice_by_number:
        remaining = names[:7] + names[8:]
        return _moved(remaining, endpoints, names[:-1], endpoints, pick, size)
    remaining = names[:7] + names[8:]
    return _moved(remaining, endpoints, remaining, endpoints, pick, size)


def _moved(
    names_before: list[str],
    before: list[endpoint_model.Endpoint],
    names_after: list[str],
    after: list[endpoint_model.Endpoint],
    pick: Choose,
    size: int,
) -> float:
    moved = 0
    for old, new in zip(names_before, names_after):
        used_before = {item.endpoint_id for item in pick(old, before, size)}
        used_after = {item.endpoint_id for item in pick(new, after, size)}
        moved += len(used_after - used_before)
    return moved / (size * len(names_before))


class Site(NamedTuple):
    """Size and load of the part of a system that serves one model.

    :param subset: number of endpoints that an entry uses.
    :param streams: mean number of concurrent streams per endpoint.
    """

    entries: int
    endpoints: int
    subset: int
    streams: float

    @property
    def requests_per_s(self) -> float:
        """Return the request rate that leads to that many streams."""
        return self.endpoints * self.streams / STREAM_S


def full_size(subset_size: int) -> Site:
    """Return the size of one of the 22 models at full load."""
    streams = REQUESTS_PER_S * STREAM_S * MODELS / ENDPOINTS
    endpoints = len(model_endpoints(0))
    return Site(ENTRIES, endpoints, subset_size, streams)


class LoadRun:
    """Routes the requests for one model through the routers of all entries.

    :param reported: whether the routers receive load reports.
    """

    def __init__(self, seed: int, site: Site, reported: bool) -> None:
        self._random = random.Random(seed)
        self._site = site
        self._reported = reported
        self._endpoints = model_endpoints(0)[: site.endpoints]
        self.running = {item.endpoint_id: 0 for item in self._endpoints}
        self._routers = [
            self._make_router(name) for name in entry_names()[: site.entries]
        ]
        self._order = itertools.count()
        self._samples: list[Spread] = []

    def run(self) -> Spread:
        """Return the mean spread of running streams over the last 30 s."""
        events: list[tuple[float, int, int, str]] = [(0.0, -1, -1, '')]
        next_report_s = 0.0
        while events[0][0] < DURATION_S:
            now_s, _, number, endpoint_id = heapq.heappop(events)
            if now_s >= next_report_s:
                next_report_s += REPORT_INTERVAL_S
                self._report(now_s)
                self._sample(now_s)
            if number >= 0:
                self.running[endpoint_id] -= 1
                self._routers[number].release(
                    endpoint_id, results.Succeeded(), now_s
                )
                continue
            gap_s = self._random.expovariate(self._site.requests_per_s)
            arrival = (now_s + gap_s, next(self._order), -1, '')
            heapq.heappush(events, arrival)
            number = self._random.randrange(self._site.entries)
            chosen = self._acquire(number, now_s)
            duration_s = self._random.expovariate(1 / STREAM_S)
            end = (now_s + duration_s, next(self._order), number, chosen)
            heapq.heappush(events, end)
        return Spread(
            *(sum(column) / len(column) for column in zip(*self._samples))
        )

    def _sample(self, now_s: float) -> None:
        if now_s >= DURATION_S - 30.0:
            counts = [float(count) for count in self.running.values()]
            self._samples.append(spread_of(counts))

    def _make_router(self, name: str) -> routers.Router:
        router = routers.Router(name, '')
        used = subset.subset(name, self._endpoints, self._site.subset)
        router.update_endpoints(used, 0.0)
        return router

    def _acquire(self, number: int, now_s: float) -> str:
        request = choose.RouteRequest('model-0', 'v1')
        chosen = self._routers[number].acquire(request, now_s)
        assert not isinstance(chosen, codes.ResultCode)
        self.running[chosen.endpoint_id] += 1
        return chosen.endpoint_id

    def _report(self, now_s: float) -> None:
        if not self._reported:
            return
        reports = {
            endpoint_id: engine_port.LoadReport(0, count, 'live', 'v1', now_s)
            for endpoint_id, count in self.running.items()
        }
        for router in self._routers:
            for view in router.views():
                endpoint_id = view.endpoint.endpoint_id
                router.report_load(endpoint_id, reports[endpoint_id], now_s)
