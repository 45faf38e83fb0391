"""Finds segments of prompts that crash the endpoints answering them."""

from __future__ import annotations

from collections import abc
import itertools
from typing import NamedTuple

from godwitvalve.decoding import bounds
from godwitvalve.quarantine import reports

# Crashes after which a segment is blocked that no answer has shown to be
# sound. A single one may have any cause.
MIN_CRASHES = 2
# The same for a segment that has had sound answers, as it may have been at
# endpoints that crashed for other reasons.
MIN_CRASHES_IF_SOUND = 5
# Endpoints that crash within this time of one another have a cause in
# common, such as their failure domain, and count once. A prompt that was
# sent after the first crash is no part of that.
SAME_CAUSE_S = 0.25
# Time after the last crash for which a segment is blocked. It doubles with
# each crash of a prompt that was admitted afterwards.
FIRST_BLOCK_S = 60.0
LONGEST_BLOCK_S = 600.0
# Time between two prompts that an entry admits to find out whether a segment
# still crashes endpoints. Such a prompt begins its answer within seconds.
TRIAL_PERIOD_S = 10.0
# Crashes are forgotten after this time.
RETENTION_S = 2 * LONGEST_BLOCK_S
# Times that two entries know of the same event differ by this much.
CLOCK_TOLERANCE_S = 0.05
MAX_CRASHES = 64
MAX_SOUND_SEGMENTS = 4096
# Bounds the evidence in a heartbeat to half a datagram of 1.4 KB.
MAX_REPORTED_SEGMENTS = 12


class Crash(NamedTuple):
    """An endpoint that crashed as it began the answer to a prompt.

    :param sent_s: when the prompt was sent there.
    """

    service: str
    endpoint_id: str
    segments: frozenset[str]
    sent_s: float
    at_s: float


class Block(NamedTuple):
    """Prompts with all these segments are not sent until a time."""

    segments: frozenset[str]
    until_s: float


class SegmentQuarantine:
    """Evidence about segments, and the prompts that it blocks.

    Load pattern: prompts with one segment come at all entries, and each
    endpoint that begins to answer one crashes. The streams of other callers
    that run there are interrupted as well. Other prompts share their other
    segments, endpoints also crash for reasons of their own, and each entry
    sees a part of the crashes.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str, frozenset[str]], Crash] = {}
        self._sound_s: dict[tuple[str, str], float] = {}
        self._blocks: dict[str, list[Block]] = {}
        self._trial_from_s: dict[tuple[str, frozenset[str]], float] = {}

    def record_crash(
        self,
        service: str,
        endpoint_id: str,
        segments: abc.Iterable[str],
        sent_s: float,
        at_s: float,
    ) -> bool:
        """Record a crash; return whether it was unknown.

        :param sent_s: when the prompt was sent to the endpoint.
        """
        crash = Crash(service, endpoint_id, frozenset(segments), sent_s, at_s)
        key = (service, endpoint_id, crash.segments)
        if not crash.segments or key in self._crashes:
            return False
        self._crashes[key] = crash
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(
                self._crashes, key=lambda each: self._crashes[each].at_s
            )
            del self._crashes[oldest]
        self._review()
        return True

    def record_sound(
        self, service: str, segments: abc.Iterable[str], began_s: float
    ) -> bool:
        """Record an answer that went on after its beginning.

        :returns: whether that says something about a known crash.
        """
        newer = [
            segment
            for segment in segments
            if self._is_newer((service, segment), began_s)
        ]
        for segment in newer:
            self._sound_s.pop((service, segment), None)
            self._sound_s[service, segment] = began_s
        while len(self._sound_s) > MAX_SOUND_SEGMENTS:
            del self._sound_s[next(iter(self._sound_s))]
        if not newer or not self._crashes:
            return False
        suspected = self._suspected()
        if any((service, segment) in suspected for segment in newer):
            self._review()
            return True
        return False

    def _is_newer(self, key: tuple[str, str], began_s: float) -> bool:
        known_s = self._sound_s.get(key)
        return known_s is None or began_s > known_s + CLOCK_TOLERANCE_S

    def _suspected(self) -> set[tuple[str, str]]:
        return {
            (crash.service, segment)
            for crash in self._crashes.values()
            for segment in crash.segments
        }

    def _review(self) -> None:
        """Decide anew which prompts are blocked."""
        self._blocks = {}
        for service, segment in sorted(self._suspected()):
            block = self._block_for(service, segment)
            if block is not None:
                self._blocks.setdefault(service, []).append(block)

    def _block_for(self, service: str, segment: str) -> Block | None:
        """Return the block for the crashes of a segment, if any.

        A prompt without a part of the segments that these crashes have in
        common is still sent: its answer tells which of them is at fault.
        """
        sound_s = self._sound_s.get((service, segment))
        crashes = sorted(
            (
                crash
                for crash in self._crashes.values()
                if crash.service == service
                and segment in crash.segments
                and (sound_s is None or crash.at_s > sound_s)
            ),
            key=lambda crash: crash.at_s,
        )
        needed = MIN_CRASHES if sound_s is None else MIN_CRASHES_IF_SOUND
        excess = _count_causes(crashes) - needed
        if excess < 0:
            return None
        common = frozenset.intersection(*(each.segments for each in crashes))
        suspects = frozenset(
            each
            for each in common
            if self._sound_s.get((service, each), float('-inf'))
            <= crashes[0].at_s
        )
        block_s = min(FIRST_BLOCK_S * 2**excess, LONGEST_BLOCK_S)
        return Block(suspects, crashes[-1].at_s + block_s)

    def _matching(
        self, service: str, segments: abc.Collection[str]
    ) -> list[Block]:
        return [
            block
            for block in self._blocks.get(service, ())
            if block.segments.issubset(segments)
        ]

    def blocked_until_s(
        self, service: str, segments: abc.Collection[str]
    ) -> float:
        """Return the time until which prompts with segments are blocked."""
        return max(
            (each.until_s for each in self._matching(service, segments)),
            default=float('-inf'),
        )

    def admitted_from_s(
        self, service: str, segments: abc.Collection[str]
    ) -> float:
        """Return the time from which a prompt with segments may be sent."""
        return max(
            (
                max(
                    block.until_s,
                    self._trial_from_s.get((service, block.segments), 0.0),
                )
                for block in self._matching(service, segments)
            ),
            default=float('-inf'),
        )

    def admit(
        self, service: str, segments: abc.Collection[str], now_s: float
    ) -> bool:
        """Tell whether a prompt may be sent now.

        Once a block has ended, one prompt in each ``TRIAL_PERIOD_S`` is
        sent until one is answered or crashes its endpoint.
        """
        if now_s < self.admitted_from_s(service, segments):
            return False
        for block in self._matching(service, segments):
            key = (service, block.segments)
            self._trial_from_s[key] = now_s + TRIAL_PERIOD_S
        return True

    def merge(
        self, report: reports.QuarantineReport, now_s: float, age_s: float
    ) -> None:
        """Merge the evidence of another entry.

        :param age_s: seconds since it was sent.
        """
        for sound in report.sound:
            began_s = now_s - age_s - sound.age_ms / 1000
            self.record_sound(sound.service, (sound.segment,), began_s)
        for crash in report.crashes:
            at_s = now_s - age_s - crash.age_ms / 1000
            if now_s - at_s < RETENTION_S:
                self.record_crash(
                    crash.service,
                    crash.endpoint_id,
                    crash.segments,
                    at_s - crash.run_ms / 1000,
                    at_s,
                )

    def report(self, now_s: float) -> reports.QuarantineReport:
        """Return evidence for other entries: of blocks, then the newest."""
        crashes: list[reports.CrashReport] = []
        sound: dict[tuple[str, str], float] = {}
        reported = 0
        for crash in sorted(
            self._crashes.values(),
            key=lambda each: (
                not self._matching(each.service, each.segments),
                -each.at_s,
            ),
        ):
            if reported + len(crash.segments) > MAX_REPORTED_SEGMENTS:
                continue
            reported += len(crash.segments)
            crashes.append(
                reports.CrashReport(
                    crash.service,
                    crash.endpoint_id,
                    tuple(sorted(crash.segments)),
                    _duration_ms(crash.at_s, now_s),
                    _duration_ms(crash.sent_s, crash.at_s),
                )
            )
            for segment in crash.segments:
                key = (crash.service, segment)
                if key in self._sound_s:
                    sound[key] = self._sound_s[key]
        return reports.QuarantineReport(
            crashes,
            [
                reports.SoundReport(*key, _duration_ms(began_s, now_s))
                for key, began_s in sound.items()
            ],
        )

    def expire(self, now_s: float) -> None:
        """Forget old crashes."""
        expired = [
            key
            for key, crash in self._crashes.items()
            if now_s - crash.at_s > RETENTION_S
        ]
        for key in expired:
            del self._crashes[key]
        if expired:
            self._review()
        blocked = {
            (service, block.segments)
            for service, blocks in self._blocks.items()
            for block in blocks
        }
        for ended in self._trial_from_s.keys() - blocked:
            del self._trial_from_s[ended]

    def evidence(
        self, service: str, segments: abc.Collection[str]
    ) -> list[dict[str, object]]:
        """Return the blocks of a prompt for the log, with their crashes."""
        return [
            {
                'segments': sorted(block.segments),
                'endpoints': sorted(
                    {
                        crash.endpoint_id
                        for crash in self._crashes.values()
                        if crash.service == service
                        and block.segments <= crash.segments
                    }
                ),
            }
            for block in self._matching(service, segments)
        ]

    def crash_count(self) -> int:
        """Return the number of crashes that are remembered."""
        return len(self._crashes)

    def blocks(self) -> dict[str, list[Block]]:
        """Return the blocks by service."""
        return self._blocks


def _count_causes(crashes: abc.Sequence[Crash]) -> int:
    """Return the number of crashes in order of time, related ones as one."""
    return bool(crashes) + sum(
        later.at_s - earlier.at_s > SAME_CAUSE_S or later.sent_s > earlier.at_s
        for earlier, later in itertools.pairwise(crashes)
    )


def _duration_ms(from_s: float, to_s: float) -> int:
    duration_ms = max(int((to_s - from_s) * 1000), 0)
    return min(duration_ms, bounds.MAX_MILLISECONDS)
