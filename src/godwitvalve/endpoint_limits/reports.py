"""What entries tell one another about the limits of endpoints."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.decoding import bounds


class LimitReport(NamedTuple):
    """The limit that an endpoint stated in an answer to the reporting entry.

    :param started_wall_ms: start of the incarnation that answered.
    :param requests_per_s: None if the answer stated no limit any more.
    :param age_ms: milliseconds since the answer.
    """

    endpoint_id: str
    started_wall_ms: bounds.UnixMilliseconds
    requests_per_s: bounds.Positive | None
    age_ms: bounds.Milliseconds
