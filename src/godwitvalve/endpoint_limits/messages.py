"""Datagrams in which entries ask one another for permits."""

from __future__ import annotations

import msgspec

from godwitvalve.decoding import bounds


class PermitRequest(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Asks for one request to an endpoint.

    :param number: returned in the answer.
    :param requests_per_s: limit that the asking entry knows.
    :param is_confirmation: whether the request is to confirm the limit.
    """

    number: bounds.Count
    endpoint_id: str
    started_wall_ms: bounds.UnixMilliseconds
    requests_per_s: bounds.Positive
    is_confirmation: bool


class PermitAnswer(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Answers a request for a permit.

    :param wait_ms: milliseconds after which to ask again; 0 grants it.
    """

    number: bounds.Count
    wait_ms: bounds.Milliseconds


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(PermitRequest | PermitAnswer)
