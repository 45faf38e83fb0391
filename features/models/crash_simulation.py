"""Simulates entries whose endpoints crash, by prompts and by themselves."""

from __future__ import annotations

import dataclasses
import random
from typing import NamedTuple

from godwitvalve.quarantine import crashes
from godwitvalve.quarantine import segments

SERVICE = 'summaries'
TICK_S = 0.05
GOSSIP_PERIOD_S = 0.25
# Entries that each report is sent to; the size at which members are no
# longer sent to directly.
GOSSIP_TARGETS = 6
RESTART_S = 3.0
MAX_ATTEMPTS = 5
FAULTY_SEGMENT = 'faulty'
# Time from the beginning of an answer to its eighth event, and to the crash
# of an endpoint that answers a faulty prompt.
SOUND_AFTER_S = 0.25
CRASH_AFTER_S = 0.1
# Bounds of the rule: crashes, and time after the last of them.
RULE_CRASHES = 5
CONTACT_S = 3.0
# Share of crashes that are those of a failure domain, a third of all.
DOMAIN_SHARE = 0.2
REQUESTS_PER_ENDPOINT_S = 0.13


class Load(NamedTuple):
    """Prompts and endpoints of a run.

    :param share: share of one of three kinds of prompt that is faulty.
    :param rate: crashes a second that have other causes.
    :param is_headless: whether faulty prompts crash endpoints before the
        heads of their answers.
    :param per_endpoint_s: requests a second and endpoint.
    :param faulty_from_s: when faulty prompts begin to come.
    :param own_share: share of prompts with a segment of their own.
    """

    share: float
    rate: float
    is_headless: bool = False
    per_endpoint_s: float = REQUESTS_PER_ENDPOINT_S
    faulty_from_s: float = 4.0
    own_share: float = 0.0


@dataclasses.dataclass
class Prompt:
    """A prompt on its way; times are seconds of the simulation."""

    segments: frozenset
    entry: int
    endpoint: int = 0
    attempts: int = 0
    sent_s: float = 0.0
    begins_s: float = 0.0
    is_sound_recorded: bool = False
    arrived_s: float = 0.0

    @property
    def is_faulty(self):
        return FAULTY_SEGMENT in self.segments


@dataclasses.dataclass
class Result:
    """Counts of one run."""

    crashes_by_prompts: int = 0
    late_faulty_prompts: int = 0
    refused_sound: int = 0
    late_refused_sound: int = 0
    late_sound: int = 0
    sound: int = 0


class CrashSimulation:
    """One run with a seed."""

    def __init__(self, seed, entries, endpoints, load):
        self._rng = random.Random(seed)
        self._entries = [
            segments.SegmentQuarantine(
                lambda key, own=number: (
                    random.Random(key).randrange(entries) == own
                )
            )
            for number in range(entries)
        ]
        self._down_until_s = [0.0] * endpoints
        self._starts = [0] * endpoints
        self._load = load
        self._numbers = 0
        self._running = []
        self._now_s = 0.0
        self._rule_from_s = float('inf')
        self.result = Result()

    def run(self, length_s):
        next_gossip_s = 0.0
        while self._now_s < length_s:
            self._now_s += TICK_S
            self._arrive()
            self._advance()
            self._crash_by_themselves()
            if self._now_s >= next_gossip_s:
                next_gossip_s = self._now_s + GOSSIP_PERIOD_S
                self._gossip()
        return self.result

    def _happens(self, rate):
        return self._rng.random() < rate * TICK_S

    def _arrive(self):
        load = self._load
        if not self._happens(load.per_endpoint_s * len(self._down_until_s)):
            return
        kind = self._rng.randrange(3)
        found = {f'kind-{kind}'}
        if self._rng.random() < 0.5:
            found.add(f'case-{self._rng.randrange(2000)}')
        is_faulty = kind == 0 and self._rng.random() < load.share
        if is_faulty and load.faulty_from_s < self._now_s < 50.0:
            found.add(FAULTY_SEGMENT)
        if load.own_share and self._rng.random() < load.own_share:
            self._numbers += 1
            found.add(f'own-{self._numbers}')
        entry = self._rng.randrange(len(self._entries))
        prompt = Prompt(frozenset(found), entry, arrived_s=self._now_s)
        self.result.sound += not prompt.is_faulty
        self.result.late_sound += self._is_late_sound(prompt)
        self._entries[entry].record_prompt(SERVICE, prompt.segments)
        self._send(prompt)

    def _is_late_sound(self, prompt):
        """Tell whether a prompt is sound and came after the rule's time."""
        late_s = self._rule_from_s + CONTACT_S
        return not prompt.is_faulty and prompt.arrived_s > late_s

    def _count_refused(self, prompt):
        self.result.refused_sound += not prompt.is_faulty
        self.result.late_refused_sound += self._is_late_sound(prompt)

    def _send(self, prompt):
        up = [
            number
            for number, until_s in enumerate(self._down_until_s)
            if until_s <= self._now_s
        ]
        if prompt.attempts >= MAX_ATTEMPTS or not up:
            return
        if not self._entries[prompt.entry].admit(
            SERVICE, prompt.segments, self._now_s
        ):
            self._count_refused(prompt)
            return
        prompt.attempts += 1
        prompt.endpoint = self._rng.choice(up)
        prompt.sent_s = self._now_s
        prompt.begins_s = self._now_s + self._rng.uniform(1.0, 2.0)
        if prompt.is_faulty and self._now_s > self._rule_from_s:
            self.result.late_faulty_prompts += 1
        self._running.append(prompt)

    def _advance(self):
        for prompt in list(self._running):
            if prompt not in self._running:
                continue
            began_for_s = self._now_s - prompt.begins_s
            crash_after_s = 0.0 if self._load.is_headless else CRASH_AFTER_S
            if began_for_s < 0:
                self._cancel_blocked(prompt)
            elif prompt.is_faulty and began_for_s >= crash_after_s:
                self.result.crashes_by_prompts += 1
                if self.result.crashes_by_prompts == RULE_CRASHES:
                    self._rule_from_s = self._now_s + CONTACT_S
                self._crash([prompt.endpoint])
            elif began_for_s >= SOUND_AFTER_S:
                self._go_on(prompt, began_for_s)

    def _cancel_blocked(self, prompt):
        until_s = self._entries[prompt.entry].blocked_until_s(
            SERVICE, prompt.segments
        )
        if until_s > self._now_s:
            self._running.remove(prompt)
            self._count_refused(prompt)

    def _go_on(self, prompt, began_for_s):
        if not prompt.is_sound_recorded:
            prompt.is_sound_recorded = True
            self._entries[prompt.entry].record_sound(
                SERVICE, prompt.segments, prompt.begins_s
            )
        if began_for_s > 4.0:
            self._running.remove(prompt)

    def _crash(self, numbers):
        lost = [each for each in self._running if each.endpoint in numbers]
        for number in numbers:
            for entry in range(len(self._entries)):
                self._record_crash(
                    entry,
                    number,
                    [
                        each
                        for each in lost
                        if (each.entry, each.endpoint) == (entry, number)
                    ],
                )
            self._down_until_s[number] = self._now_s + RESTART_S
            self._starts[number] += 1
        for prompt in lost:
            self._running.remove(prompt)
            prompt.is_sound_recorded = False
            self._send(prompt)

    def _record_crash(self, entry, number, lost):
        """Record the prompts of an entry that an endpoint took along."""
        suspects = [
            crashes.Suspect(each.segments, each.sent_s, self._has_head(each))
            for each in lost
            if self._now_s - each.begins_s < SOUND_AFTER_S
        ]
        if suspects:
            self._entries[entry].record_crash(
                SERVICE,
                f'e{number}-{self._starts[number]}',
                suspects,
                self._now_s,
            )

    def _has_head(self, prompt):
        return self._now_s >= prompt.begins_s and not (
            prompt.is_faulty and self._load.is_headless
        )

    def _crash_by_themselves(self):
        if not self._happens(self._load.rate):
            return
        count = len(self._down_until_s)
        first = self._rng.randrange(count)
        if self._rng.random() < DOMAIN_SHARE:
            self._crash(list(range(first % 3, count, 3)))
        else:
            self._crash([first])

    def _gossip(self):
        for number, entry in enumerate(self._entries):
            report = entry.report(self._now_s)
            if not report.crashes:
                continue
            others = [
                each
                for other, each in enumerate(self._entries)
                if other != number
            ]
            if len(others) > 16:
                others = self._rng.sample(others, GOSSIP_TARGETS)
            for each in others:
                each.merge(report, self._now_s, 0.0)
