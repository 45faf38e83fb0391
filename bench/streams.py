"""Simulates seeded request outcomes while a new version gets a share."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from bench import sites

# Time after which routing no longer chooses a replica that died.
EJECTED_AFTER_S = 3.0
# Fraction of an old replica's usual load from which a version that fails
# under load fails or slows down.
_FAULT_LOAD = 0.7
_HEAVY_ACCOUNT_RATE_FACTOR = 4
# The speed of a generation is measured over this first part of it.
_SPEED_MEASURED_AFTER_S = 2.0


class Ended(NamedTuple):
    """End of an attempt, or a speed measurement taken while it runs.

    :param split: class of the share when the request was sent.
    """

    at_s: float
    entry: int
    version: str
    route: str
    endpoint: str
    domain: str
    ok: bool
    time_s: float | None
    # Whether the version's fault failed or slowed this request.
    blamed: bool
    split: int
    is_end: bool


class Stream:
    """Generates the requests of one seeded move and their outcomes.

    :param onset_s: seconds from the start of the move at which the fault
        of the new version begins.
    """

    def __init__(self, site: sites.Site, case: sites.Case, seed: int) -> None:
        self.site = site
        self.case = case
        name = f'{site.name} {case.name} {seed}'
        self._rng = random.Random(name)
        self.disturbances = sites.draw_disturbances(site, case, self._rng)
        routes = 10 if case.one_route else site.routes
        self.routes = [str(index) for index in range(routes)]
        self.bad_route = self._rng.choice(self.routes)
        onset_share = self._rng.uniform(0.3, 1.15) if case.late else 0.0
        self.onset_s = onset_share * site.move_s
        self._old_load = 1.0
        self._load = {
            sites.endpoint_id('v2', index): 0.0
            for index in range(site.replicas)
        }

    def rate(self, at_s: float) -> float:
        """Return the requests per second at a time."""
        heavy = self.disturbances.heavy
        if heavy and heavy[0] <= at_s < heavy[1]:
            return _HEAVY_ACCOUNT_RATE_FACTOR * self.disturbances.rate
        return self.disturbances.rate

    def arrivals(self, at_s: float, length_s: float) -> list[float]:
        """Draw arrival times of requests in ``length_s`` from ``at_s`` on."""
        mean = self.rate(at_s) * length_s
        times = []
        cumulative = self._rng.expovariate(1.0)
        while cumulative < mean:
            times.append(at_s + cumulative / mean * length_s)
            cumulative += self._rng.expovariate(1.0)
        return times

    def is_ejected(self, endpoint: str, at_s: float) -> bool:
        """Tell whether routing has ejected a replica."""
        return any(
            name == endpoint and begin + EJECTED_AFTER_S <= at_s < end
            for name, begin, end in self.disturbances.dead
        )

    def live(self, version: str, at_s: float) -> list[int]:
        """Return the indexes of the replicas that routing may choose."""
        return [
            index
            for index in range(self.site.replicas)
            if not self.disturbances.dead
            or not self.is_ejected(sites.endpoint_id(version, index), at_s)
        ]

    def update_load(
        self, shares: list[tuple[float, tuple[str, ...]]], length_s: float
    ) -> None:
        """Move the load of each new replica towards the shares of the entries.

        The load approaches its target exponentially with the time constant
        ``load_lag_s`` of the site.
        """
        targets: dict[str, float] = {}
        for share, replicas in shares:
            for name in replicas:
                added = share / len(replicas) / len(shares)
                targets[name] = targets.get(name, 0.0) + added
        self._old_load = 1.0 - sum(targets.values())
        remaining = math.exp(-length_s / self.site.load_lag_s)
        for name, load in self._load.items():
            target = targets.get(name, 0.0) * self.site.replicas
            self._load[name] = target + (load - target) * remaining

    def run(
        self, at_s: float, entry: int, version: str, endpoint: str, split: int
    ) -> list[Ended]:
        """Return the end of a request, after its speed if it runs long."""
        rng = self._rng
        route = self.routes[int(rng.random() * len(self.routes))]
        domain = f'fd-{int(endpoint[3:]) % self.site.domains}'
        blamed = version == 'v2' and self._is_faulty(at_s, route, endpoint)
        fault_fails = blamed and rng.random() < self.case.failing
        failed = rng.random() < self._failure_probability(
            at_s, route, endpoint
        )
        load = self._old_load if version == 'v1' else self._load[endpoint]
        time_s = self.site.duration_s * (1 + int(route) / 5)
        time_s *= math.exp(rng.gauss(0.0, self.disturbances.spread))
        time_s *= 0.8 + 0.2 * load
        if self.rate(at_s) > self.disturbances.rate:
            time_s *= 2
        slower = blamed and self.case.slower > 1
        if slower:
            time_s *= self.case.slower
        ok = not failed and not fault_fails
        elapsed_s = time_s if ok else 0.3 * time_s
        ended = Ended(
            at_s + elapsed_s,
            entry,
            version,
            route,
            endpoint,
            domain,
            ok,
            time_s if ok else None,
            fault_fails or slower,
            split,
            True,
        )
        if elapsed_s <= _SPEED_MEASURED_AFTER_S:
            return [ended]
        speed = ended._replace(
            at_s=at_s + _SPEED_MEASURED_AFTER_S,
            time_s=time_s,
            blamed=False,
            is_end=False,
        )
        return [speed, ended._replace(time_s=None)]

    def _is_faulty(self, at_s: float, route: str, endpoint: str) -> bool:
        case = self.case
        if not case.is_bad or at_s < self.onset_s:
            return False
        if case.one_route and route != self.bad_route:
            return False
        return not case.under_load or self._load[endpoint] >= _FAULT_LOAD

    def _failure_probability(
        self, at_s: float, route: str, endpoint: str
    ) -> float:
        disturbances = self.disturbances
        for name, begin, end in disturbances.dead:
            if name == endpoint and begin <= at_s < end:
                return 1.0
        outage = disturbances.outage
        if outage and outage[0] == route and outage[1] <= at_s < outage[2]:
            return 0.9
        return disturbances.base_failing
