"""Times that prompts of different sizes take until their first event.

A prompt costs a fixed time and a time for each of its tokens; both are
unknown. The time of one size therefore bounds that of another one: a longer
prompt takes at least as long, and at most in proportion to its tokens. Short
prompts consist of fixed time, so that their time for each token tells nothing
about long ones.
"""

from __future__ import annotations

from collections import abc
from typing import Annotated, NamedTuple, TypeAlias

import msgspec

from godwitvalve.decoding import bounds


class PromptTime(NamedTuple):
    """Time that prompts of about one size take.

    :param tokens: size of the prompt.
    :param first_event_ms: time from the request to the first event.
    """

    tokens: bounds.Positive
    first_event_ms: bounds.Amount


# One for each size class, which doubles in size.
PromptTimes: TypeAlias = Annotated[
    tuple[PromptTime, ...], msgspec.Meta(max_length=40)
]


def size_class(tokens: float) -> int:
    """Return the class of a size; each is twice as large as the one before."""
    return int(tokens).bit_length()


def least_ms(known: abc.Iterable[PromptTime], tokens: float) -> float:
    """Return the time that a prompt takes at least; 0 if nothing is known."""
    return max(
        (
            each.first_event_ms * min(tokens / each.tokens, 1.0)
            for each in known
        ),
        default=0.0,
    )


def most_ms(known: abc.Iterable[PromptTime], tokens: float) -> float:
    """Return the time that a prompt takes at most; 0 if nothing is known."""
    return min(
        (
            each.first_event_ms * max(tokens / each.tokens, 1.0)
            for each in known
        ),
        default=0.0,
    )


def token_ms(known: abc.Collection[PromptTime], tokens: float) -> float:
    """Return the time for each token of prompts of a size.

    For prompts that are longer than all known ones it is the least that they
    may take; otherwise it is the least of all sizes, as it includes fixed time
    in all of them.
    """
    rates_ms = [each.first_event_ms / each.tokens for each in known]
    if tokens:
        rates_ms.append(least_ms(known, tokens) / tokens)
    return min(rates_ms, default=0.0)


def with_fast(
    known: abc.Iterable[PromptTime], observed: PromptTime, slower_share: float
) -> tuple[PromptTime, ...]:
    """Return the times of lightly loaded endpoints after an observation.

    A faster one lowers all times that it contradicts at once.

    :param slower_share: smoothing factor for slower observations.
    """
    lowered = {
        size_class(each.tokens): each._replace(
            first_event_ms=min(
                each.first_event_ms, most_ms((observed,), each.tokens)
            )
        )
        for each in known
    }
    return _with_size(lowered, observed, slower_share)


def with_slow(
    known: abc.Iterable[PromptTime], observed: PromptTime, faster_share: float
) -> tuple[PromptTime, ...]:
    """Return the times of busy endpoints after an observation.

    A slower one raises all times that it contradicts at once.

    :param faster_share: smoothing factor for faster observations.
    """
    raised = {
        size_class(each.tokens): each._replace(
            first_event_ms=max(
                each.first_event_ms, least_ms((observed,), each.tokens)
            )
        )
        for each in known
    }
    return _with_size(raised, observed, faster_share)


def _with_size(
    known: dict[int, PromptTime], observed: PromptTime, share: float
) -> tuple[PromptTime, ...]:
    """Move the time of an observation's size towards it."""
    size = size_class(observed.tokens)
    before = known.get(size, observed)
    known[size] = PromptTime(
        before.tokens + share * (observed.tokens - before.tokens),
        before.first_event_ms
        + share * (observed.first_event_ms - before.first_event_ms),
    )
    return tuple(known[each] for each in sorted(known))
