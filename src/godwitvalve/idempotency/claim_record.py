"""Claim rows of client-chosen keys and the decision to write one."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any, NamedTuple, TypeAlias

import msgpack

from godwitvalve.idempotency import keys
from godwitvalve.idempotency import outcome_codec
from godwitvalve.outcomes import outcome as outcome_model

# A longer outcome is not recorded in the row, because a row without the
# complete body cannot be replayed.
MAX_RECORDED_OUTCOME_BYTES = 64 * 1024


class ClaimRecord(NamedTuple):
    """Content of a claim row.

    ``outcome`` is None while the call may be running. If it is ``NotRun``,
    any incarnation may replace the row with a compare-and-set, for the same
    request.
    """

    owner_id: str
    incarnation: int
    nonce: bytes
    body_digest: str
    expires_wall_s: float
    outcome: outcome_model.Outcome | None


class Claimant(NamedTuple):
    """An incarnation that requests a claim.

    ``is_retry`` is set if this incarnation has tried the key before and
    knows that it sent nothing.
    """

    owner_id: str
    incarnation: int
    body_digest: str
    is_retry: bool


@dataclasses.dataclass(frozen=True)
class ClaimPermitted:
    """The claim may replace this version of the row."""

    expected_version: int


@dataclasses.dataclass(frozen=True)
class ClaimHeld:
    """The row holds a claim that must not be replaced.

    Its owner may be the claimant itself, if the claimant does not know that
    it sent nothing.
    """

    record: ClaimRecord


ClaimDecision: TypeAlias = ClaimPermitted | ClaimHeld


def decide_claim(
    current: ClaimRecord | None, version: int, claimant: Claimant
) -> ClaimDecision:
    """Decide whether a claimant may write its claim.

    :param current: content of the row, or None if there is no row.
    :param version: version of the row, or 0 if there is no row.
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
    """Tell whether the row holds the write with this nonce.

    Used when the answer to a write was lost and the row was read again.
    """
    return current is not None and current.nonce == nonce


def row_key(scope: keys.KeyScope) -> str:
    """Return the key of the row: a digest of fixed length."""
    digest = hashlib.blake2b(digest_size=20)
    for part in scope:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, 'big') + encoded)
    return digest.hexdigest()


def pack(record: ClaimRecord) -> bytes:
    """Encode a claim as the value of its row."""
    plain = None
    if record.outcome is not None:
        plain = outcome_codec.to_plain(record.outcome)
    expires_wall_s = float(record.expires_wall_s)
    packed: bytes = msgpack.packb((*record[:4], expires_wall_s, plain))
    return packed


def unpack(value: bytes) -> ClaimRecord:
    """Decode the value of a claim row.

    :raises ValueError: if the bytes are not a claim row.
    """
    try:
        fields: Any = msgpack.unpackb(value)
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError('claim row is not valid msgpack') from error
    match fields:
        case [str(owner), int(inc), bytes(nonce), str(digest), at, plain]:
            outcome = None
            if plain is not None:
                outcome = outcome_codec.from_plain(plain)
            if isinstance(at, float):
                return ClaimRecord(owner, inc, nonce, digest, at, outcome)
    raise ValueError('claim row has unexpected fields')
