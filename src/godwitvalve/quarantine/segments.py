"""Finds segments of prompts that crash the endpoints answering them."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.decoding import bounds
from godwitvalve.quarantine import crashes as crash_model
from godwitvalve.quarantine import prompt_shares
from godwitvalve.quarantine import reports
from godwitvalve.quarantine import verdicts

# Time between two prompts that are admitted to find out whether a segment
# still crashes endpoints. Such a prompt begins its answer within seconds.
TRIAL_PERIOD_S = 10.0
# Crashes are forgotten after this time.
RETENTION_S = 2 * verdicts.LONGEST_BLOCK_S
# Times that two entries know of the same event differ by this much.
CLOCK_TOLERANCE_S = 0.05
MAX_CRASHES = 64
MAX_SOUND_SEGMENTS = 4096
# Bounds the evidence in a heartbeat to half a datagram of 1.4 KB.
MAX_REPORTED_SEGMENTS = 12


class _Reported(NamedTuple):
    """A suspect that other entries are told of."""

    crash: crash_model.Crash
    segments: frozenset[str]
    suspicion: crash_model.Suspicion


class SegmentQuarantine:
    """Evidence about segments, and the prompts that it blocks.

    Load pattern: prompts with one segment come at all entries, and each
    endpoint that begins to answer one crashes, before or after the head of
    its answer. All other prompts there are lost as well. They share their
    other segments, endpoints also crash for reasons of their own, and each
    entry sees a part of the crashes.

    All times are monotonic seconds.

    :param takes_turn: returns whether this entry, of all, sends the prompt
        that a key stands for.
    """

    def __init__(
        self, takes_turn: abc.Callable[[str], bool] = lambda key: True
    ) -> None:
        self._takes_turn = takes_turn
        self._crashes: list[crash_model.Crash] = []
        self._shares = prompt_shares.PromptShares()
        self._sound_s: dict[tuple[str, str], float] = {}
        self._blocks: dict[str, list[verdicts.Block]] = {}
        self._evidence: dict[tuple[str, str], float] = {}
        self._reported: list[_Reported] = []
        self._trial_from_s: dict[tuple[str, frozenset[str]], float] = {}

    def record_prompt(self, service: str, segments: abc.Iterable[str]) -> None:
        """Count a prompt that a caller sent."""
        self._shares.record(service, segments)

    def record_crash(
        self,
        service: str,
        endpoint_id: str,
        suspects: abc.Collection[crash_model.Suspect],
        at_s: float,
    ) -> bool:
        """Record a crash; return whether a suspect of it was unknown."""
        is_new = self._add(
            service,
            endpoint_id,
            crash_model.suspicions(service, suspects, self._shares),
            at_s,
        )
        if is_new:
            self._review()
        return is_new

    def _add(
        self,
        service: str,
        endpoint_id: str,
        suspects: abc.Iterable[tuple[frozenset[str], crash_model.Suspicion]],
        at_s: float,
    ) -> bool:
        crash = self._find(service, endpoint_id, at_s)
        # A list, as each suspect is added.
        is_new = any([crash.add(*each) for each in suspects])
        if is_new:
            if not any(each is crash for each in self._crashes):
                self._crashes.append(crash)
            if len(self._crashes) > MAX_CRASHES:
                oldest = min(self._crashes, key=lambda each: each.at_s)
                self._crashes.remove(oldest)
        return is_new

    def _find(
        self, service: str, endpoint_id: str, at_s: float
    ) -> crash_model.Crash:
        """Return a crash that is known, or a new one without suspects.

        An endpoint may crash again after it started under the same id.
        """
        return next(
            (
                each
                for each in self._crashes
                if (each.service, each.endpoint_id) == (service, endpoint_id)
                and each.is_at(at_s)
            ),
            crash_model.Crash(service, endpoint_id, at_s),
        )

    def record_sound(
        self, service: str, segments: abc.Iterable[str], began_s: float
    ) -> bool:
        """Record an answer that went on after its beginning.

        :returns: whether that says something about a known crash.
        """
        # A list, as each segment is recorded.
        is_relevant = any(
            [self._add_sound(service, each, began_s) for each in segments]
        )
        if is_relevant:
            self._review()
        return is_relevant

    def _add_sound(self, service: str, segment: str, began_s: float) -> bool:
        """Return whether it says something about a known crash."""
        key = (service, segment)
        known_s = self._sound_s.pop(key, None)
        if known_s is not None and began_s <= known_s + CLOCK_TOLERANCE_S:
            self._sound_s[key] = known_s
            return False
        self._sound_s[key] = began_s
        while len(self._sound_s) > MAX_SOUND_SEGMENTS:
            del self._sound_s[next(iter(self._sound_s))]
        return any(
            crash.service == service
            and segment in crash.segments
            and (known_s is None or known_s < crash.at_s <= began_s)
            for crash in self._crashes
        )

    def _review(self) -> None:
        """Decide anew which prompts are blocked."""
        self._blocks, self._evidence = {}, {}
        for service in {each.service for each in self._crashes}:
            crashes = [
                each for each in self._crashes if each.service == service
            ]
            suspected = {
                segment for crash in crashes for segment in crash.segments
            }
            blocks, evidence = verdicts.blocks(
                crashes,
                {
                    segment: self._sound_s[service, segment]
                    for segment in suspected
                    if (service, segment) in self._sound_s
                },
            )
            if blocks:
                self._blocks[service] = blocks
            for segment, found in evidence.items():
                self._evidence[service, segment] = found
        self._reported = self._choose_reported()

    def _matching(
        self, service: str, segments: abc.Collection[str]
    ) -> list[verdicts.Block]:
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

        Once a block has ended, one entry sends one prompt in each
        ``TRIAL_PERIOD_S`` until one is answered or crashes its endpoint.
        """
        if now_s < self.admitted_from_s(service, segments):
            return False
        return all(
            # A list, as a trial of each block begins.
            [
                self._begin_trial(service, block, now_s)
                for block in self._matching(service, segments)
            ]
        )

    def _begin_trial(
        self, service: str, block: verdicts.Block, now_s: float
    ) -> bool:
        """Tell whether this entry sends the trial of a period."""
        period = int((now_s - block.until_s) // TRIAL_PERIOD_S)
        names = ' '.join(sorted(block.segments))
        is_own = self._takes_turn(f'{service} {names} {period}')
        self._trial_from_s[service, block.segments] = (
            now_s + TRIAL_PERIOD_S
            if is_own
            else block.until_s + (period + 1) * TRIAL_PERIOD_S
        )
        return is_own

    def merge(
        self, report: reports.QuarantineReport, now_s: float, age_s: float
    ) -> None:
        """Merge the evidence of another entry.

        :param age_s: seconds since it was sent.
        """
        found = [
            self._add_sound(
                sound.service,
                sound.segment,
                now_s - age_s - sound.age_ms / 1000,
            )
            for sound in report.sound
        ]
        found += [
            self._merge_crash(crash, now_s - age_s - crash.age_ms / 1000)
            for crash in report.crashes
            if age_s + crash.age_ms / 1000 < RETENTION_S
        ]
        if any(found):
            self._review()

    def _merge_crash(self, crash: reports.CrashReport, at_s: float) -> bool:
        suspicion = crash_model.Suspicion(
            at_s - crash.run_ms / 1000,
            crash.has_begun,
            crash_model.stated_evidence(crash.segments, crash.evidence),
        )
        return self._add(
            crash.service,
            crash.endpoint_id,
            [(frozenset(crash.segments), suspicion)],
            at_s,
        )

    def report(self, now_s: float) -> reports.QuarantineReport:
        """Return evidence for other entries."""
        sound = {
            (crash.service, segment): self._sound_s[crash.service, segment]
            for crash, segments, _ in self._reported
            for segment in segments
            if (crash.service, segment) in self._sound_s
        }
        return reports.QuarantineReport(
            [_crash_report(*each, now_s) for each in self._reported],
            [
                reports.SoundReport(*key, _duration_ms(began_s, now_s))
                for key, began_s in sound.items()
            ],
        )

    def _choose_reported(self) -> list[_Reported]:
        """Return the suspects that a heartbeat has room for.

        Those of blocks come first, then those with the most suspicious
        segments, then the newest.
        """
        chosen: dict[tuple[int, frozenset[str]], _Reported] = {}
        reported = 0
        for crash, segments in sorted(
            (
                (crash, segments)
                for crash in self._crashes
                for segments in crash.suspects
            ),
            key=lambda each: self._report_rank(*each),
        ):
            notable = self._notable(crash.service, segments)
            key = (id(crash), notable)
            if (
                key not in chosen
                and reported + len(notable) <= MAX_REPORTED_SEGMENTS
            ):
                reported += len(notable)
                chosen[key] = _Reported(
                    crash, notable, crash.suspects[segments]
                )
        return list(chosen.values())

    def _notable(
        self, service: str, segments: frozenset[str]
    ) -> frozenset[str]:
        """Return the segments of a suspect that others are told of.

        The crashes of a block take more room than a heartbeat has if each
        comes with all segments of its prompt.
        """
        blocked = [each.segments for each in self._matching(service, segments)]
        return frozenset().union(*blocked) if blocked else segments

    def _report_rank(
        self, crash: crash_model.Crash, segments: frozenset[str]
    ) -> tuple[bool, float, float, float]:
        evidence = [
            self._evidence.get((crash.service, each), 0.0) for each in segments
        ]
        return (
            not self._matching(crash.service, segments),
            -max(evidence),
            -crash.at_s,
            -max(crash.suspects[segments].evidence.values()),
        )

    def expire(self, now_s: float) -> None:
        """Forget old crashes."""
        kept = [
            each for each in self._crashes if now_s - each.at_s <= RETENTION_S
        ]
        if len(kept) < len(self._crashes):
            self._crashes = kept
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
                'endpoints': [
                    crash.endpoint_id
                    for crash in self._crashes
                    if crash.service == service
                    and any(
                        block.segments <= prompt for prompt in crash.suspects
                    )
                ],
            }
            for block in self._matching(service, segments)
        ]

    def crash_count(self) -> int:
        """Return the number of crashes that are remembered."""
        return len(self._crashes)

    def blocks(self) -> dict[str, list[verdicts.Block]]:
        """Return the blocks by service."""
        return self._blocks


def _crash_report(
    crash: crash_model.Crash,
    segments: frozenset[str],
    suspicion: crash_model.Suspicion,
    now_s: float,
) -> reports.CrashReport:
    ordered = tuple(sorted(segments))
    return reports.CrashReport(
        crash.service,
        crash.endpoint_id,
        ordered,
        _duration_ms(crash.at_s, now_s),
        _duration_ms(suspicion.sent_s, crash.at_s),
        suspicion.has_begun,
        tuple(round(100 * suspicion.evidence[each]) for each in ordered),
    )


def _duration_ms(from_s: float, to_s: float) -> int:
    duration_ms = max(int((to_s - from_s) * 1000), 0)
    return min(duration_ms, bounds.MAX_MILLISECONDS)
