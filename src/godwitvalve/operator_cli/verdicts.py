"""Reads the verdict rows of moves."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgpack
import orjson

from godwitvalve.platform import port

TABLE = 'moves'


class VerdictRow(NamedTuple):
    """A durable verdict.

    :param move_id: ``service/version/digest``.
    :param verdict: ``moving``, ``done`` or ``taken_back``.
    """

    move_id: str
    verdict: str
    reason: str


def _decode(value: bytes) -> Any:
    try:
        return orjson.loads(value)
    except orjson.JSONDecodeError:
        pass
    try:
        return msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException):
        return None


def _row(row: port.Row) -> VerdictRow:
    raw = _decode(row.value)
    if not isinstance(raw, dict):
        return VerdictRow(row.key, 'unreadable', '')
    verdict = raw.get('verdict') or raw.get('state') or 'unreadable'
    return VerdictRow(row.key, str(verdict), str(raw.get('reason') or ''))


async def read(platform: port.TableService) -> list[VerdictRow]:
    """Return all verdicts.

    :raises PlatformUnavailable: if no answer came in time.
    """
    return [_row(row) for row in await platform.scan(TABLE, '')]
