"""Replays streams of many accounts to a full service through all entries."""

from __future__ import annotations

import collections
import random

from features.models import overload_simulation
from godwitvalve.admission import stream_queue
from godwitvalve.queueing import shares

LARGE = 'large'
SMALL = [f'small-{number}' for number in range(10)]
# Streams a second that the engines have on time, shared by 11 accounts.
RATE_PER_S = 40.0
REPORT_S = 0.25
# In a fleet of this size most reports are relayed.
REPORT_DELAY_S = 0.5
COUNTED_S = (8.0, 28.0)


class StreamShareReplay(overload_simulation.OverloadSimulation):
    """One run with a seed, without a lost domain.

    :param rate_per_s: streams a second of which each account has a share.
    :param small_part: what a small account sends, in parts of its share.
    """

    def __init__(
        self, seed, has_reports, rate_per_s=RATE_PER_S, small_part=0.8
    ):
        super().__init__(seed, has_admission=True)
        self._sent = collections.deque()
        self._received = {}
        self._next_report_s = 0.0
        for entry in self._entries:
            entry.use = shares.AccountUse(
                lambda now_s: self._received.values(),
                lambda service: has_reports,
                random.Random(seed),
            )
            entry.queue = stream_queue.StreamQueue(
                overload_simulation.SERVICE, entry.use
            )
        everywhere = self._entries
        share = rate_per_s / (len(SMALL) + 1)
        self._sources = {LARGE: (5 * share, everywhere)}
        for account in SMALL:
            some = self._arrivals.sample(everywhere, 2)
            self._sources[account] = small_part * share, some

    def _arrive(self):
        self._exchange()
        if self.now_s > COUNTED_S[1]:
            return
        for account, (rate, entries) in self._sources.items():
            if self._arrivals.random() < rate * overload_simulation.TICK_S:
                entry = self._arrivals.choice(entries)
                stream = overload_simulation.Stream(
                    entry, self.now_s, account, self.now_s
                )
                self._all.append(stream)
                self._pending.append(stream)

    def _exchange(self):
        """Deliver reports; an entry also gets its own, an error of 1 in 60."""
        if self.now_s >= self._next_report_s:
            self._next_report_s = self.now_s + REPORT_S
            self._sent.append(
                (
                    self.now_s + REPORT_DELAY_S,
                    {
                        each.number: each.use.report(self.now_s)
                        for each in self._entries
                    },
                )
            )
        while self._sent and self._sent[0][0] <= self.now_s:
            self._received = self._sent.popleft()[1]

    def _lose_domain(self):
        pass

    def _result(self):
        counted = [
            each for each in self._all if each.arrived_s >= COUNTED_S[0]
        ]
        sent = collections.Counter(each.account for each in counted)
        on_time = collections.Counter(
            each.account for each in counted if each.is_on_time
        )
        small = [on_time[each] / sent[each] for each in SMALL]
        return (
            sum(small) / len(small),
            min(small),
            on_time[LARGE] / sent[LARGE],
        )
