"""What follows the end of a send; no input and no output."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, TypeAlias

from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import replies
from godwitvalve.outcomes import codes

# Sends that an endpoint did not run cost 2 ms each; a request that a few
# endpoints decline meets a service that is full.
MAX_ATTEMPTS = 6
# Pause of a call that every endpoint declined, about one call's work at
# six slots; a stream waits for another to end or for memory.
FULL_CALL_PAUSE_S = 0.03
FULL_STREAM_PAUSE_S = 0.2
# Least time in which a stream that waits here can still give its first
# event: a prompt is read in about a second.
MIN_TIME_TO_FIRST_EVENT_S = 1.0
# Slots of a full plain service become free within a call, about 45 ms.
BUSY_RETRY_AFTER_S = 0.15
# Streams of the tenths of a second after a crash come back spread.
FULL_RETRY_AFTER_S = 0.5
# A service without endpoints gets one back after a crash of about 1 s.
NO_ENDPOINT_RETRY_AFTER_S = 0.5
# Below this, no endpoint can answer a call.
MIN_ATTEMPT_S = 0.01


@dataclasses.dataclass(frozen=True)
class Retry:
    """The request goes to another endpoint.

    :param reason: label of the retry counter.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class End:
    """The request ends."""

    reply: replies.Reply


Step: TypeAlias = Retry | End


class Progress(NamedTuple):
    """What happened to a request so far.

    :param attempts: attempts that have ended.
    :param possible_runs: those of them that may have run.
    :param max_runs: endpoints that may run the request.
    :param has_time: whether another send can be in time.
    :param has_budget: whether the retry budget allows one.
    :param fallback: an endpoint's failure answer that may be passed on.
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
    """Return the end of a request that is not sent again.

    Says "not run" only if no send may have run.
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
    """Decide what follows a send of a plain call.

    Load pattern: endpoints answer 500 to every seventh lookup, lose
    answers of calls that ran, and decline calls while they are full. A
    call that may not be repeated goes on only after a proof that it did
    not run.

    :param progress: counts that include this send.
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
                return Retry('declined')
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
