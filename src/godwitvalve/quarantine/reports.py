"""What entries tell one another about crashes and prompts."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.decoding import bounds


class CrashReport(NamedTuple):
    """An endpoint that crashed as it began the answer to a prompt.

    :param endpoint_id: incarnation that crashed.
    :param segments: shared segments of the prompt.
    :param age_ms: milliseconds since the crash.
    :param run_ms: milliseconds from sending the prompt to the crash.
    """

    service: str
    endpoint_id: str
    segments: tuple[str, ...]
    age_ms: bounds.Milliseconds
    run_ms: bounds.Milliseconds


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
