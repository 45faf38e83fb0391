"""Claim rows of client-chosen keys, and what may be done with one."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any, NamedTuple, TypeAlias

import msgpack

from godwitvalve.idempotency import keys
from godwitvalve.idempotency import outcome_codec
from godwitvalve.outcomes import outcome as outcome_model

# A longer outcome is not written back: the row would lack its body.
MAX_RECORDED_OUTCOME_BYTES = 64 * 1024


class ClaimRecord(NamedTuple):
    """Content of a claim row.

    ``outcome`` is None while the call may be running. A row whose outcome
    is "not run" may be taken by anyone with a compare-and-set.
    """

    owner_id: str
    incarnation: int
    nonce: bytes
    body_digest: str
    expires_wall_s: float
    outcome: outcome_model.Outcome | None


class Claimant(NamedTuple):
    """An incarnation that wants a claim.

    ``is_retry`` tells that this incarnation remembers that it sent nothing
    for this key.
    """

    owner_id: str
    incarnation: int
    body_digest: str
    is_retry: bool


@dataclasses.dataclass(frozen=True)
class ClaimPermitted:
    """The claim may be written over the row's present version."""

    expected_version: int


@dataclasses.dataclass(frozen=True)
class ClaimHeld:
    """Another owner has the key, or this one without remembering why."""

    record: ClaimRecord


ClaimDecision: TypeAlias = ClaimPermitted | ClaimHeld


def decide_claim(
    current: ClaimRecord | None, version: int, claimant: Claimant
) -> ClaimDecision:
    """Decide whether a claimant may write its claim.

    :param current: the row, or None if there is none.
    :param version: version of the row, 0 if there is none.
    """
    if current is None:
        return ClaimPermitted(0)
    if current.body_digest != claimant.body_digest:
        return ClaimHeld(current)
    if isinstance(current.outcome, outcome_model.NotRun):
        return ClaimPermitted(version)
    is_own = (current.owner_id, current.incarnation) == claimant[:2]
    if is_own and current.outcome is None and claimant.is_retry:
        return ClaimPermitted(version)
    return ClaimHeld(current)


def is_own_write(current: ClaimRecord | None, nonce: bytes) -> bool:
    """Tell whether a row read back after a lost answer is this write."""
    return current is not None and current.nonce == nonce


def row_key(scope: keys.KeyScope) -> str:
    """Return the row's key, of fixed length for any scope."""
    digest = hashlib.blake2b(digest_size=20)
    for part in scope:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, 'big') + encoded)
    return digest.hexdigest()


def pack(record: ClaimRecord) -> bytes:
    """Return the bytes of a row."""
    plain = None
    if record.outcome is not None:
        plain = outcome_codec.to_plain(record.outcome)
    expires_wall_s = float(record.expires_wall_s)
    packed: bytes = msgpack.packb((*record[:4], expires_wall_s, plain))
    return packed


def unpack(value: bytes) -> ClaimRecord:
    """Return the content of a row.

    :raises ValueError: if the bytes are not those of a claim row.
    """
    try:
        fields: Any = msgpack.unpackb(value)
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError('malformed claim row') from error
    match fields:
        case [str(owner), int(inc), bytes(nonce), str(digest), at, plain]:
            outcome = None
            if plain is not None:
                outcome = outcome_codec.from_plain(plain)
            if isinstance(at, float):
                return ClaimRecord(owner, inc, nonce, digest, at, outcome)
    raise ValueError('malformed claim row')
