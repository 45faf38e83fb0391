"""Reads the stored verdicts on moves."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.moves import move
from godwitvalve.moves import verdict_rows
from godwitvalve.moves import verdicts
from godwitvalve.store import port


class VerdictRow(NamedTuple):
    """Stored verdict on a move.

    :param move_id: ``service/version/digest``.
    :param verdict: ``moving``, ``done`` or ``taken_back``.
    """

    move_id: str
    verdict: str
    reason: str


def _row(row: port.Row) -> VerdictRow:
    try:
        row_verdict = verdict_rows.decode(row.value)
    except ValueError:
        return VerdictRow(row.key, 'unreadable', '')
    state = move.Verdict(row_verdict.verdict).name.lower()
    return VerdictRow(row.key, state, row_verdict.reason)


async def read(platform: port.TableService) -> list[VerdictRow]:
    """Return all verdicts.

    :raises PlatformUnavailable: if no answer arrives in time.
    """
    return [_row(row) for row in await platform.scan(verdicts.TABLE, '')]
