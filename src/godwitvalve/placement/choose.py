"""Choice of the endpoint of a call or stream and of a stream's backup."""

from __future__ import annotations

import collections
from collections import abc
import random
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.placement import book as books

# Endpoints of a failure domain that are lost at the same time; single
# crashes are rare beside those of a zone.
SUSPECT_LOST = 2
# A call to another zone costs 2 ms, a busy slot about 45 ms.
FAR_CALL_COST = 0.3
# A prompt is read for about a second and slows every stream beside it.
STARTING_COST = 2.0
# A kept copy takes memory but no step time.
BACKUP_COST = 0.3
FAR_STREAM_COST = 0.1
# An endpoint that has read the prompt saves a second of its time; one with
# more streams than this beside it would delay all of them.
SESSION_SAVING = 3.0


class Placements(NamedTuple):
    """Streams at an endpoint that other entries told of."""

    streams: int = 0
    starting: int = 0
    backups: int = 0


Elsewhere = abc.Mapping[str, Placements]


def _preferred(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    book: books.EndpointBook,
    tried: abc.Set[str],
    now_s: float,
) -> list[endpoints.FleetEndpoint]:
    """Return untried candidates, the soundest kind that there is.

    Load pattern: a whole zone of 18 endpoints crashes. A stream that asks
    one after the other is late; two lost ones put the rest of their
    failure domain behind the others. The last candidates are never all
    left out.
    """
    untried = [each for each in candidates if each.endpoint_id not in tried]
    sound = [
        each
        for each in untried
        if book.notes(each.endpoint_id).out_until_s <= now_s
    ]
    suspected = _suspected_domains(candidates, book, now_s)
    apart = [each for each in sound if each.failure_domain not in suspected]
    return apart or sound or untried


def _suspected_domains(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    book: books.EndpointBook,
    now_s: float,
) -> set[str]:
    lost = collections.Counter(
        each.failure_domain
        for each in candidates
        if book.notes(each.endpoint_id).lost_until_s > now_s
    )
    return {domain for domain, count in lost.items() if count >= SUSPECT_LOST}


def call_cost(
    endpoint: endpoints.FleetEndpoint,
    notes: books.EndpointNotes,
    own_domain: str,
    now_s: float,
) -> float:
    """Return the cost of one more call, about busy shares of its slots."""
    busy = float(notes.calls)
    if notes.load is not None and now_s < notes.load_until_s:
        busy = max(busy, notes.load.running + notes.load.waiting)
    far = FAR_CALL_COST if endpoint.failure_domain != own_domain else 0.0
    return (busy + far) / endpoint.slots


def choose_call(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    book: books.EndpointBook,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a plain call.

    Load pattern: several entries see the same few endpoints with 6 slots.
    Own calls under way and the last reported load decide; ties are random,
    so that entries do not all pick the same one.
    """
    usable = _preferred(candidates, book, tried, now_s)
    return min(
        usable,
        key=lambda each: (
            call_cost(each, book.notes(each.endpoint_id), own_domain, now_s),
            rng.random(),
        ),
        default=None,
    )


def stream_cost(
    endpoint: endpoints.FleetEndpoint,
    notes: books.EndpointNotes,
    elsewhere: Placements,
    own_domain: str,
) -> float:
    """Return the cost of one more stream at an endpoint."""
    far = FAR_STREAM_COST if endpoint.failure_domain != own_domain else 0.0
    return (
        notes.streams
        + elsewhere.streams
        + STARTING_COST * (notes.starting + elsewhere.starting)
        + BACKUP_COST * (notes.backups + elsewhere.backups)
        + far
    )


def choose_stream(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    book: books.EndpointBook,
    elsewhere: Elsewhere,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
    session_endpoint: str | None = None,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a stream.

    Load pattern: prompts of 8,000 tokens, each read for a second, from
    entries that each start one every two seconds. Two on one endpoint make
    both late, so the streams of other entries count like own ones.

    :param session_endpoint: endpoint that read the prompt before.
    """
    usable = _preferred(candidates, book, tried, now_s)
    return min(
        usable,
        key=lambda each: (
            stream_cost(
                each,
                book.notes(each.endpoint_id),
                elsewhere.get(each.endpoint_id, Placements()),
                own_domain,
            )
            - SESSION_SAVING * (each.endpoint_id == session_endpoint),
            rng.random(),
        ),
        default=None,
    )


def choose_backup(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    running: endpoints.FleetEndpoint,
    book: books.EndpointBook,
    elsewhere: Elsewhere,
    now_s: float,
    rng: random.Random,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint that keeps a copy of a stream's memory.

    Load pattern: all endpoints of a zone crash or fall silent at once. The
    copy is kept in another failure domain if there is one.
    """
    usable = _preferred(candidates, book, {running.endpoint_id}, now_s)
    apart = [
        each
        for each in usable
        if each.failure_domain != running.failure_domain
    ]
    return min(
        apart or usable,
        key=lambda each: (
            stream_cost(
                each,
                book.notes(each.endpoint_id),
                elsewhere.get(each.endpoint_id, Placements()),
                each.failure_domain,
            ),
            rng.random(),
        ),
        default=None,
    )
