"""Replays calls of many accounts to a full service through 20 entries."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from godwitvalve.queueing import fair_queue
from godwitvalve.queueing import shares

SERVICE = 'portal'
ENTRIES = 20
SLOTS = 24
CALL_S = 0.045
LARGE = 'large'
SMALL = [f'small-{number}' for number in range(10)]
# Calls per second that each of 11 accounts may have served.
SHARE = SLOTS / CALL_S / (len(SMALL) + 1)
OBJECTIVE_S = 0.25
LIMIT_S = 0.4
REPORT_S = 0.25
# In a fleet of this size most reports are relayed.
REPORT_DELAY_S = 0.5
SPAN_S = 10.0


class _Entry:
    def __init__(self, number, replay, has_reports):
        self.number = number
        self.received = {}
        self.use = shares.AccountUse(
            lambda now_s: replay.reports_at(self, now_s),
            lambda service: has_reports,
            random.Random(number),
        )
        self.queue = fair_queue.FairQueue(
            lambda account, now_s: self.use.reported(SERVICE, account, now_s)
        )


class ShareReplay:
    """One run with a seed.

    :param small_part: what a small account sends, in parts of its share.
    :param cut_off: entries that neither send nor receive reports.
    :param leaves_s: when half of the entries leave with their calls.
    """

    def __init__(
        self, seed, has_reports, small_part=0.8, cut_off=0, leaves_s=SPAN_S
    ):
        self._rng = random.Random(seed)
        self._cut_off = cut_off
        self._leaves_s = leaves_s
        self._numbers = itertools.count()
        self._events = []
        self._busy = 0
        self.sent = collections.Counter()
        self.in_time = collections.Counter()
        self.entries = [
            _Entry(number, self, has_reports) for number in range(ENTRIES)
        ]
        everywhere = self.entries
        self._sources = {LARGE: (5 * SHARE, everywhere)}
        for account in SMALL:
            some = self._rng.sample(everywhere, self._rng.choice((1, 2)))
            self._sources[account] = small_part * SHARE, some
        for account in self._sources:
            self._at(0.0, self._arrive, account, 0.0)
        for entry in everywhere:
            self._at(self._rng.random() / 4, self._report, entry)
            self._at(self._rng.random() / 30, self._probe, entry)

    def run(self):
        """Return the parts of calls in time of small and large accounts."""
        while self._events and self._events[0][0] < SPAN_S:
            self._now_s, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)
        small = [self.in_time[each] / self.sent[each] for each in SMALL]
        large = self.in_time[LARGE] / self.sent[LARGE]
        return sum(small) / len(small), min(small), large

    def reports_at(self, entry, now_s):
        return [
            use
            for sent_s, use in entry.received.values()
            if now_s - sent_s < 2.5
        ]

    def _at(self, at_s, work, *arguments):
        item = at_s, next(self._numbers), work, arguments
        heapq.heappush(self._events, item)

    def _is_gone(self, entry):
        return self._now_s >= self._leaves_s and entry.number >= ENTRIES // 2

    def _arrive(self, account, now_s):
        rate, entries = self._sources[account]
        next_s = now_s + self._rng.expovariate(rate)
        self._at(next_s, self._arrive, account, next_s)
        serving = [each for each in entries if not self._is_gone(each)]
        entry = self._rng.choice(serving or self.entries[: ENTRIES // 2])
        self.sent[account] += 1
        ticket = account, now_s
        found = entry.queue.arrive(account, 0, ticket, now_s, now_s + LIMIT_S)
        match found:
            case fair_queue.Started():
                self._send(entry, ticket)
            case fair_queue.Queued():
                entry.use.mark_full(SERVICE, now_s)

    def _send(self, entry, ticket):
        account, arrived_s = ticket
        if self._busy >= SLOTS:
            entry.use.mark_full(SERVICE, self._now_s)
            entry.queue.decline(
                account, 0, ticket, self._now_s, arrived_s + LIMIT_S
            )
            return
        self._busy += 1
        entry.use.begin(SERVICE, account)
        taken_s = CALL_S * self._rng.uniform(0.7, 1.3)
        at_s = self._now_s + taken_s
        self._at(at_s, self._finish, entry, ticket, taken_s)

    def _finish(self, entry, ticket, taken_s):
        account, arrived_s = ticket
        self._busy -= 1
        entry.use.end(SERVICE, account)
        in_time = self._now_s - arrived_s <= OBJECTIVE_S
        self.in_time[account] += in_time and not self._is_gone(entry)
        self._go_on(entry, entry.queue.finish(account, self._now_s, taken_s))

    def _go_on(self, entry, calls):
        for ticket in calls.started:
            if not self._is_gone(entry):
                self._send(entry, ticket)

    def _probe(self, entry):
        if entry.queue.has_waiting:
            entry.use.mark_full(SERVICE, self._now_s)
        self._go_on(entry, entry.queue.probe(self._now_s))
        at_s = self._now_s + fair_queue.PROBE_PERIOD_S
        self._at(at_s, self._probe, entry)

    def _report(self, entry):
        if self._is_gone(entry):
            return
        sent = self._now_s, entry.use.report(self._now_s)
        arrives_s = self._now_s + REPORT_DELAY_S
        if entry.number >= self._cut_off:
            for other in self.entries[self._cut_off :]:
                if other is not entry:
                    self._at(arrives_s, self._receive, other, entry, sent)
        self._at(self._now_s + REPORT_S, self._report, entry)

    def _receive(self, receiver, sender, sent):
        receiver.received[sender.number] = sent
