"""Question where a request would go, and its answer, as sent in JSON."""

from __future__ import annotations

from typing import Annotated

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.platform import headers as wire

PATH = '/route-explanation'
# A question with the most segments of the longest ids is shorter.
MAX_QUESTION_BYTES = 16 * 1024
MAX_PATH_CHARS = 4096

Tokens = Annotated[int, msgspec.Meta(ge=0, le=bounds.MAX_TOKENS)]


class Segment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A segment of a prompt."""

    segment_id: bounds.Identifier
    tokens: bounds.Tokens


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request that is not sent.

    :param account: name of the client account; empty if the caller has none.
    """

    host: bounds.Name
    path: Annotated[str, msgspec.Meta(max_length=MAX_PATH_CHARS)]
    account: bounds.Name = ''
    prompt_tokens: Tokens = 0
    output_tokens: Tokens = 0
    segments: Annotated[
        tuple[Segment, ...], msgspec.Meta(max_length=wire.MAX_SEGMENTS)
    ] = ()


class Cost(msgspec.Struct, frozen=True):
    """Cost of the request at an endpoint, the sum of its parts.

    In streams at model services, in shares of its slots for calls.

    :param work: added because work takes longer there, less if shorter.
    :param limit: added at an endpoint with a request limit.
    :param saving: taken off for the cached part of the prompt.
    """

    total: float
    load: float
    work: float
    domain: float
    limit: float
    saving: float


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that the request may go to.

    :param rank: a lower rank comes first, whatever the cost.
    :param work_factor: how long work takes there, 1.0 as usual.
    :param is_choice: whether it has room and the least cost; among several
        the entry draws.
    :param obstacle: why it takes no new stream now; empty if it does.
    :param first_event_s: expected seconds to the first event; None where
        room is not measured.
    """

    endpoint_id: str
    address: str
    failure_domain: str
    version: str
    rank: int
    cost: Cost
    work_factor: float
    is_choice: bool
    obstacle: str = ''
    first_event_s: float | None = None


class Excluded(msgspec.Struct, frozen=True):
    """An endpoint of the service that the request does not go to."""

    endpoint_id: str
    address: str
    failure_domain: str
    reason: str


class Outcome(msgspec.Struct, frozen=True):
    """What would happen to the request now.

    :param action: ``send``, ``wait``, ``queue`` (a call) or ``refuse``.
    :param expected_s: expected wait in seconds.
    :param code: result code of a refusal.
    :param retry_after_s: what a refused caller is told, in seconds.
    """

    action: str
    expected_s: float = 0.0
    code: str = ''
    reason: str = ''
    retry_after_s: float = 0.0


class ServiceExplanation(msgspec.Struct, frozen=True):
    """Explanation for one of the services of a route.

    :param weight: part of the requests of the route that it gets.
    :param candidates: the best comes first.
    """

    service: str
    weight: float
    outcome: Outcome
    candidates: tuple[Candidate, ...]
    excluded: tuple[Excluded, ...]


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go.

    :param kind: kind of the route's requests.
    :param objective_s: objective of the answer or of the first event.
    """

    route: str
    kind: str
    account: str
    objective_s: float
    configuration_version: int
    services: tuple[ServiceExplanation, ...]


class Problem(msgspec.Struct, frozen=True):
    """Why a question has no answer.

    :param problem: ``invalid``, ``host``, ``route``, ``account`` or
        ``not ready``.
    """

    problem: str
    message: str
