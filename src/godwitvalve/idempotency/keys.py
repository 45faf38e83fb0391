"""Idempotency keys, issued by an entry or chosen by the client.

An issued key names the entry instance that owns it and carries a message
authentication code.
"""

from __future__ import annotations

import base64
import binascii
from collections import abc
import hashlib
import hmac
import re
import secrets
from typing import Any, NamedTuple, TypeAlias

import msgpack

from godwitvalve.outcomes import codes

ISSUED_PREFIX = 'gw1.'
ISSUED_VALIDITY_S = 3600.0
MAX_KEY_CHARS = 200
MIN_CLIENT_KEY_CHARS = 8
MAX_CLIENT_KEY_CHARS = 128
_MAC_BYTES = 16
_NONCE_BYTES = 12
_PERSONALIZATION = b'gw-issued-key'
_CLIENT_KEY = re.compile(r'[A-Za-z0-9._:~-]+')


class IssuedKey(NamedTuple):
    """Content of an issued key.

    ``instance_id`` and ``incarnation`` name the owner; ``expires_wall_s`` is
    in Unix seconds.
    """

    instance_id: str
    incarnation: int
    expires_wall_s: float
    nonce: bytes


class ClientKey(NamedTuple):
    """A key that was chosen by the client."""

    text: str


ParsedKey: TypeAlias = IssuedKey | ClientKey


class KeyScope(NamedTuple):
    """A key together with the client account that may use it."""

    client_account: str
    key: str


def _mac(payload: bytes, client_account: str, sealing_key: bytes) -> bytes:
    account = hashlib.blake2b(client_account.encode()).digest()
    return hashlib.blake2b(
        account + payload,
        key=sealing_key[: hashlib.blake2b.MAX_KEY_SIZE],
        digest_size=_MAC_BYTES,
        person=_PERSONALIZATION,
    ).digest()


def issue(
    instance_id: str,
    incarnation: int,
    client_account: str,
    expires_wall_s: float,
    sealing_key: bytes,
) -> str:
    """Return a new key that names an incarnation as its owner.

    :param expires_wall_s: Unix seconds after which the key is refused.
    :param sealing_key: secret that all entry instances share.
    """
    payload: bytes = msgpack.packb(
        (
            instance_id,
            incarnation,
            expires_wall_s,
            secrets.token_bytes(_NONCE_BYTES),
        )
    )
    sealed = payload + _mac(payload, client_account, sealing_key)
    return ISSUED_PREFIX + base64.urlsafe_b64encode(sealed).decode().rstrip(
        '='
    )


def parse(
    text: str, client_account: str, sealing_keys: abc.Sequence[bytes]
) -> ParsedKey | codes.ResultCode:
    """Parse and verify the value of an ``Idempotency-Key`` header.

    :param sealing_keys: accepted secrets, the current one first.
    :returns: the key, or ``KEY_INVALID``. An issued key of another client
        account is invalid.
    """
    if text.startswith(ISSUED_PREFIX):
        if len(text) > MAX_KEY_CHARS:
            return codes.ResultCode.KEY_INVALID
        return _parse_issued(text, client_account, sealing_keys)
    if not MIN_CLIENT_KEY_CHARS <= len(text) <= MAX_CLIENT_KEY_CHARS:
        return codes.ResultCode.KEY_INVALID
    if not _CLIENT_KEY.fullmatch(text):
        return codes.ResultCode.KEY_INVALID
    return ClientKey(text)


def _parse_issued(
    text: str, client_account: str, sealing_keys: abc.Sequence[bytes]
) -> IssuedKey | codes.ResultCode:
    encoded = text.removeprefix(ISSUED_PREFIX)
    try:
        sealed = base64.b64decode(
            encoded + '=' * (-len(encoded) % 4), altchars=b'-_', validate=True
        )
    except (binascii.Error, ValueError):
        return codes.ResultCode.KEY_INVALID
    # The last character has unused bits. Without this check, several texts
    # would decode to the same key.
    if base64.urlsafe_b64encode(sealed).decode().rstrip('=') != encoded:
        return codes.ResultCode.KEY_INVALID
    payload, mac = sealed[:-_MAC_BYTES], sealed[-_MAC_BYTES:]
    for sealing_key in sealing_keys:
        if hmac.compare_digest(
            mac, _mac(payload, client_account, sealing_key)
        ):
            return _unpack_payload(payload)
    return codes.ResultCode.KEY_INVALID


def _unpack_payload(payload: bytes) -> IssuedKey | codes.ResultCode:
    try:
        fields: Any = msgpack.unpackb(payload)
        instance_id, incarnation, expires_wall_s, nonce = fields
    except (ValueError, TypeError, msgpack.UnpackException):
        return codes.ResultCode.KEY_INVALID
    return IssuedKey(instance_id, incarnation, expires_wall_s, nonce)


def digest_request(service: str, method: str, target: str, body: bytes) -> str:
    """Return the digest that identifies the content of a request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
