"""Claim store without the guard against taking over claims.

It replaces a claim that another owner holds, as if an unresponsive owner had
ended. Tests show that a call then runs twice.
"""

from __future__ import annotations

from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import claims


class TakeoverClaimStore(claims.ClaimStore):
    """Claim store that takes over the claim of an unresponsive owner."""

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
