"""Decides which segments of prompts crash endpoints."""

from __future__ import annotations

from collections import abc
import itertools
import math
from typing import NamedTuple, TypeAlias

from godwitvalve.quarantine import crashes as crash_model

# Evidence for a block of a segment that no answer has shown to be sound: two
# crashes as an answer had begun, or three as different prompts waited. A
# single one may have any cause.
MIN_EVIDENCE = 6.0
# The same for a segment that has had sound answers, as it may have been at
# endpoints that crashed for other reasons.
MIN_EVIDENCE_IF_SOUND = 15.0
# The answer to a sound prompt goes on within this time in most cases. Once a
# segment has been sent for longer without one, each further crash of a prompt
# with it counts as much as this, however common the segment is.
SOUND_LIMIT_S = 2.0
UNPROVED_EVIDENCE = 1.5
# Endpoints that crash within this time of a first one have a cause in common,
# such as their failure domain, and count once. A prompt that was sent after
# the first crash is no part of that.
SAME_CAUSE_S = 0.25
# Time after the last crash for which a segment is blocked. It doubles with
# each crash of a prompt that was admitted afterwards.
FIRST_BLOCK_S = 60.0
LONGEST_BLOCK_S = 600.0
_NEVER_S = float('-inf')


class Block(NamedTuple):
    """Prompts with all these segments are not sent until a time."""

    segments: frozenset[str]
    until_s: float


SoundTimes: TypeAlias = abc.Mapping[str, float]


class _Cause(NamedTuple):
    """Crashes with one cause.

    :param at_s: time of the first of them.
    """

    at_s: float
    evidence: float


class _Case(NamedTuple):
    """Crashes that speak against a segment, in the order of time.

    :param is_alone: whether a single prompt with it is suspected.
    """

    segment: str
    crashes: list[crash_model.Crash]
    causes: list[_Cause]
    needed: float
    is_alone: bool

    @property
    def evidence(self) -> float:
        """Return the evidence of all crashes."""
        return sum(each.evidence for each in self.causes)

    @property
    def is_proved(self) -> bool:
        """Return whether the evidence suffices for a block."""
        return self.evidence >= self.needed

    def rank(self) -> tuple[bool, float, str]:
        """Return the sort key; the likeliest culprit has the highest.

        A prompt that lost its endpoints to others has lost them by itself.
        A common segment has little evidence in each of many crashes.
        """
        mean = self.evidence / len(self.causes)
        return not self.is_alone, self.evidence * mean, self.segment

    def block(self, sound_s: SoundTimes) -> Block:
        """Return the block that follows.

        A prompt without a part of the segments that the suspects have in
        common is still sent: its answer tells which of them is at fault.
        """
        common = frozenset.intersection(
            *_prompts_with(self.segment, self.crashes)
        )
        first_s = self.crashes[0].at_s
        suspected = frozenset(
            each
            for each in common
            if sound_s.get(each, _NEVER_S) <= first_s or each == self.segment
        )
        reached = itertools.accumulate(each.evidence for each in self.causes)
        excess = sum(each >= self.needed for each in reached) - 1
        block_s = min(FIRST_BLOCK_S * 2**excess, LONGEST_BLOCK_S)
        return Block(suspected, self.crashes[-1].at_s + block_s)


def blocks(
    crashes: abc.Iterable[crash_model.Crash], sound_s: SoundTimes
) -> tuple[list[Block], dict[str, float]]:
    """Return the blocks of a service and the evidence against its segments.

    Load pattern: an endpoint that crashes takes all its prompts along, and
    each of them is a suspect. A crash is blamed on one segment: its crashes
    are no evidence against the others that were there.

    :param crashes: crashes of the service's endpoints.
    :param sound_s: when the last sound answer to each segment began.
    """
    unexplained = sorted(crashes, key=lambda each: each.at_s)
    evidence: dict[str, float] = {}
    found: list[Block] = []
    while True:
        cases = [
            _case(segment, with_segment, sound_s)
            for segment, with_segment in _by_segment(unexplained).items()
            # One crash proves nothing; most segments were at one only.
            if len(with_segment) > 1
        ]
        for case in cases:
            evidence.setdefault(case.segment, case.evidence)
        proved = [case for case in cases if case.is_proved]
        if not proved:
            return found, evidence
        culprit = max(proved, key=_Case.rank)
        found.append(culprit.block(sound_s))
        explained = {id(each) for each in culprit.crashes}
        unexplained = [
            each for each in unexplained if id(each) not in explained
        ]


def _prompts_with(
    segment: str, crashes: abc.Iterable[crash_model.Crash]
) -> set[frozenset[str]]:
    return {
        prompt for crash in crashes for prompt in crash.prompts_with(segment)
    }


def _by_segment(
    crashes: abc.Iterable[crash_model.Crash],
) -> dict[str, list[crash_model.Crash]]:
    found: dict[str, list[crash_model.Crash]] = {}
    for crash in crashes:
        for segment in crash.segments:
            found.setdefault(segment, []).append(crash)
    return found


def _case(
    segment: str,
    with_segment: abc.Iterable[crash_model.Crash],
    sound_s: SoundTimes,
) -> _Case:
    is_unproved = segment not in sound_s
    last_sound_s = sound_s.get(segment, _NEVER_S)
    counted = [each for each in with_segment if each.at_s > last_sound_s]
    is_alone = len(_prompts_with(segment, counted)) == 1
    return _Case(
        segment,
        counted,
        _causes(segment, counted, is_unproved, is_alone),
        MIN_EVIDENCE if is_unproved else MIN_EVIDENCE_IF_SOUND,
        is_alone,
    )


def _causes(
    segment: str,
    crashes: abc.Iterable[crash_model.Crash],
    is_unproved: bool,
    is_alone: bool,
) -> list[_Cause]:
    """Return the causes of crashes in the order of time.

    :param is_unproved: whether no answer has shown the segment to be sound.
    :param is_alone: whether a single prompt with it is suspected.
    """
    first_sent_s = math.inf
    causes: list[_Cause] = []
    for crash in crashes:
        with_segment = [
            crash.suspects[prompt] for prompt in crash.prompts_with(segment)
        ]
        evidence = max(
            each.evidence_against(segment, is_alone) for each in with_segment
        )
        sent_s = [each.sent_s for each in with_segment]
        first_sent_s = min(first_sent_s, *sent_s)
        if (
            is_unproved
            and not is_alone
            and crash.at_s - first_sent_s > SOUND_LIMIT_S
        ):
            evidence = max(evidence, UNPROVED_EVIDENCE)
        last = causes[-1] if causes else None
        if (
            last is not None
            and crash.at_s - last.at_s <= SAME_CAUSE_S
            and max(sent_s) <= last.at_s
        ):
            causes[-1] = _Cause(last.at_s, max(last.evidence, evidence))
        else:
            causes.append(_Cause(crash.at_s, evidence))
    return causes
