"""Converts outcomes to msgpack values for claim rows and peer messages."""

from __future__ import annotations

from typing import Any

from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model

_COMPLETED = 1
_NOT_RUN = 2
_UNKNOWN = 3


def to_plain(outcome: outcome_model.Outcome) -> list[Any]:
    """Return an outcome as values that msgpack can encode."""
    match outcome:
        case outcome_model.Completed(status, headers, body):
            return [_COMPLETED, status, [list(h) for h in headers], body]
        case outcome_model.NotRun(code, detail, retry_at_wall_s):
            return [_NOT_RUN, code.value, detail, retry_at_wall_s]
        case outcome_model.Unknown(code, detail):
            return [_UNKNOWN, code.value, detail]


def from_plain(plain: Any) -> outcome_model.Outcome:
    """Return the outcome that ``to_plain`` has converted.

    :raises ValueError: if the values are not an outcome.
    """
    try:
        match plain:
            case [1, int(status), headers, bytes(body)]:
                parsed_headers = tuple((str(k), str(v)) for k, v in headers)
                return outcome_model.Completed(status, parsed_headers, body)
            case [2, int(code), str(detail), retry]:
                retry_at_wall_s = None if retry is None else float(retry)
                return outcome_model.NotRun(
                    codes.ResultCode(code), detail, retry_at_wall_s
                )
            case [3, int(code), str(detail)]:
                return outcome_model.Unknown(codes.ResultCode(code), detail)
    except (TypeError, KeyError) as error:
        raise ValueError(
            'outcome has a field with an invalid value'
        ) from error
    raise ValueError('outcome has unexpected fields')
