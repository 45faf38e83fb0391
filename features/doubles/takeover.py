"""Variant of the claim store without one guard.

It takes a claim over when the outcome of the holder is not recorded, as if
a holder that does not answer had ended. Tests show that this runs a call
twice.
"""

from __future__ import annotations

from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import claims


class TakeoverClaimStore(claims.ClaimStore):
    """Claim store that does not respect a silent holder."""

    async def claim(self, scope, claimant, expires_wall_s):
        result = await super().claim(scope, claimant, expires_wall_s)
        if isinstance(result, claim_record.ClaimHeld):
            _, version = await self.read(scope)
            record = result.record._replace(
                owner_id=claimant.owner_id,
                incarnation=claimant.incarnation,
                nonce=b'taken over',
            )
            return await self._write(scope, version, record)
        return result
