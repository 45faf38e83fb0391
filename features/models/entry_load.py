"""Simulates callers that spread their connections over uneven entries."""

from __future__ import annotations

import dataclasses
import random

from features.models import naive_directory
from godwitvalve.gossip import members
from godwitvalve.ingress import directory
from godwitvalve.ingress import pressure

TICK_S = 0.1
REPORT_PERIOD_S = 0.25
# Age at which most records reach an entry of a fleet of 60.
REPORT_AGE_S = 1.0
CALLERS = 300
# One caller in five keeps an address answer for longer.
KEPT_S = (1.0, 1.0, 1.0, 1.0, 3.0)
WORK_S = 0.005
WARM_UP_S = 8.0
DURATION_S = 40.0
HIGH = 85
MACHINES = [2.15] * 6 + [1.29] * 14 + [0.387] * 40


@dataclasses.dataclass
class Entry:
    """An entry; its queue is processor time in core seconds."""

    cores: float
    index: int
    measured: pressure.Pressure = None
    queue: float = 0.0
    used: float = 0.0
    shown: list = dataclasses.field(default_factory=list)
    is_understating: bool = False
    offered: float = 0.0

    def record(self):
        """Return its newest record that has reached the others."""
        percent, capacity = (
            self.shown[0] if self.shown else (0, round(self.cores * 1000))
        )
        return members.Record(
            f'e{self.index}',
            1,
            1,
            members.SERVING,
            str(self.index),
            '',
            '',
            1,
            pressure=percent,
            capacity=capacity,
        )


@dataclasses.dataclass
class Result:
    """Offered work by entry, and the part at entries above the limit."""

    offered: dict
    high_share: float
    capacities: dict

    def imbalance(self):
        """Return the highest use of an entry beside that of all."""
        mean = sum(self.offered.values()) / sum(self.capacities.values())
        return (
            max(
                self.offered[each] / self.capacities[each]
                for each in self.offered
            )
            / mean
        )


class EntryLoad:
    """One run with a seed.

    :param demand: work of all callers, as a part of the whole capacity.
    :param is_naive: whether addresses are listed without regard to load.
    :param understating: indexes of entries that report half of theirs.
    """

    def __init__(self, seed, demand, is_naive=False, understating=()):
        self._rng = random.Random(seed)
        self._demand = demand * sum(MACHINES)
        self._choose = (
            naive_directory.choose_addresses if is_naive else self._chosen
        )
        self.entries = [Entry(*each) for each in zip(MACHINES, range(60))]
        for each in self.entries:
            each.measured = pressure.Pressure(
                pressure.Resources(each.cores, 0.0, 0.0)
            )
            each.is_understating = each.index in understating
        self._lists = [(0.0, [])] * CALLERS

    def _chosen(self, others, rng):
        return directory.choose_addresses(None, others, rng, is_sized=True)

    def run(self):
        """Return what the entries got after the warm-up."""
        high = total = 0.0
        for tick in range(round(DURATION_S / TICK_S)):
            now_s = tick * TICK_S
            self._offer(now_s)
            for each in self.entries:
                done = min(each.queue, each.cores * TICK_S)
                each.queue -= done
                each.used += done
                if now_s < WARM_UP_S:
                    each.offered = 0.0
                elif each.measured.percent > HIGH:
                    high += done
                total += done if now_s >= WARM_UP_S else 0.0
            if tick % round(REPORT_PERIOD_S / TICK_S) == 0:
                self._report(now_s)
        return Result(
            {each.index: each.offered for each in self.entries},
            high / total,
            {each.index: each.cores for each in self.entries},
        )

    def _offer(self, now_s):
        records = [each.record() for each in self.entries]
        mean = self._demand * TICK_S / WORK_S
        for _ in range(round(self._rng.gauss(mean, mean**0.5))):
            caller = self._rng.randrange(CALLERS)
            until_s, addresses = self._lists[caller]
            if until_s <= now_s:
                addresses = self._choose(records, self._rng)
                kept_s = KEPT_S[caller % len(KEPT_S)]
                self._lists[caller] = now_s + kept_s, addresses
            entry = self.entries[int(self._rng.choice(addresses))]
            # Work that does not fit soon is given up by its caller.
            entry.offered += WORK_S
            entry.queue = min(entry.queue + WORK_S, entry.cores * 2.0)

    def _report(self, now_s):
        for each in self.entries:
            each.measured.add(pressure.Sample(now_s, each.used, None, 0))
            percent = each.measured.percent
            if each.is_understating:
                percent //= 2
            each.shown.append((percent, round(each.cores * 1000)))
            if len(each.shown) > REPORT_AGE_S / REPORT_PERIOD_S:
                del each.shown[0]
