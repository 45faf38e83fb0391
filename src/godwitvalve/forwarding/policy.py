"""Decides on retries; performs no input or output."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, TypeAlias

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import replies
from godwitvalve.outcomes import codes

# A declined attempt costs 2 ms. If several endpoints decline a request, the
# service is full.
MAX_ATTEMPTS = 6
# Pause before a request that every endpoint declined is tried again. That of
# a call is about the work of one call at six slots; a stream waits for
# another stream to end or for memory.
FULL_CALL_PAUSE_S = 0.03
FULL_STREAM_PAUSE_S = 0.2
# A stream with less time left can't get its first event: processing the
# prompt takes about a second.
MIN_TIME_TO_FIRST_EVENT_S = 1.0
# A slot of a full plain service becomes free within one call, about 45 ms.
BUSY_RETRY_AFTER_S = 0.15
# Spreads the retries of streams refused in the tenths of a second after a
# crash.
FULL_RETRY_AFTER_S = 0.5
# Endpoints return about 1 s after a crash.
NO_ENDPOINT_RETRY_AFTER_S = 0.5
# Reason of a retry after an endpoint stated that it did not run the request.
DECLINED = 'declined'
# With less time left, no endpoint can answer a call.
MIN_ATTEMPT_S = 0.01


@dataclasses.dataclass(frozen=True)
class Retry:
    """The request is sent to another endpoint.

    :param reason: label of the retry counter.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class End:
    """The request ends with a reply."""

    reply: replies.Reply


Step: TypeAlias = Retry | End


class Progress(NamedTuple):
    """State of a request after its last attempt.

    :param attempts: number of ended attempts.
    :param possible_runs: number of those that may have run.
    :param max_runs: number of endpoints that may run the request.
    :param has_time: whether another attempt can end in time.
    :param has_budget: whether the retry budget allows one.
    :param fallback: an endpoint's 5xx answer to return if no attempt succeeds.
    """

    is_repeatable: bool
    attempts: int
    possible_runs: int
    max_runs: int
    has_time: bool
    has_budget: bool
    fallback: exchanges.Answered | None = None


def give_up(
    progress: Progress, code: codes.ResultCode, retry_after_s: float
) -> End:
    """Return the end of a request that is not retried.

    Refuses it as not run only if no attempt may have run.
    """
    if progress.fallback is not None:
        return End(progress.fallback)
    if progress.possible_runs:
        return End(replies.Failure(codes.ResultCode.OUTCOME_UNKNOWN))
    return End(replies.Refusal(code, retry_after_s))


def _may_retry(progress: Progress) -> bool:
    return (
        progress.has_time
        and progress.has_budget
        and progress.attempts < MAX_ATTEMPTS
        and progress.possible_runs < progress.max_runs
    )


def _may_repeat(progress: Progress) -> bool:
    return progress.is_repeatable and _may_retry(progress)


def after_attempt(outcome: exchanges.PlainOutcome, progress: Progress) -> Step:
    """Decide what follows an attempt of a plain call.

    Endpoints answer 500 to every seventh lookup, lose answers of calls
    that ran, and decline calls while they are full. A call that may not be
    repeated is retried only after proof that it did not run.

    :param progress: state that includes this attempt.
    """
    match outcome:
        case exchanges.NotSent():
            if _may_retry(progress):
                return Retry('connect failed')
            return give_up(
                progress,
                codes.ResultCode.CONNECT_FAILED,
                NO_ENDPOINT_RETRY_AFTER_S,
            )
        case exchanges.Declined():
            if _may_retry(progress):
                return Retry(DECLINED)
            return give_up(
                progress, codes.ResultCode.OVERLOADED, BUSY_RETRY_AFTER_S
            )
        case exchanges.Lost():
            if _may_repeat(progress):
                return Retry('answer lost')
            return give_up(
                progress, codes.ResultCode.OUTCOME_UNKNOWN, BUSY_RETRY_AFTER_S
            )
        case exchanges.Answered(head):
            if head.status >= 500 and _may_repeat(progress):
                return Retry('server error')
            return End(outcome)
