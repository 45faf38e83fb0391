"""Resume ids, sealed with a message authentication code."""

from __future__ import annotations

import base64
import binascii
from collections import abc
import hashlib
import hmac
from typing import Any, NamedTuple, TypeAlias

import msgpack

from godwitvalve.generations import digest
from godwitvalve.outcomes import codes

MAX_RESUME_ID_CHARACTERS = 2048
MAX_FIELD_CHARACTERS = 256
MAC_BYTES = 16
# First byte of a sealed id: the number of its layout.
_LAYOUT = b'\x01'
_MAX_POSITION = 2**32 - 1
_POSITION_FIELD = 7
# msgpack: uint32 marker; bin8 marker with length 16; fixarray of two.
_UINT32 = b'\xce'
_BIN16 = b'\xc4\x10'
_PAIR = b'\x92'


class ResumeState(NamedTuple):
    """State that another entry needs to continue an answer."""

    request_id: str
    client_account: str
    request_digest: bytes
    service: str
    version: str
    adapter: str
    seed: int
    position: int
    prefix_digest: bytes
    resume_epoch: int
    endpoint_id: str
    stream_id: str
    expires_wall_s: float


_FIXED_FIELDS: TypeAlias = tuple[
    str, str, bytes, str, str, str, int, int, str, str, float
]


def _new_mac(key: bytes) -> Any:
    return hashlib.blake2b(key=key[:64], digest_size=MAC_BYTES)


def _fixed_fields(state: ResumeState) -> _FIXED_FIELDS:
    return (
        state.request_id,
        state.client_account,
        state.request_digest,
        state.service,
        state.version,
        state.adapter,
        state.seed,
        state.resume_epoch,
        state.endpoint_id,
        state.stream_id,
        state.expires_wall_s,
    )


class Sealer:
    """Seals the resume ids of one attempt.

    Everything except position and digest is packed and hashed once, so that
    each event costs only one short hash.
    """

    def __init__(self, state: ResumeState, key: bytes) -> None:
        self._head = (
            _LAYOUT + _PAIR + msgpack.packb(_fixed_fields(state)) + _PAIR
        )
        self._mac = _new_mac(key)
        self._mac.update(self._head)

    def seal(self, position: int, prefix_digest: bytes) -> str:
        """Return the resume id for a position."""
        tail = _UINT32 + position.to_bytes(4, 'big') + _BIN16 + prefix_digest
        mac = self._mac.copy()
        mac.update(tail)
        sealed = self._head + tail + mac.digest()
        return base64.urlsafe_b64encode(sealed).rstrip(b'=').decode('ascii')


def seal(state: ResumeState, key: bytes) -> str:
    """Return the resume id of a state."""
    return Sealer(state, key).seal(state.position, state.prefix_digest)


def _is_valid(state: ResumeState) -> bool:
    texts = (
        state.request_id,
        state.client_account,
        state.service,
        state.version,
        state.adapter,
        state.endpoint_id,
        state.stream_id,
    )
    numbers = (state.seed, state.position, state.resume_epoch)
    return (
        all(
            type(text) is str and len(text) <= MAX_FIELD_CHARACTERS
            for text in texts
        )
        and all(type(number) is int and number >= 0 for number in numbers)
        and state.position <= _MAX_POSITION
        and type(state.request_digest) is bytes
        and type(state.prefix_digest) is bytes
        and len(state.prefix_digest) == digest.DIGEST_BYTES
        and type(state.expires_wall_s) is float
    )


def _unpack(body: bytes) -> ResumeState | None:
    try:
        fixed, (position, prefix_digest) = msgpack.unpackb(
            body,
            max_str_len=MAX_RESUME_ID_CHARACTERS,
            max_bin_len=MAX_RESUME_ID_CHARACTERS,
            max_array_len=len(ResumeState._fields),
            max_map_len=0,
            max_ext_len=0,
        )
        if len(fixed) != len(ResumeState._fields) - 2:
            return None
        state = ResumeState._make(
            (
                *fixed[:_POSITION_FIELD],
                position,
                prefix_digest,
                *fixed[_POSITION_FIELD:],
            )
        )
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    return state if _is_valid(state) else None


def open_sealed(
    text: str, keys: abc.Iterable[bytes]
) -> ResumeState | codes.ResultCode:
    """Return the state in a resume id.

    :param text: resume id as the caller sent it.
    :param keys: sealing keys, the newest first.
    :returns: ``RESUME_ID_INVALID`` if none of the keys sealed it.
    """
    invalid = codes.ResultCode.RESUME_ID_INVALID
    if len(text) > MAX_RESUME_ID_CHARACTERS:
        return invalid
    try:
        padded = text.encode('ascii') + b'=' * (-len(text) % 4)
        sealed = base64.b64decode(padded, altchars=b'-_', validate=True)
    except (UnicodeEncodeError, binascii.Error):
        return invalid
    body, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
    if not body.startswith(_LAYOUT):
        return invalid
    for key in keys:
        expected = _new_mac(key)
        expected.update(body)
        if hmac.compare_digest(expected.digest(), mac):
            return _unpack(body[1:]) or invalid
    return invalid


def check_request(
    state: ResumeState,
    client_account: str,
    request_digest: bytes,
    service: str,
    now_wall_s: float,
) -> codes.ResultCode | None:
    """Return why a resume id cannot continue a request, or None.

    :param request_digest: digest of the repeated request.
    :param now_wall_s: Unix seconds.
    """
    if (state.client_account, state.request_digest, state.service) != (
        client_account,
        request_digest,
        service,
    ):
        return codes.ResultCode.RESUME_ID_MISMATCH
    if state.expires_wall_s <= now_wall_s:
        return codes.ResultCode.RESUME_ID_EXPIRED
    return None
