"""How a caller's request ends at this entry instance."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.outcomes import codes


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The request did not run and never will.

    :param retry_after_s: seconds until the caller may come back.
    """

    code: codes.ResultCode
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Failure:
    """The request may have run.

    :param is_late: whether its time ran out.
    """

    code: codes.ResultCode
    is_late: bool = False


@dataclasses.dataclass(frozen=True)
class Streamed:
    """An answer whose events were passed on.

    :param is_complete: whether its end was passed on too.
    """

    is_complete: bool


Reply: TypeAlias = exchanges.Answered | Refusal | Failure | Streamed
