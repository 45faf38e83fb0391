"""Order, move digests and deadlines of versions."""

from __future__ import annotations

import datetime
import hashlib
import re

import orjson

from godwitvalve.text import model

DIGEST_BYTES = 16
_RFC_3339 = re.compile(
    r'[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}(\.[0-9]{1,6})?'
    r'(Z|[+-][0-9]{2}:[0-9]{2})'
)


def parse_done_by(done_by: str) -> float:
    """Return a time in RFC 3339 as Unix seconds.

    :raises ValueError: if it is malformed or has no offset from UTC.
    """
    if not _RFC_3339.fullmatch(done_by):
        raise ValueError('expected a form like 2026-12-04T06:00:00Z')
    moment = datetime.datetime.fromisoformat(done_by)
    try:
        return moment.timestamp()
    except OverflowError as error:
        raise ValueError('out of range') from error


def done_by_wall_s(version: model.VersionText) -> float | None:
    """Return the deadline of a validated version in Unix seconds."""
    if version.done_by is None:
        return None
    return parse_done_by(version.done_by)


def digest(version: model.VersionText) -> str:
    """Return the digest that identifies the move to a version.

    It covers the weights, the adapter and the deadline. Endpoints,
    ``discover``, ``checks_fencing`` and ``retire`` are omitted: adding a
    replica to a serving version must not restart its move.
    """
    identity = [version.weights, version.adapter, version.done_by]
    return hashlib.blake2b(
        orjson.dumps(identity), digest_size=DIGEST_BYTES
    ).hexdigest()


def ordered(service: model.ServiceText) -> list[str]:
    """Return version names by ``done_by``, those without one first."""

    def rank(name: str) -> tuple[float, str]:
        deadline_s = done_by_wall_s(service.versions[name])
        return (float('-inf') if deadline_s is None else deadline_s, name)

    return sorted(service.versions, key=rank)
