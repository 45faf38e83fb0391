"""Decodes the platform's answers."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import orjson
import pydantic

from godwitvalve.store import port

_Decoded = TypeVar('_Decoded')

_LISTED = pydantic.TypeAdapter(list[port.ListedInstance])


class Answer(NamedTuple):
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


def row(body: bytes) -> port.Row:
    """Decode a row; its value is in base64."""
    raw = orjson.loads(body)
    value = base64.b64decode(raw['value'], validate=True)
    return port.Row(str(raw['key']), int(raw['version']), value)


def rows(body: bytes) -> list[port.Row]:
    """Decode a list of rows."""
    return [row(orjson.dumps(raw)) for raw in orjson.loads(body)]


def _version(body: bytes) -> int:
    return int(orjson.loads(body)['version'])


def _conflict(body: bytes) -> port.Conflict:
    raw = orjson.loads(body)
    current = raw['current']
    if current is None:
        return port.Conflict(None)
    return port.Conflict(row(orjson.dumps(current)))


def _is_not_applied(answer: Answer) -> bool:
    """Tell whether the platform states that a write was not applied."""
    try:
        raw = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return False
    return isinstance(raw, dict) and raw.get('applied') is False


def instances(body: bytes) -> list[port.ListedInstance]:
    """Decode the instance list."""
    return _LISTED.validate_json(body)


def decode_body(
    decode: Callable[[bytes], _Decoded], answer: Answer
) -> _Decoded:
    """Decode the body of an answer.

    :raises PlatformUnavailable: if the body is malformed.
    """
    try:
        return decode(answer.body)
    except (ValueError, KeyError, TypeError) as error:
        raise port.PlatformUnavailable('damaged answer') from error


def write_outcome(answer: Answer) -> port.WriteOutcome:
    """Return the outcome of a write from its answer.

    Only a conflict or an explicit "not applied" shows that nothing was
    written: any other error may come from an intermediary after the platform
    applied the write.
    """
    try:
        if answer.status == 200:
            return port.Written(_version(answer.body))
        if answer.status == 409:
            return _conflict(answer.body)
    except (ValueError, KeyError, TypeError):
        return port.WriteUnknown(f'damaged answer, status {answer.status}')
    if _is_not_applied(answer):
        return port.WriteRefused(f'status {answer.status}, not applied')
    return port.WriteUnknown(f'status {answer.status}')
