"""Durable verdicts on moves: in memory, in the store and at peers."""

from __future__ import annotations

import logging

from godwitvalve.moves import move
from godwitvalve.moves import verdict_rows
from godwitvalve.store import port

TABLE = 'moves'
# Requests go to a version that is being moved to only within this time after
# the store, or more than half of the entries, confirmed the verdict. So a
# disconnected entry stops sending soon after the others take a version back.
SEND_LEASE_S = 3.0
_MAX_ATTEMPTS = 3
_RETRY_S = 1.0
_MAX_REASON_LENGTH = 400
_LOG = logging.getLogger('godwitvalve.moves')


class VerdictManager:
    """Verdicts that this entry knows, and those it has yet to store.

    A verdict takes effect here as soon as it is reached or received, with or
    without the store. ``flush`` writes it later.

    :param tables: table service of the platform.
    :param origin: id of this entry instance.
    """

    def __init__(self, tables: port.TableService, origin: str) -> None:
        self._tables = tables
        self._origin = origin
        self._rows: dict[str, verdict_rows.VerdictRow] = {}
        self._stored: dict[str, tuple[int, verdict_rows.VerdictRow]] = {}
        self._confirmed: dict[str, float] = {}
        self._retry_at_s = 0.0

    def verdict(self, move_id: str) -> move.Verdict:
        """Return the verdict in effect here."""
        row = self._rows.get(move_id)
        return move.Verdict(row.verdict) if row else move.Verdict.MOVING

    def row(self, move_id: str) -> verdict_rows.VerdictRow | None:
        """Return the verdict with its reason, if there is one."""
        return self._rows.get(move_id)

    def rows(self) -> list[verdict_rows.VerdictRow]:
        """Return all verdicts, to be sent to peers."""
        return list(self._rows.values())

    def decide(
        self, move_id: str, judgement: move.Judgement, now_wall_s: float
    ) -> bool:
        """Record a judgement; return whether it changed the verdict."""
        match judgement:
            case move.TakeBack(reason):
                verdict = move.Verdict.TAKEN_BACK
            case move.Done(reason):
                verdict = move.Verdict.DONE
            case _:
                return False
        if verdict <= self.verdict(move_id):
            return False
        row = verdict_rows.VerdictRow(
            move_id,
            verdict,
            reason[:_MAX_REASON_LENGTH],
            self._origin,
            now_wall_s,
        )
        return self.merge(row)

    def merge(self, row: verdict_rows.VerdictRow) -> bool:
        """Merge a verdict; return whether the known one changed."""
        known = self._rows.get(row.move_id)
        winner = verdict_rows.stronger(known, row) if known else row
        if winner == known:
            return False
        self._rows[row.move_id] = winner
        _LOG.info(
            'Move %s: %s by %s: %s.',
            winner.move_id,
            move.Verdict(winner.verdict).name.lower(),
            winner.origin,
            winner.reason,
        )
        return True

    def confirm(self, move_id: str, now_s: float) -> None:
        """Renew the send lease of a move.

        Called when the store, or most entries, have given their verdict.

        :param now_s: monotonic seconds at which the verdict was requested.
        """
        last = self._confirmed.get(move_id, now_s)
        self._confirmed[move_id] = max(last, now_s)

    def may_send(self, move_id: str, now_s: float) -> bool:
        """Return whether this entry may send requests to the new version.

        A move that is done needs no recent confirmation: an entry that is
        disconnected for long stops admitting requests anyway.
        """
        verdict = self.verdict(move_id)
        if verdict is not move.Verdict.MOVING:
            return verdict is move.Verdict.DONE
        confirmed = self._confirmed.get(move_id)
        return confirmed is not None and now_s - confirmed <= SEND_LEASE_S

    async def refresh(self, move_id: str, now_s: float) -> bool:
        """Read the stored verdict; return whether the store answered."""
        try:
            await self._read(move_id)
        except port.PlatformUnavailable:
            return False
        self.confirm(move_id, now_s)
        return True

    def pending(self) -> list[str]:
        """Return the moves whose verdict is not in the store yet."""
        return [
            move_id
            for move_id, row in self._rows.items()
            if self._needs_write(move_id, row)
        ]

    def _needs_write(self, move_id: str, row: verdict_rows.VerdictRow) -> bool:
        stored = self._stored.get(move_id)
        return stored is None or stored[1].verdict < row.verdict

    async def flush(self, now_s: float) -> bool:
        """Store the pending verdicts; return whether none remains.

        After a failure no write is attempted for ``_RETRY_S``.
        """
        if now_s < self._retry_at_s:
            return not self.pending()
        for move_id in self.pending():
            if not await self._store(move_id):
                self._retry_at_s = now_s + _RETRY_S
                return False
        return True

    async def _store(self, move_id: str) -> bool:
        """Write one verdict; read it back if the outcome is unknown."""
        try:
            for _ in range(_MAX_ATTEMPTS):
                await self._read(move_id)
                row = self._rows[move_id]
                if not self._needs_write(move_id, row):
                    return True
                version = self._stored_version(move_id)
                outcome = await self._tables.compare_and_set(
                    TABLE, move_id, version, row.encode()
                )
                if isinstance(outcome, port.Written):
                    self._stored[move_id] = (outcome.version, row)
                    return True
                if isinstance(outcome, port.WriteRefused):
                    return False
        except port.PlatformUnavailable:
            return False
        return False

    def _stored_version(self, move_id: str) -> int:
        stored = self._stored.get(move_id)
        return stored[0] if stored else 0

    async def _read(self, move_id: str) -> None:
        row = await self._tables.read(TABLE, move_id)
        if row is None:
            return
        found = verdict_rows.decode(row.value)
        self._stored[move_id] = (row.version, found)
        self.merge(found)
