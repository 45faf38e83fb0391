"""Builds problem details (RFC 9457) for refusals and failures."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome

CONTENT_TYPE = 'application/problem+json'


class ProblemDetails(TypedDict):
    """Body of an answer that reports a refusal or a failure."""

    type: str
    title: str
    status: int
    code: int
    not_run: bool
    detail: str
    action: str
    retry_at_wall_s: NotRequired[float]
    addresses: NotRequired[list[str]]


def describe(
    code: codes.ResultCode,
    detail: str = '',
    retry_at_wall_s: float | None = None,
) -> ProblemDetails:
    """Build problem details from the code table.

    :param code: result code.
    :param detail: one sentence about this occurrence.
    :param retry_at_wall_s: Unix seconds from which a retry may succeed.
    :returns: problem details ready for serialization.
    """
    info = codes.CODE_TABLE[code]
    details = ProblemDetails(
        type=f'urn:godwitvalve:result:{code.value}',
        title=info.title,
        status=info.http_status,
        code=code.value,
        not_run=info.not_run,
        detail=detail or info.meaning,
        action=info.action,
    )
    if retry_at_wall_s is not None:
        details['retry_at_wall_s'] = retry_at_wall_s
    return details


def describe_failure(
    failure: outcome.NotRun | outcome.Unknown,
) -> ProblemDetails:
    """Build problem details for a failed outcome."""
    match failure:
        case outcome.NotRun(code, detail, retry_at_wall_s):
            return describe(code, detail, retry_at_wall_s)
        case outcome.Unknown(code, detail):
            return describe(code, detail)
