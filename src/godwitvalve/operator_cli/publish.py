"""Publishes a text with a compare-and-set of the head row."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TypeAlias

from godwitvalve import clock as clocks
from godwitvalve.operator_cli import stored
from godwitvalve.store import port
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import schedule

# Time to resolve a write whose answer was lost; then it is unknown.
RESOLVE_LIMIT_S = 10.0
RESOLVE_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The text was accepted."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The text was not applied because a move in it cannot be completed."""

    reasons: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Outdated:
    """The text was not applied because the base is not the accepted one.

    :param current: accepted head, None if there is none.
    """

    current: text_head.Head | None


@dataclasses.dataclass(frozen=True)
class StoreUnavailable:
    """The text was not applied because the store did not answer."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Whether the text was applied could not be determined."""

    revision: int
    reason: str


PublishOutcome: TypeAlias = (
    Accepted | Rejected | Outdated | StoreUnavailable | Unknown
)


def _classify(
    wanted: text_head.Head, current: text_head.Head | None
) -> PublishOutcome | None:
    """Derive the outcome of a write from the accepted head.

    :returns: None if the write has not taken effect and still may.
    """
    nonce = wanted.nonces[0]
    if current is None or current.revision < wanted.revision:
        return None
    if nonce in current.nonces:
        return Accepted(wanted.revision)
    if current.revision - wanted.revision < text_head.MAX_NONCES:
        return Outdated(current)
    return Unknown(wanted.revision, 'too many texts were accepted since')


async def _write(
    platform: stored.Platform, wanted: text_head.Head
) -> port.WriteOutcome:
    return await platform.compare_and_set(
        text_head.TABLE,
        text_head.KEY,
        wanted.revision - 1,
        text_head.encode(wanted),
    )


async def _read_back(
    platform: stored.Platform, wanted: text_head.Head
) -> PublishOutcome | None:
    try:
        return _classify(wanted, await stored.read_head(platform))
    except (port.PlatformUnavailable, stored.DamagedText):
        return None


async def _resolve(
    platform: stored.Platform, wanted: text_head.Head, reason: str
) -> PublishOutcome:
    """Determine the outcome of a write whose answer was lost.

    While the row still has the base's version, the first write may be
    delayed and take effect later. Writing the same value again is safe: at
    most one of the two succeeds, and both store the same value.
    """
    try:
        async with asyncio.timeout(RESOLVE_LIMIT_S):
            while True:
                outcome = await _read_back(platform, wanted)
                if outcome is not None:
                    return outcome
                await asyncio.sleep(RESOLVE_INTERVAL_S)
                retried = await _write(platform, wanted)
                if isinstance(retried, port.Written):
                    return Accepted(retried.version)
    except asyncio.TimeoutError:
        return Unknown(wanted.revision, reason)


async def publish(
    platform: stored.Platform,
    text: model.Text,
    base_revision: int,
    nonce: str,
    clock: clocks.Clock,
) -> PublishOutcome:
    """Store a checked text and make it the accepted one.

    :param base_revision: revision that the text was written against, 0 for
        the first text.
    :param nonce: random string that identifies this write.
    :raises DamagedText: if the accepted head is malformed.
    """
    split = parts.split(text)
    try:
        base = await stored.read_head(platform)
        if (base.revision if base else 0) != base_revision:
            return Outdated(base)
        now_wall_s = clock.wall_s()
        wanted = text_head.next_head(base, text, split, nonce, now_wall_s)
        late_moves = schedule.find_late_moves(text, wanted, now_wall_s)
        if late_moves:
            return Rejected(tuple(map(str, late_moves)))
        await stored.write_parts(platform, split, base)
    except port.PlatformUnavailable as error:
        return StoreUnavailable(str(error))
    match await _write(platform, wanted):
        case port.Written(version):
            return Accepted(version)
        case port.WriteRefused(reason):
            return StoreUnavailable(reason)
        case port.WriteUnknown(reason):
            return await _resolve(platform, wanted, reason)
        case port.Conflict():
            outcome = await _read_back(platform, wanted)
            return outcome or Outdated(None)
