"""Results of a caller's request at this entry instance."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.outcomes import codes


class IncompleteReason(enum.Enum):
    """Why this entry ended a request without a complete answer."""

    RETRY_BUDGET = 'retry budget'
    NOT_RETRYABLE = 'not retryable'
    NO_ENDPOINT = 'no endpoint'
    NO_CAPACITY = 'no capacity'
    NO_PERMIT = 'no permit'
    QUARANTINED = 'quarantined'
    DEADLINE = 'deadline'
    STOP_LIMIT = 'stop limit'
    MEMORY = 'memory'
    EXCEPTION = 'exception'
    CALLER_LEFT = 'caller left'


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The request did not run and will not run.

    :param retry_after_s: seconds until the caller may retry.
    :param is_scheduled: whether this is the caller's own time, which must
        not be spread any further.
    """

    code: codes.ResultCode
    retry_after_s: float
    is_scheduled: bool = False


@dataclasses.dataclass(frozen=True)
class Failure:
    """The request may have run.

    :param is_late: whether its deadline passed.
    :param reason: why this entry gave it up; None if that is not known.
    """

    code: codes.ResultCode
    is_late: bool = False
    reason: IncompleteReason | None = dataclasses.field(
        default=None, compare=False
    )


@dataclasses.dataclass(frozen=True)
class Streamed:
    """A stream whose events were forwarded.

    :param is_complete: whether its end was forwarded too.
    :param reason: why this entry ended an incomplete one.
    """

    is_complete: bool
    reason: IncompleteReason | None = dataclasses.field(
        default=None, compare=False
    )


Reply: TypeAlias = exchanges.Answered | Refusal | Failure | Streamed
