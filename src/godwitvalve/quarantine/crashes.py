"""Crashes of endpoints and the prompts that may have caused them."""

from __future__ import annotations

from collections import abc
import dataclasses
import math
from typing import NamedTuple, Protocol

# Entries know the time of the same crash from different connections. An
# endpoint that starts again under its id takes longer than this to crash.
SAME_CRASH_S = 1.0
MAX_SUSPECTS = 128
# Evidence of one crash in nats: how unlikely it is that one of the suspects
# has the segment by chance. An endpoint that had sent the head of an answer
# more likely crashed by that prompt than by one that waits.
BEGUN_FACTOR = 2.0
MAX_BEGUN_EVIDENCE = 3.0
MAX_WAITING_EVIDENCE = 2.0
ALONE_FACTOR = 0.7
MIN_CHANCE = 1e-6


class Suspect(NamedTuple):
    """A prompt whose answer had not gone on when its endpoint crashed.

    :param sent_s: when it was sent there.
    :param has_begun: whether the head of its answer had arrived.
    """

    segments: frozenset[str]
    sent_s: float
    has_begun: bool


class Suspicion(NamedTuple):
    """What is known of a suspect.

    :param sent_s: when the prompt was sent to the endpoint.
    :param evidence: evidence against each segment of the prompt, by the
        entry that saw the crash.
    """

    sent_s: float
    has_begun: bool
    evidence: abc.Mapping[str, float]

    @property
    def strongest(self) -> float:
        """Return the evidence against the most suspicious segment."""
        return max(self.evidence.values())

    def evidence_against(self, segment: str, is_alone: bool) -> float:
        """Return the evidence against a segment.

        :param is_alone: whether no other prompt with it is suspected; a
            request may wait at several endpoints that crash.
        """
        is_weak = is_alone and not self.has_begun
        return self.evidence[segment] * (ALONE_FACTOR if is_weak else 1.0)


@dataclasses.dataclass
class Crash:
    """The end of an endpoint, with the suspects of all entries.

    :ivar segments: segments of all suspects.
    """

    service: str
    endpoint_id: str
    at_s: float
    suspects: dict[frozenset[str], Suspicion] = dataclasses.field(
        default_factory=dict
    )
    segments: set[str] = dataclasses.field(default_factory=set)

    def is_at(self, at_s: float) -> bool:
        """Tell whether a time is that of this crash."""
        return abs(self.at_s - at_s) < SAME_CRASH_S

    def add(self, segments: frozenset[str], suspicion: Suspicion) -> bool:
        """Add a suspect; return whether it was unknown.

        Of too many, those with the most evidence against them are kept.
        """
        if not segments:
            return False
        known = self.suspects.get(segments)
        if known is not None and known.has_begun >= suspicion.has_begun:
            return False
        if known is None and len(self.suspects) >= MAX_SUSPECTS:
            weakest = min(
                self.suspects, key=lambda each: self.suspects[each].strongest
            )
            if self.suspects[weakest].strongest >= suspicion.strongest:
                return False
            del self.suspects[weakest]
            self.segments = {each for found in self.suspects for each in found}
        self.suspects[segments] = suspicion
        self.segments |= segments
        return True

    def prompts_with(self, segment: str) -> list[frozenset[str]]:
        """Return the suspects that have a segment."""
        return [found for found in self.suspects if segment in found]


def stated_evidence(
    segments: abc.Iterable[str], hundredths: abc.Sequence[int]
) -> dict[str, float]:
    """Return the evidence that another entry states.

    An entry of an older version states none, and knows only of crashes as
    answers had begun.
    """
    return {
        segment: min(hundredths[number] / 100, MAX_BEGUN_EVIDENCE)
        if number < len(hundredths)
        else MAX_BEGUN_EVIDENCE
        for number, segment in enumerate(segments)
    }


class Shares(Protocol):
    """How common segments are among the prompts at an entry."""

    def share(self, service: str, segment: str) -> float:
        """Return the share of a service's prompts that have a segment."""

    def count(self, service: str) -> int:
        """Return the number of a service's prompts that are counted."""


def suspicions(
    service: str, suspects: abc.Collection[Suspect], shares: Shares
) -> list[tuple[frozenset[str], Suspicion]]:
    """Return what an entry knows of its suspects of one crash.

    A prompt whose answer had begun has the others of that kind as company;
    one that waits has all.
    """
    begun = sum(each.has_begun for each in suspects)
    # Few prompts tell little about how common a segment is.
    waiting_limit = min(
        MAX_WAITING_EVIDENCE, math.log(shares.count(service) + 2)
    )

    def evidence(suspect: Suspect, segment: str) -> float:
        company = begun if suspect.has_begun else len(suspects)
        share = shares.share(service, segment)
        by_chance = 1.0 - (1.0 - share) ** company
        surprise = -math.log(max(by_chance, MIN_CHANCE))
        if suspect.has_begun:
            return min(BEGUN_FACTOR * surprise, MAX_BEGUN_EVIDENCE)
        return min(surprise, waiting_limit)

    return [
        (
            suspect.segments,
            Suspicion(
                suspect.sent_s,
                suspect.has_begun,
                {each: evidence(suspect, each) for each in suspect.segments},
            ),
        )
        for suspect in suspects
    ]
