"""What entries tell one another about crashes and prompts."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.decoding import bounds


class CrashReport(NamedTuple):
    """An endpoint that crashed before the answer to a prompt went on.

    :param endpoint_id: incarnation that crashed.
    :param segments: shared segments of the prompt.
    :param age_ms: milliseconds since the crash.
    :param run_ms: milliseconds from sending the prompt to the crash.
    :param has_begun: whether the head of the answer had arrived.
    :param evidence: evidence against each of these segments, in hundredths.
    """

    service: str
    endpoint_id: str
    segments: tuple[str, ...]
    age_ms: bounds.Milliseconds
    run_ms: bounds.Milliseconds
    has_begun: bool = True
    evidence: tuple[bounds.Count, ...] = ()


class SoundReport(NamedTuple):
    """A segment of which a prompt was answered without a crash.

    :param age_ms: milliseconds since the last such answer began.
    """

    service: str
    segment: str
    age_ms: bounds.Milliseconds


class QuarantineReport(NamedTuple):
    """Evidence about prompts that crash endpoints."""

    crashes: list[CrashReport] = []
    sound: list[SoundReport] = []
