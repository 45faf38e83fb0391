"""Claims of client-chosen keys in the table service."""

from __future__ import annotations

import dataclasses
import secrets
from typing import TypeAlias

from godwitvalve import clock as clock_model
from godwitvalve.idempotency import budget as budget_model
from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.store import port as store_port

TABLE = 'claims'
_NONCE_BYTES = 16
# After a conflict the row may still be claimable. Further attempts would
# need as many competing claimants within a few milliseconds.
_MAX_WRITE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Claimed:
    """This incarnation owns the key.

    :param version: version of the row that holds the claim.
    """

    record: claim_record.ClaimRecord
    version: int


@dataclasses.dataclass(frozen=True)
class ClaimFailed:
    """This incarnation does not own the key and has sent nothing."""

    outcome: outcome_model.NotRun | outcome_model.Unknown


ClaimResult: TypeAlias = Claimed | claim_record.ClaimHeld | ClaimFailed


def _not_run(code: codes.ResultCode, detail: str) -> ClaimFailed:
    return ClaimFailed(outcome_model.NotRun(code, detail))


def _claim_unknown(detail: str) -> ClaimFailed:
    return ClaimFailed(
        outcome_model.Unknown(codes.ResultCode.CLAIM_UNKNOWN, detail)
    )


class ClaimStore:
    """Claims keys with a compare-and-set on the row of each key.

    :param tables: table service of the platform.
    :param budget: rate limit of claim writes.
    """

    def __init__(
        self,
        tables: store_port.TableService,
        budget: budget_model.ClaimBudget,
        clock: clock_model.Clock,
    ) -> None:
        self._tables = tables
        self._budget = budget
        self._clock = clock

    async def read(
        self, scope: keys.KeyScope
    ) -> tuple[claim_record.ClaimRecord | None, int]:
        """Return the claim of a key and the version of its row.

        :raises PlatformUnavailable: if the table service did not answer in
            time or the row is malformed.
        """
        row = await self._tables.read(TABLE, claim_record.row_key(scope))
        return _parse_row(row)

    async def claim(
        self,
        scope: keys.KeyScope,
        claimant: claim_record.Claimant,
        expires_wall_s: float,
    ) -> ClaimResult:
        """Claim a key for an incarnation.

        The row is read first, so that a repeated call finds its recorded
        outcome even if the budget permits no write.

        :param expires_wall_s: Unix seconds until which the owner keeps the
            outcome.
        """
        try:
            current, version = await self.read(scope)
            for _ in range(_MAX_WRITE_ATTEMPTS):
                decision = claim_record.decide_claim(
                    current, version, claimant
                )
                if isinstance(decision, claim_record.ClaimHeld):
                    return decision
                if not self._budget.take(self._clock.monotonic_s()):
                    return _not_run(
                        codes.ResultCode.CLAIM_BUDGET_EXHAUSTED, ''
                    )
                record = claim_record.ClaimRecord(
                    claimant.owner_id,
                    claimant.incarnation,
                    secrets.token_bytes(_NONCE_BYTES),
                    claimant.body_digest,
                    expires_wall_s,
                    None,
                )
                result = await self._write(
                    scope, decision.expected_version, record
                )
                if not isinstance(result, store_port.Conflict):
                    return result
                current, version = _parse_row(result.current)
        except store_port.PlatformUnavailable as error:
            return _not_run(codes.ResultCode.STORE_UNAVAILABLE, str(error))
        return _not_run(
            codes.ResultCode.STORE_UNAVAILABLE,
            'the claim row kept changing',
        )

    async def _write(
        self,
        scope: keys.KeyScope,
        expected_version: int,
        record: claim_record.ClaimRecord,
    ) -> Claimed | ClaimFailed | store_port.Conflict:
        written = await self._tables.compare_and_set(
            TABLE,
            claim_record.row_key(scope),
            expected_version,
            claim_record.pack(record),
        )
        match written:
            case store_port.Written(version):
                return Claimed(record, version)
            case store_port.WriteUnknown(reason):
                return await self._read_back(
                    scope, expected_version, record, reason
                )
            case store_port.WriteRefused(reason):
                return _not_run(codes.ResultCode.STORE_UNAVAILABLE, reason)
            case store_port.Conflict():
                return written

    async def _read_back(
        self,
        scope: keys.KeyScope,
        expected_version: int,
        record: claim_record.ClaimRecord,
        reason: str,
    ) -> Claimed | ClaimFailed | store_port.Conflict:
        try:
            row = await self._tables.read(TABLE, claim_record.row_key(scope))
            current, version = _parse_row(row)
        except store_port.PlatformUnavailable as error:
            return _claim_unknown(f'{reason}; {error}')
        if claim_record.is_own_write(current, record.nonce):
            return Claimed(record, version)
        if version != expected_version:
            return store_port.Conflict(row)
        # The write may still be applied. The ledger records that this
        # incarnation sent nothing, so it may claim that row again.
        return _claim_unknown(reason)

    async def record_outcome(
        self,
        scope: keys.KeyScope,
        claimed: Claimed,
        outcome: outcome_model.Outcome,
    ) -> bool:
        """Write an outcome to the claim row, if its size and budget permit.

        :returns: whether the table service confirmed the write.
        """
        record = claimed.record._replace(outcome=outcome)
        value = claim_record.pack(record)
        if len(value) > claim_record.MAX_RECORDED_OUTCOME_BYTES:
            return False
        if not self._budget.take(self._clock.monotonic_s()):
            return False
        written = await self._tables.compare_and_set(
            TABLE, claim_record.row_key(scope), claimed.version, value
        )
        return isinstance(written, store_port.Written)


def _parse_row(
    row: store_port.Row | None,
) -> tuple[claim_record.ClaimRecord | None, int]:
    if row is None:
        return None, 0
    try:
        return claim_record.unpack(row.value), row.version
    except ValueError as error:
        raise store_port.PlatformUnavailable(str(error)) from error
