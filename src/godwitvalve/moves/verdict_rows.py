"""Rows of verdicts, as they are stored and merged."""

from __future__ import annotations

from typing import NamedTuple

import msgpack

from godwitvalve.moves import move


class VerdictRow(NamedTuple):
    """Verdict on a move, and the entry that reached it.

    The greatest verdict holds; among equal ones the earliest row does.
    """

    move_id: str
    verdict: int
    reason: str
    origin: str
    decided_wall_s: float

    def encode(self) -> bytes:
        """Return the row as it is stored."""
        return msgpack.packb(tuple(self))  # type: ignore[no-any-return]


def decode(raw: bytes) -> VerdictRow:
    """Return a stored row.

    :raises ValueError: if the bytes are not a verdict row.
    """
    try:
        move_id, verdict, reason, origin, decided = msgpack.unpackb(raw)
        return VerdictRow(
            str(move_id),
            move.Verdict(verdict),
            str(reason),
            str(origin),
            float(decided),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f'not a verdict row: {error}')


def stronger(one: VerdictRow, other: VerdictRow) -> VerdictRow:
    """Return the row that holds; associative, commutative, idempotent."""

    def rank(row: VerdictRow) -> tuple[int, float, str, str]:
        return (-row.verdict, row.decided_wall_s, row.origin, row.reason)

    return min(one, other, key=rank)
