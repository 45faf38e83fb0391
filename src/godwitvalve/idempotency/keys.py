"""Idempotency keys: issued ones, which name their owner, and others."""

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
    """What an issued key says; ``expires_wall_s`` is in Unix seconds."""

    instance_id: str
    incarnation: int
    expires_wall_s: float
    nonce: bytes


class ClientKey(NamedTuple):
    """A key that the client has chosen."""

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
    """Return a new key that names this incarnation as its owner.

    :param expires_wall_s: Unix seconds after which the key is refused.
    :param sealing_key: secret shared by all entry instances.
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
    """Check a key from an ``Idempotency-Key`` header.

    :param sealing_keys: accepted sealing keys, the current one first.
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
    # Unused bits of the last character would give one key several texts.
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
    """Return the digest that tells one request from another."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
