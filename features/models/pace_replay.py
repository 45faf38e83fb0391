"""Replay of streams at engines of unequal speed, without a network.

60 entries place 12.8 streams a second at 56 engines in three failure domains,
a quarter of them at speed 0.55 and the others at 1.2. Each engine has slow
spans of 0.6 s, and every six seconds most engines of one domain crash.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import speed_meter
from godwitvalve.gossip import node
from godwitvalve.placement import choose
from godwitvalve.placement import endpoint_speeds
from godwitvalve.placement import pace
from godwitvalve.placement import tracker as trackers

ENTRIES = 60
ENGINES = 56
SLOTS = 16
SPEEDS = (0.55, 1.2, 1.2, 1.2)
STREAMS_PER_S = 12.8
PROMPT_MS = 8200 / 8
EVENTS = 140
EVENT_MS = 28.0
# Steps of an event, each of which carries a chunk of a prompt.
PREFILL_FACTOR = 8.0
SPAN_S = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
CRASH_PERIOD_S = 6.0
CRASHED_SHARE = 0.9
CRASH_S = 1.2
OBJECTIVE_S = 4.5
STEP_S = 0.02
# Heartbeats reach most entries of a fleet of this size within this time.
REPORT_PERIOD_S = 1.0
SERVICE = 'summaries'


class Result(NamedTuple):
    """Streams that ended, late ones, and the placements at slow engines."""

    ended: int
    late: int
    first_event_late: int
    without_copy: int
    mean_s: float
    placed: int
    placed_slow: int


@dataclasses.dataclass
class _Stream:
    entry: int
    began_s: float
    engine: int = -1
    backup: int = -1
    placed_s: float = 0.0
    prompt_left_ms: float = PROMPT_MS
    events: float = 0.0
    first_event_s: float = 0.0
    is_late: bool = False
    meter: speed_meter.SpeedMeter = dataclasses.field(
        default_factory=speed_meter.SpeedMeter
    )


class PaceReplay:
    """State of the replay.

    :param has_pace: whether entries use paces and speeds.
    """

    def __init__(self, has_pace: bool, seed: int) -> None:
        self._has_pace = has_pace
        self._rng = random.Random(seed)
        self._trackers = [trackers.EndpointTracker() for _ in range(ENTRIES)]
        self._paces = [pace.PaceTable() for _ in range(ENTRIES)]
        self.speeds = [
            endpoint_speeds.EndpointSpeeds() for _ in range(ENTRIES)
        ]
        self._incarnations = [0] * ENGINES
        self.engines = [self._engine(each) for each in range(ENGINES)]
        self._down_until_s = [0.0] * ENGINES
        self._crashed_s = [float('-inf')] * ENGINES
        self._factors = [1.0] * ENGINES
        self._running: list[list[_Stream]] = [[] for _ in range(ENGINES)]
        # Placements that entries sent, and those that arrived.
        self._updates: collections.deque[
            tuple[float, int, str, tuple[int, int, int]]
        ] = collections.deque()
        self._arrived: dict[str, collections.Counter[int]] = {}
        self._own: dict[tuple[int, str], list[int]] = {}
        self._now_s = 0.0
        self._ended: list[tuple[_Stream, float]] = []
        self._placed = collections.Counter[float]()
        self.late_first = self.without_copy = 0

    def _engine(self, number: int) -> endpoints.FleetEndpoint:
        return endpoints.FleetEndpoint(
            f'{number}-{self._incarnations[number]}',
            SERVICE,
            f'127.0.1.{number + 1}:8000',
            f'fd-{number % 3}',
            'v1',
            SLOTS,
            False,
            1,
        )

    @staticmethod
    def speed(number: int) -> float:
        """Return the true speed of an engine."""
        return SPEEDS[number // 3 % len(SPEEDS)]

    def run(self, seconds: float) -> Result:
        """Replay a time and return the result."""
        next_s = self._rng.expovariate(STREAMS_PER_S)
        steps = round(seconds / STEP_S)
        span_steps = round(SPAN_S / STEP_S)
        for step in range(steps):
            self._now_s = step * STEP_S
            self._deliver()
            for number in range(ENGINES):
                if (step + number) % span_steps == 0:
                    is_slow = self._rng.random() < SLOW_SHARE
                    self._factors[number] = SLOW_FACTOR if is_slow else 1.0
            if step and step % round(CRASH_PERIOD_S / STEP_S) == 0:
                self._crash(self._rng.randrange(3))
            if step % round(REPORT_PERIOD_S / STEP_S) == 0:
                self._report()
            while next_s <= self._now_s:
                stream = _Stream(self._rng.randrange(ENTRIES), next_s)
                self._place(stream)
                next_s += self._rng.expovariate(STREAMS_PER_S)
            for number in range(ENGINES):
                if self._running[number]:
                    self._advance(number)
        durations = [ended_s - each.began_s for each, ended_s in self._ended]
        return Result(
            len(self._ended),
            sum(each.is_late for each, _ in self._ended),
            self.late_first,
            self.without_copy,
            sum(durations) / len(durations),
            sum(self._placed.values()),
            self._placed[min(SPEEDS)],
        )

    def _deliver(self) -> None:
        while (
            self._updates
            and self._updates[0][0] + node.UPDATE_DELAY_S <= self._now_s
        ):
            _, entry, endpoint_id, change = self._updates.popleft()
            total = self._arrived.setdefault(
                endpoint_id, collections.Counter()
            )
            own = self._own.setdefault((entry, endpoint_id), [0, 0, 0])
            for kind, each in enumerate(change):
                total[kind] += each
                own[kind] += each

    def _report(self) -> None:
        if not self._has_pace:
            return
        for sender, speeds in enumerate(self.speeds):
            reports = speeds.reports(self._now_s)
            for receiver, each in enumerate(self.speeds):
                if receiver != sender and reports:
                    each.merge(str(sender), reports, self._now_s)
                    self._paces[receiver].record_service(SERVICE)

    def _count(
        self, stream: _Stream, number: int, change: tuple[int, int, int]
    ) -> None:
        endpoint_id = self.engines[number].endpoint_id
        stats = self._trackers[stream.entry].stats(endpoint_id)
        stats.streams += change[0]
        stats.starting += change[1]
        stats.backups += change[2]
        self._updates.append((self._now_s, stream.entry, endpoint_id, change))

    def _remote(self, entry: int) -> dict[str, choose.Placements]:
        found = {}
        for endpoint_id, total in self._arrived.items():
            own = self._own.get((entry, endpoint_id), (0, 0, 0))
            found[endpoint_id] = choose.Placements(
                *(total[kind] - own[kind] for kind in range(3))
            )
        return found

    def _place(self, stream: _Stream, at_backup: bool = False) -> None:
        entry = stream.entry
        listed = [
            each
            for number, each in enumerate(self.engines)
            if self._down_until_s[number] <= self._now_s
        ]
        work = endpoint_speeds.WorkFactors(
            self._paces[entry], self.speeds[entry]
        ).at(SERVICE, self._now_s)
        remote = self._remote(entry)
        tracker = self._trackers[entry]
        if at_backup:
            running = self.engines[stream.backup]
        else:
            running = choose.choose_stream(
                listed,
                tracker,
                remote,
                set(),
                f'fd-{entry % 3}',
                self._now_s,
                self._rng,
                work=work,
            )
        backup = choose.choose_backup(
            listed,
            running,
            tracker,
            remote,
            self._now_s,
            self._rng,
            work=work,
        )
        stream.engine = int(running.endpoint_id.split('-')[0])
        stream.backup = int(backup.endpoint_id.split('-')[0])
        stream.placed_s = self._now_s
        stream.meter = speed_meter.SpeedMeter()
        is_starting = stream.prompt_left_ms > 0
        self._count(stream, stream.engine, (1, is_starting, 0))
        self._count(stream, stream.backup, (0, 0, 1))
        self._running[stream.engine].append(stream)
        self._placed[self.speed(stream.engine)] += 1

    def _uncount(self, stream: _Stream) -> None:
        is_starting = stream.prompt_left_ms > 0
        self._count(stream, stream.engine, (-1, -is_starting, 0))
        self._count(stream, stream.backup, (0, 0, -1))

    def _crash(self, domain: int) -> None:
        interrupted: list[_Stream] = []
        for number in range(domain, ENGINES, 3):
            if self._rng.random() < CRASHED_SHARE:
                self._down_until_s[number] = self._now_s + CRASH_S
                self._crashed_s[number] = self._now_s
                interrupted += self._running[number]
                self._running[number] = []
        for stream in interrupted:
            self._uncount(stream)
        for number in range(domain, ENGINES, 3):
            if self._crashed_s[number] == self._now_s:
                self._incarnations[number] += 1
                self.engines[number] = self._engine(number)
        for stream in interrupted:
            has_copy = self._crashed_s[stream.backup] < stream.placed_s
            if stream.prompt_left_ms > 0 or not has_copy:
                if stream.prompt_left_ms <= 0 and not stream.is_late:
                    self.without_copy += 1
                    stream.is_late = True
                stream.prompt_left_ms = PROMPT_MS
                self._place(stream)
            else:
                self._place(stream, True)

    def _advance(self, number: int) -> None:
        """Run an engine for a step: prompts in turn, events beside them."""
        rate = self.speed(number) / self._factors[number]
        streams = self._running[number]
        starting = next(
            (each for each in streams if each.prompt_left_ms > 0), None
        )
        event_ms = EVENT_MS / rate
        if starting is not None:
            event_ms *= PREFILL_FACTOR
            self._read_prompt(starting, number, rate)
        for stream in list(streams):
            if stream.prompt_left_ms <= 0 and stream is not starting:
                self._decode(stream, number, event_ms)

    def _read_prompt(self, stream: _Stream, number: int, rate: float) -> None:
        left_ms = stream.prompt_left_ms - STEP_S * 1000 * rate
        if left_ms <= 0:
            self._count(stream, number, (0, -1, 0))
            if not stream.first_event_s:
                stream.first_event_s = self._now_s
                if self._now_s - stream.began_s > OBJECTIVE_S:
                    self.late_first += not stream.is_late
                    stream.is_late = True
            if self._has_pace:
                self._paces[stream.entry].record(
                    SERVICE,
                    self.engines[number].endpoint_id,
                    self._factors[number],
                    self._now_s,
                )
        stream.prompt_left_ms = left_ms

    def _decode(self, stream: _Stream, number: int, event_ms: float) -> None:
        left_ms = STEP_S * 1000
        while stream.events < EVENTS:
            needed_ms = (int(stream.events) + 1 - stream.events) * event_ms
            if needed_ms > left_ms:
                stream.events += left_ms / event_ms
                return
            stream.events = float(int(stream.events) + 1)
            left_ms -= needed_ms
            if self._has_pace:
                self._measure(
                    stream, number, self._now_s + STEP_S - left_ms / 1000
                )
        self._running[number].remove(stream)
        self._uncount(stream)
        self._ended.append((stream, self._now_s))

    def _measure(self, stream: _Stream, number: int, event_s: float) -> None:
        stream.meter.record_events(1, event_s)
        current = self._paces[stream.entry].pace(
            self.engines[number].endpoint_id, event_s
        )
        event_ms = stream.meter.record_sent(current, event_s)
        if event_ms is not None:
            self.speeds[stream.entry].observe(
                self.engines[number], event_ms, 1.0, event_s
            )
