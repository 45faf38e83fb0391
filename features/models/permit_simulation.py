"""Simulates entries that send to one endpoint with a limit."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from godwitvalve.endpoint_limits import limiter
from godwitvalve.endpoint_limits import statements
from godwitvalve.fleet import endpoints
from godwitvalve.limits import buckets

ENDPOINT = endpoints.FleetEndpoint('e', 'desk', 'e:80', 'a', 'v1', 6, False, 1)
ONE_WAY_S = 0.0015
LOST_SHARE = 0.01
# The parts of the bench's rule: in a window of this length an endpoint gets
# at most this factor times what its limit allows, and some more.
WINDOW_S = 4.0
# When other entries know that one has ended or has started.
END_KNOWN_S = 1.1
START_KNOWN_S = 0.05


@dataclasses.dataclass
class Entry:
    """An entry and when it cannot send or answer."""

    host: str
    limiter: limiter.EndpointLimiter
    down_from_s: float = float('inf')
    down_until_s: float = float('-inf')
    island: int = 0

    def is_down(self, now_s):
        return self.down_from_s <= now_s < self.down_until_s

    def seems_down(self, now_s):
        """Tell whether the others take it for ended."""
        from_s = self.down_from_s + END_KNOWN_S
        return from_s <= now_s < self.down_until_s + START_KNOWN_S


class PermitSimulation:
    """One run; times are seconds of the simulation.

    :param rate: requests/s that could go to the endpoint, at all entries.
    :param senders: number of entries that get requests.
    """

    def __init__(self, seed, entries, limit, rate, senders=None):
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._limit = limit
        self._rate = rate
        self._senders = senders or entries
        self._partitioned_s = float('inf')
        self.arrivals_s = []
        self.questions = 0
        self.entries = [
            self._start(f'10.0.{number // 250}.{number % 250}')
            for number in range(entries)
        ]
        self._by_host = {each.host: each for each in self.entries}

    def _start(self, host):
        entry = Entry(
            host,
            limiter.EndpointLimiter(
                lambda: self._coordinators(host), rng=self._rng
            ),
        )
        self._tell_limit(entry)
        return entry

    def _tell_limit(self, entry):
        entry.limiter.observe(
            ENDPOINT, statements.Limited(self._limit), self._now_s
        )

    def state_limit(self, limit):
        """Let all entries know another limit."""
        self._limit = limit
        for each in self.entries:
            self._tell_limit(each)

    def _coordinators(self, own):
        island = self._by_host[own].island
        reached = {
            each.host: '' if each.host == own else each.host
            for each in self.entries
            if each.host == own
            or (
                not each.seems_down(self._now_s)
                and (
                    each.island == island
                    or self._now_s < self._partitioned_s + END_KNOWN_S
                )
            )
        }
        share = len(reached) / len(self.entries)
        return limiter.Coordinators(reached, 1.0 if share > 0.5 else share)

    def coordinator(self):
        """Return the entry that issues the permits at the start."""
        host = self.entries[0].limiter.coordinator(ENDPOINT)
        return self._by_host[host or self.entries[0].host]

    def restart(self, entry, from_s, until_s):
        """End an entry for a time."""
        entry.down_from_s, entry.down_until_s = from_s, until_s

    def partition(self, at_s):
        """Cut the fleet in halves."""
        self._partitioned_s = at_s
        for number, each in enumerate(self.entries):
            each.island = number % 2

    def run(self, length_s):
        events = []
        order = itertools.count()
        began_s = self._now_s
        for _ in range(int(self._rate * length_s)):
            due_s = self._rng.uniform(began_s, began_s + length_s)
            entry = self.entries[self._rng.randrange(self._senders)]
            heapq.heappush(events, (due_s, next(order), entry))
        while events:
            self._now_s, _, entry = heapq.heappop(events)
            if not entry.is_down(self._now_s):
                self._send(entry)

    def _send(self, entry):
        view = entry.limiter.view([ENDPOINT], False, self._now_s)
        if view.exhausted:
            return
        question = entry.limiter.question(ENDPOINT, False)
        host = entry.limiter.coordinator(ENDPOINT)
        self.questions += 1
        answer = (self._by_host[host] if host else entry).limiter.decide(
            question, self._now_s
        )
        if host and self._is_lost(entry, self._by_host[host]):
            answer = None
        if entry.limiter.apply_answer(
            ENDPOINT, answer, self._now_s + 2 * ONE_WAY_S
        ):
            self.arrivals_s.append(self._now_s + 2 * ONE_WAY_S)

    def _is_lost(self, entry, other):
        return (
            other.is_down(self._now_s)
            or (
                other.island != entry.island
                and self._now_s >= self._partitioned_s
            )
            or self._rng.random() < LOST_SHARE
        )


def equal_shares(seed, entries, limit, rate, senders, length_s):
    """Return the arrivals if each entry uses an equal part of the limit."""
    rng = random.Random(seed)
    shares = [buckets.TokenBucket(0.0) for _ in range(senders)]
    arrivals_s = []
    for due_s in sorted(
        rng.uniform(0.0, length_s) for _ in range(int(rate * length_s))
    ):
        share = rng.choice(shares)
        share.fill(limit / entries, due_s)
        if share.can_take(1.0):
            share.take(1.0)
            arrivals_s.append(due_s)
    return arrivals_s


def most_in_window(times_s):
    """Return the largest number of sorted times within a window."""
    most = first = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] < time_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
