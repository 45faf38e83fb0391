"""Simulation of entries that exchange ages over overlay links."""

from __future__ import annotations

import heapq
import itertools
import random

from godwitvalve.configuration import tracker
from godwitvalve.entry import freshness
from godwitvalve.peers import messages
from godwitvalve.peers import overlay
from godwitvalve.text import head as text_head

# A real link derives a bound of a message's delay from an echoed timestamp;
# the bound exceeds the true delay by up to two heartbeat intervals.
MAX_EXCESS_S = 1.0
MAX_DELAY_S = 0.1


def make_head(revision):
    """Return an empty head of a revision."""
    return text_head.Head(revision, 0.0, ('nonce',), {}, {})


class Entry:
    """One entry, whose clock differs from the true time by an offset."""

    def __init__(self, name, offset_s, make_tracker, make_exchange):
        self.name = name
        self.offset_s = offset_s
        self.tracker = make_tracker(name)
        self.tracker.install(make_head(1))
        self.exchange = make_exchange(self.tracker)

    def clock_s(self, now_s):
        return now_s + self.offset_s

    def may_admit(self, now_s):
        return self.tracker.may_admit(self.clock_s(now_s))


class ControlNet:
    """Entries, their overlay and the messages in transit.

    :param make_tracker: the class under test, or a variant.
    :param make_exchange: the class under test, or a variant.
    """

    def __init__(
        self,
        count,
        seed,
        make_tracker=tracker.ConfigurationTracker,
        make_exchange=freshness.FreshnessExchange,
    ):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.groups = {}
        self.sent_bytes = 0
        self.entries = {}
        self._order = itertools.count()
        self._events = []
        names = [f'entry-{number:03d}' for number in range(count)]
        for name in names:
            offset_s = self.random.uniform(0, 1e5)
            entry = Entry(name, offset_s, make_tracker, make_exchange)
            entry.tracker.set_listed(names)
            self.entries[name] = entry
            self._at(self.random.uniform(0, 1), lambda n=name: self._send(n))
        self.links = self._overlay()

    def partition(self, minority):
        """Cut the links between a minority and the other entries."""
        self.groups = dict.fromkeys(minority, 1)
        # A node omits unreachable peers from its overlay.
        self.links = self._overlay()

    def run_until(self, until_s):
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def admitting(self):
        """Return the names of the entries that admit now."""
        return {
            name
            for name, entry in self.entries.items()
            if entry.may_admit(self.now_s)
        }

    def _at(self, at_s, action):
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _overlay(self):
        return {
            name: sorted(
                overlay.choose_peers(
                    name,
                    {
                        each
                        for each in self.entries
                        if each != name and self._are_connected(name, each)
                    },
                )
            )
            for name in self.entries
        }

    def _are_connected(self, one, other):
        return self.groups.get(one) == self.groups.get(other)

    def _send(self, name):
        entry = self.entries[name]
        clock_s = entry.clock_s(self.now_s)
        for peer, message in entry.exchange.messages_for(
            self.links[name], clock_s
        ):
            packed = messages.encode(message)
            self.sent_bytes += len(packed)
            delay_s = self.random.uniform(0, MAX_DELAY_S)
            self._at(
                self.now_s + delay_s,
                lambda p=peer, m=packed, d=delay_s: self._deliver(
                    name, p, m, d
                ),
            )
        self._at(self.now_s + freshness.INTERVAL_S, lambda: self._send(name))

    def _deliver(self, name, peer, packed, delay_s):
        message = messages.decode(packed)
        bound_s = delay_s + self.random.uniform(0, MAX_EXCESS_S)
        entry = self.entries[peer]
        entry.exchange.handle_message(
            name,
            message._replace(transit_s=bound_s),
            entry.clock_s(self.now_s),
        )
