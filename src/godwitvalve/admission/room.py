"""Free capacity of the endpoints of a service for one more stream.

Load pattern: four times the usual number of prompts of 8,200 tokens arrive
for seconds. An endpoint reads one in a second, holds nine in its memory, and
all of its streams are late together if it gets more than that. Performs no
input or output.
"""

from __future__ import annotations

from collections import abc
from typing import NamedTuple


class Capacity(NamedTuple):
    """What one endpoint holds at the same time.

    :param slots: streams.
    :param tokens: tokens of prompts and outputs.
    """

    slots: int
    tokens: int


class Use(NamedTuple):
    """Streams at an endpoint, as far as this entry knows.

    :param held_tokens: tokens that its streams will hold at their end.
    :param unread_tokens: tokens of prompts that have no event yet.
    """

    streams: int = 0
    held_tokens: int = 0
    unread_tokens: int = 0


class Demand(NamedTuple):
    """What one more stream needs.

    :param prompt_tokens: tokens to read before its first event.
    :param held_tokens: tokens that it will hold at its end.
    """

    prompt_tokens: int
    held_tokens: int


class Speed(NamedTuple):
    """Speed of an endpoint without other load at the usual pace.

    :param prompt_token_ms: milliseconds to read a token of a prompt.
    :param output_s: seconds from the first event of the stream to its end.
    """

    prompt_token_ms: float
    output_s: float


class EndpointRoom(NamedTuple):
    """Room for a certain stream at an endpoint.

    :param has_space: whether slots and tokens are free.
    :param first_event_s: seconds to its first event if it is sent now.
    :param read_s: part of that time in which its own prompt is read.
    :param is_reading_none: whether it has no unread prompt.
    :param rate_per_s: streams of this size that the endpoint completes a
        second.
    """

    endpoint_id: str
    has_space: bool
    first_event_s: float
    read_s: float
    is_reading_none: bool
    rate_per_s: float


def endpoint_room(
    endpoint_id: str,
    capacity: Capacity,
    use: Use,
    demand: Demand,
    speed: Speed,
    work_factor: float = 1.0,
) -> EndpointRoom:
    """Return the room at an endpoint.

    An idle endpoint has space for any stream, also for one that is larger
    than its stated capacity.

    :param work_factor: how long work takes there, 1.0 as usual.
    """
    token_s = speed.prompt_token_ms / 1000 * work_factor
    read_s = demand.prompt_tokens * token_s
    stream_s = max(read_s + speed.output_s * work_factor, 0.001)
    by_tokens = capacity.tokens / max(demand.held_tokens, 1)
    places = max(min(capacity.slots, by_tokens), 1.0)
    return EndpointRoom(
        endpoint_id,
        not use.streams
        or (
            use.streams < capacity.slots
            and use.held_tokens + demand.held_tokens <= capacity.tokens
        ),
        use.unread_tokens * token_s + read_s,
        read_s,
        not use.unread_tokens,
        min(1.0 / max(read_s, 0.001), places / stream_s),
    )


def service_rate(rooms: abc.Iterable[EndpointRoom]) -> float:
    """Return the streams a second that endpoints complete together."""
    return max(sum(each.rate_per_s for each in rooms), 0.001)
