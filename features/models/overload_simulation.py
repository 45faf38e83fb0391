"""Replays an overload of streams, with the admission of streams and without.

Engines read all of their new prompts side by side, and each one that they
read makes the events of the others slower. Entries learn of one another's
streams late.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import random

from godwitvalve.admission import decision
from godwitvalve.admission import returns
from godwitvalve.admission import room
from godwitvalve.admission import stream_queue
from godwitvalve.forwarding import gaps
from godwitvalve.placement import choose
from godwitvalve.queueing import shares

SERVICE = 's'
TICK_S = 0.02
ENTRIES = 60
ENGINES = 56
DOMAINS = 3
CAPACITY = room.Capacity(16, 88_000)
PROMPT_TOKENS = 8_200
TOKENS_PER_MS = 8
EVENTS = 140
HELD_TOKENS = PROMPT_TOKENS + EVENTS * 8
EVENT_S = 0.028
# A step reads 200 tokens of each prompt, and an event takes eight steps.
EVENT_S_PER_PROMPT = 0.2
STREAMS_PER_S = 12.8
OBJECTIVE_S = 4.5
MAX_GAP_S = 0.7
LIMIT_S = 25.0
MAX_RUNS = 3
SURGE_S = (10.0, 16.0)
LOSS_S = (13.0, 14.2)
END_S = 46.0
# Time until other entries know of a stream.
REPORT_TICKS = 2
SPEED = room.Speed(1 / TOKENS_PER_MS, EVENTS * EVENT_S)
FIXED_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(eq=False)
class Stream:
    """A stream of a caller; times are seconds of the simulation."""

    entry: Entry
    arrived_s: float
    account: str = 'a'
    # Arrival of the request that runs; later if its caller came back.
    sent_s: float = 0.0
    refusals: int = 0
    runs: int = 0
    engine: Engine | None = None
    unread: float = PROMPT_TOKENS
    read: float = 0.0
    events: float = 0.0
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    end: str = ''

    @property
    def is_on_time(self):
        return (
            self.end == 'complete'
            and self.first_event_s - self.arrived_s <= OBJECTIVE_S
            and self.longest_gap_s <= MAX_GAP_S
        )


class Engine:
    """An engine and the streams that run there."""

    def __init__(self, number):
        self.id = f'e{number}'
        self.domain = number % DOMAINS
        self.is_up = True
        self.streams = []

    @property
    def held(self):
        return HELD_TOKENS * len(self.streams)

    @property
    def event_s(self):
        return EVENT_S + EVENT_S_PER_PROMPT * sum(
            each.unread > 0 for each in self.streams
        )

    def accepts(self):
        return (
            self.is_up
            and len(self.streams) < CAPACITY.slots
            and self.held + HELD_TOKENS <= CAPACITY.tokens
        )


class Entry:
    """An entry with its queue."""

    def __init__(self, number):
        self.number = number
        self.use = shares.AccountUse()
        self.queue = stream_queue.StreamQueue()
        self.returns = returns.ReturnSchedule()
        self.streams = collections.defaultdict(list)


@dataclasses.dataclass
class Result:
    """Counts of the streams that arrived in the surge and 4 s after it.

    :param emptied_s: time from the surge to the end of its last stream.
    """

    streams: int
    on_time: float
    late: int
    lost: int
    refused: int
    refused_twice: int
    vain_tokens: float
    emptied_s: float


@functools.cache
def _room(engine_id, use):
    demand = room.Demand(PROMPT_TOKENS, HELD_TOKENS)
    return room.endpoint_room(engine_id, CAPACITY, use, demand, SPEED)


class OverloadSimulation:
    """One run with a seed.

    :param has_admission: whether streams are admitted.
    :param returns_allowed: how often callers come back after a refusal.
    :param has_schedule: whether callers are told times of a schedule.
    :param surge: demand in the surge, in multiples of the usual one.
    """

    def __init__(
        self,
        seed,
        has_admission,
        returns_allowed=1,
        has_schedule=True,
        surge=4,
    ):
        self._rng = random.Random(seed)
        self._arrivals = random.Random(seed)
        self._has_admission = has_admission
        self._returns_allowed = returns_allowed
        self._has_schedule = has_schedule
        self._surge = surge
        self._engines = [Engine(each) for each in range(ENGINES)]
        self._entries = [Entry(each) for each in range(ENTRIES)]
        self._reports = collections.deque(maxlen=REPORT_TICKS)
        self._pending = []
        self._later = []
        self._all = []
        self._vain = 0.0
        self.now_s = 0.0

    def run(self):
        """Return the result."""
        while self.now_s < END_S:
            self._arrive()
            self._lose_domain()
            due = [each for each in self._later if each[0] <= self.now_s]
            self._later = [each for each in self._later if each not in due]
            self._pending += [each for _, each in due]
            self._reports.append(self._report())
            self._rng.shuffle(self._pending)
            waiting, self._pending = self._pending, []
            for stream in sorted(waiting, key=lambda each: not each.runs):
                self._place(stream)
            for engine in self._engines:
                self._work(engine)
            self.now_s += TICK_S
        return self._result()

    def _arrive(self):
        factor = self._surge if SURGE_S[0] <= self.now_s < SURGE_S[1] else 1
        mean = STREAMS_PER_S * factor * TICK_S
        count = sum(self._arrivals.random() < mean / 8 for _ in range(8))
        for _ in range(count):
            entry = self._arrivals.choice(self._entries)
            stream = Stream(entry, self.now_s, sent_s=self.now_s)
            self._all.append(stream)
            self._pending.append(stream)

    def _lose_domain(self):
        for engine in self._engines:
            is_up = not (
                engine.domain == 0 and LOSS_S[0] <= self.now_s < LOSS_S[1]
            )
            if engine.is_up and not is_up:
                for stream in list(engine.streams):
                    self._leave(stream, 0.42)
            engine.is_up = is_up

    def _leave(self, stream, pause_s):
        """End a run; one with events goes on from its copy elsewhere."""
        self._remove(stream)
        if stream.events < 1:
            self._vain += stream.read
            stream.unread, stream.read = PROMPT_TOKENS, 0.0
        else:
            gap_s = pause_s + 0.1
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        if stream.runs >= MAX_RUNS:
            self._end(stream, 'lost')
        else:
            self._later.append((self.now_s + pause_s, stream))

    def _remove(self, stream):
        engine, stream.engine = stream.engine, None
        engine.streams.remove(stream)
        stream.entry.streams[engine].remove(stream)
        stream.entry.queue.end(stream.account)
        stream.entry.use.end(SERVICE, stream.account, True)

    def _end(self, stream, how):
        stream.end = how
        stream.ended_s = self.now_s
        if how == 'lost':
            self._vain += stream.read

    def _report(self):
        return (
            {
                engine: (len(engine.streams), self._unread(engine.streams))
                for engine in self._engines
            },
            [
                {engine: list(each) for engine, each in entry.streams.items()}
                for entry in self._entries
            ],
            sum(len(entry.queue) for entry in self._entries),
        )

    @staticmethod
    def _unread(streams):
        return sum(PROMPT_TOKENS for each in streams if 0 < each.unread)

    def _uses(self, entry):
        """Return the use of each engine as an entry knows it."""
        totals, by_entry, _ = self._reports[0]
        old = by_entry[entry.number]
        uses = {
            engine: room.Use(count, count * HELD_TOKENS, unread)
            for engine, (count, unread) in totals.items()
        }
        for engine in {**entry.streams, **old}:
            own, before = entry.streams[engine], old.get(engine, [])
            if own or before:
                streams = uses[engine].streams + len(own) - len(before)
                unread = uses[engine].unread_tokens
                unread += self._unread(own) - self._unread(before)
                uses[engine] = room.Use(streams, streams * HELD_TOKENS, unread)
        return uses

    def _place(self, stream):
        if self.now_s - stream.arrived_s > LIMIT_S:
            self._end(stream, 'lost')
            return
        uses = {
            engine: use
            for engine, use in self._uses(stream.entry).items()
            if engine.is_up
        }
        is_new = not stream.runs
        allowed = list(uses)
        if self._has_admission and is_new:
            allowed = self._admit(stream, uses)
            if allowed is None:
                return
        tried = sorted(
            allowed,
            key=lambda each: (
                uses[each].streams
                + choose.STARTING_COST
                * uses[each].unread_tokens
                / PROMPT_TOKENS,
                self._rng.random(),
            ),
        )
        engine = next((each for each in tried if each.accepts()), None)
        waited_s = self.now_s - stream.sent_s
        if engine is not None:
            engine.streams.append(stream)
            stream.entry.streams[engine].append(stream)
            stream.engine = engine
            stream.entry.queue.begin(stream.account)
            stream.entry.use.begin(SERVICE, stream.account, True)
            stream.runs += 1
        elif is_new and waited_s > OBJECTIVE_S - 1.0:
            self._refuse(stream, FIXED_RETRY_AFTER_S)
        else:
            self._later.append((self.now_s + 0.2, stream))

    def _admit(self, stream, uses):
        """Return the engines for a new stream, or None if it isn't sent."""
        queue = stream.entry.queue
        rooms = {engine: _room(engine.id, use) for engine, use in uses.items()}
        waiting = stream_queue.Waiting(
            stream, stream.account, 1, stream.sent_s + OBJECTIVE_S
        )
        request = decision.Request(
            OBJECTIVE_S,
            queue.bound_s(stream.account, 1, OBJECTIVE_S, self.now_s),
            self.now_s - stream.sent_s,
            LIMIT_S - (self.now_s - stream.arrived_s),
            SPEED.output_s,
        )
        rate_per_s = room.service_rate(rooms.values())
        decided = decision.decide(
            request,
            rooms.values(),
            queue.ahead_of(waiting, self.now_s),
            queue.contenders(waiting, self._reports[0][2], self.now_s),
            rate_per_s,
            self._rng,
        )
        queue.remove(stream)
        if not isinstance(decided, decision.Send):
            stream.entry.use.mark_full(SERVICE, self.now_s)
        match decided:
            case decision.Send(ids):
                return [each for each in rooms if each.id in ids] or list(
                    rooms
                )
            case decision.Wait():
                queue.add(waiting)
                pause_s = decision.POLL_S * self._rng.uniform(0.5, 1.5)
                self._later.append((self.now_s + pause_s, stream))
            case decision.Refuse(_, free_in_s):
                left_s = LIMIT_S - (self.now_s - stream.arrived_s)
                self._refuse(
                    stream,
                    stream.entry.returns.retry_after_s(
                        self.now_s, free_in_s, rate_per_s / ENTRIES, left_s
                    )
                    if self._has_schedule
                    else FIXED_RETRY_AFTER_S,
                )
        return None

    def _refuse(self, stream, retry_after_s):
        stream.refusals += 1
        left_s = LIMIT_S - (self.now_s - stream.arrived_s)
        if (
            stream.refusals > self._returns_allowed
            or retry_after_s > left_s * returns.HONOURED_SHARE + 0.001
        ):
            self._end(stream, 'refused')
            return
        at_s = self.now_s + retry_after_s
        stream.sent_s = at_s
        self._later.append((at_s, stream))

    def _work(self, engine):
        if not engine.streams:
            return
        prompts = [each for each in engine.streams if each.unread > 0]
        event_s = engine.event_s
        share = TOKENS_PER_MS * TICK_S * 1000 / max(len(prompts), 1)
        for stream in list(engine.streams):
            if self.now_s - stream.arrived_s > LIMIT_S:
                self._remove(stream)
                self._end(stream, 'lost')
            elif stream.unread > 0:
                stream.unread -= share
                stream.read += share
            else:
                stream.events += TICK_S / event_s
                stream.longest_gap_s = max(stream.longest_gap_s, event_s)
                if stream.first_event_s is None and stream.events >= 1:
                    stream.first_event_s = self.now_s
                if stream.events >= EVENTS:
                    self._remove(stream)
                    self._end(stream, 'complete')
        if event_s > MAX_GAP_S * gaps.HANGING_SHARE:
            # The streams with events leave, and the others follow.
            for stream in list(engine.streams):
                if stream.events > 0 or len(engine.streams) > 1:
                    self._leave(stream, 0.0)

    def _result(self):
        counted = [
            each
            for each in self._all
            if SURGE_S[0] <= each.arrived_s < SURGE_S[1] + 4.0
        ]
        on_time = sum(each.is_on_time for each in counted)
        complete = sum(each.end == 'complete' for each in counted)
        return Result(
            len(counted),
            on_time / len(counted),
            complete - on_time,
            len(counted) - complete,
            sum(each.refusals > 0 for each in counted),
            sum(each.refusals > 1 for each in counted),
            self._vain,
            max(each.ended_s for each in counted if each.end) - SURGE_S[1],
        )
