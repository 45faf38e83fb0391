"""Results of a caller's request at this entry instance."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.outcomes import codes


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The request did not run and will not run.

    :param retry_after_s: seconds until the caller may retry.
    """

    code: codes.ResultCode
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Failure:
    """The request may have run.

    :param is_late: whether its deadline passed.
    """

    code: codes.ResultCode
    is_late: bool = False


@dataclasses.dataclass(frozen=True)
class Streamed:
    """A stream whose events were forwarded.

    :param is_complete: whether its end was forwarded too.
    """

    is_complete: bool


Reply: TypeAlias = exchanges.Answered | Refusal | Failure | Streamed
