"""Reads the verdict rows of moves."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.moves import move
from godwitvalve.moves import verdict_rows
from godwitvalve.moves import verdicts
from godwitvalve.store import port


class VerdictRow(NamedTuple):
    """A durable verdict.

    :param move_id: ``service/version/digest``.
    :param verdict: ``moving``, ``done`` or ``taken_back``.
    """

    move_id: str
    verdict: str
    reason: str


def _row(row: port.Row) -> VerdictRow:
    try:
        found = verdict_rows.decode(row.value)
    except ValueError:
        return VerdictRow(row.key, 'unreadable', '')
    state = move.Verdict(found.verdict).name.lower()
    return VerdictRow(row.key, state, found.reason)


async def read(platform: port.TableService) -> list[VerdictRow]:
    """Return all verdicts.

    :raises PlatformUnavailable: if no answer came in time.
    """
    return [_row(row) for row in await platform.scan(verdicts.TABLE, '')]
