"""Simulation of one origin's reports in an overlay with random delays."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

from godwitvalve.peers import overlay
from godwitvalve.peers import tree


class Delivery(NamedTuple):
    """Delivery of one report.

    ``copies`` is the mean number of copies that each other instance received.
    """

    missed: frozenset
    copies: float


class Simulation:
    """Report trees of all instances.

    A link of an instance is represented by the name of its peer.
    """

    def __init__(self, count, seed):
        self._random = random.Random(seed)
        self.alive = {f'i{number}' for number in range(count)}
        self._origin = 'i0'
        self._trees = {name: tree.ReportTree(name) for name in self.alive}
        self._choose()
        self._forwarded = {}

    def _choose(self):
        self._links = {
            name: overlay.choose_peers(name, self.alive - {name})
            for name in self.alive
        }

    def kill_relay(self):
        """Remove the instance that forwarded the most copies."""
        dead = max(
            sorted(self.alive - {self._origin}),
            key=lambda name: self._forwarded.get(name, 0),
        )
        self.alive.remove(dead)
        for name in self._links.pop(dead):
            self._trees[name].link_closed(dead)
            for peer in self._links[name] - {dead}:
                self._trees[peer].handle_restore(name)
        self._choose()

    def send_report(self, number):
        """Send one report and return its delivery."""
        is_refresh = number % tree.REFRESH_EVERY == 0
        queue = []
        received = {self._origin}
        copies = 0
        self._forwarded = {}
        self._forward(queue, 0.0, self._origin, None, is_refresh)
        while queue:
            now_s, _, sender, name = heapq.heappop(queue)
            copies += 1
            own = self._trees[name]
            if name in received:
                if own.should_prune(sender, self._origin):
                    self._trees[sender].handle_prune(name, self._origin)
                continue
            received.add(name)
            own.record_first_copy(sender, self._origin, is_refresh)
            self._forward(queue, now_s, name, sender, is_refresh)
        others = len(self.alive) - 1
        return Delivery(frozenset(self.alive - received), copies / others)

    def _forward(self, queue, now_s, name, source, is_refresh):
        own = self._trees[name]
        for peer in sorted(self._links[name]):
            is_wanted = is_refresh or own.is_wanted(peer, self._origin)
            if peer == source or not is_wanted:
                continue
            self._forwarded[name] = self._forwarded.get(name, 0) + 1
            at_s = now_s + self._random.uniform(0.5, 1.5)
            order = self._random.random()
            heapq.heappush(queue, (at_s, order, name, peer))
