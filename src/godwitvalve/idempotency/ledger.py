"""Keys that an owner has accepted, with the state of each call."""

from __future__ import annotations

import dataclasses
import enum
import heapq
from typing import NamedTuple, TypeAlias

from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome as outcome_model

MAX_KEYS = 100_000
# Limit for the bodies of recorded answers; an entry instance has 256 MB of
# memory in all.
MAX_BODY_BYTES = 64 * 1024 * 1024


class KeyState(enum.Enum):
    """State of the call of a key."""

    RUNNING = 'running'
    NOT_RUN = 'not_run'
    FINAL = 'final'


class KeyRecord(NamedTuple):
    """State of one key at its owner."""

    body_digest: str
    expires_wall_s: float
    state: KeyState
    outcome: outcome_model.Outcome | None


@dataclasses.dataclass(frozen=True)
class Run:
    """The request may run the call; no other request may run it now.

    :param is_retry: whether an earlier attempt of this owner sent nothing.
    """

    is_retry: bool


@dataclasses.dataclass(frozen=True)
class Wait:
    """The call is running and its outcome must be awaited."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call has ended with this outcome."""

    outcome: outcome_model.Outcome


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The key cannot be used for this request."""

    code: codes.ResultCode


Decision: TypeAlias = Run | Wait | Replay | Refuse


def begin_record(
    record: KeyRecord | None,
    body_digest: str,
    expires_wall_s: float,
    now_wall_s: float,
) -> tuple[KeyRecord | None, Decision]:
    """Decide how to handle a request with a key.

    :param record: state of the key, or None for a new key.
    :param expires_wall_s: Unix seconds at which the key expires.
    :param now_wall_s: Unix seconds; must never decrease.
    :returns: the updated record and the decision.
    """
    is_running = record is not None and record.state is KeyState.RUNNING
    if now_wall_s >= expires_wall_s and not is_running:
        return record, Refuse(codes.ResultCode.KEY_EXPIRED)
    if record is not None and record.body_digest != body_digest:
        return record, Refuse(codes.ResultCode.KEY_BODY_MISMATCH)
    if is_running:
        return record, Wait()
    if record is not None and record.outcome is not None:
        return record, Replay(record.outcome)
    running = KeyRecord(body_digest, expires_wall_s, KeyState.RUNNING, None)
    return running, Run(is_retry=record is not None)


def finish_record(
    record: KeyRecord, outcome: outcome_model.Outcome
) -> KeyRecord:
    """Record the outcome of a run; only ``NotRun`` permits another run."""
    if record.state is not KeyState.RUNNING:
        return record
    if isinstance(outcome, outcome_model.NotRun):
        return record._replace(state=KeyState.NOT_RUN)
    return record._replace(state=KeyState.FINAL, outcome=outcome)


def _body_bytes(outcome: outcome_model.Outcome | None) -> int:
    if isinstance(outcome, outcome_model.Completed):
        return len(outcome.body)
    return 0


class IdempotencyLedger:
    """Keys of one owner. A key is never evicted before it expires.

    The clock of the ledger never goes back. Otherwise a key could expire, be
    removed, and be accepted as new after the wall clock is set back.
    """

    def __init__(
        self, max_keys: int = MAX_KEYS, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._max_keys = max_keys
        self._max_body_bytes = max_body_bytes
        self._records: dict[keys.KeyScope, KeyRecord] = {}
        self._expiries: list[tuple[float, keys.KeyScope]] = []
        self._body_bytes = 0
        self._latest_wall_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def advance_clock(self, now_wall_s: float) -> float:
        """Advance the clock of the ledger, which never goes back.

        :param now_wall_s: Unix seconds.
        :returns: the newest time given so far, in Unix seconds.
        """
        self._latest_wall_s = max(self._latest_wall_s, now_wall_s)
        return self._latest_wall_s

    def begin(
        self,
        key: keys.KeyScope,
        body_digest: str,
        expires_wall_s: float,
        now_wall_s: float,
    ) -> Decision:
        """Decide how to handle a request with a key.

        :param expires_wall_s: Unix seconds at which the key expires.
        :param now_wall_s: Unix seconds.
        """
        self._expire(now_wall_s)
        record = self._records.get(key)
        if record is None and self._is_full():
            if self._latest_wall_s < expires_wall_s:
                return Refuse(codes.ResultCode.KEY_BUSY)
        updated, decision = begin_record(
            record, body_digest, expires_wall_s, self._latest_wall_s
        )
        if updated is not None:
            if record is None:
                heapq.heappush(self._expiries, (updated.expires_wall_s, key))
            self._records[key] = updated
        return decision

    def peek(self, key: keys.KeyScope) -> KeyRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def finish(
        self, key: keys.KeyScope, outcome: outcome_model.Outcome
    ) -> None:
        """Record the outcome of a run that ``begin`` permitted."""
        record = self._records.get(key)
        if record is None:
            return
        finished = finish_record(record, outcome)
        if finished is not record:
            self._body_bytes += _body_bytes(finished.outcome)
        self._records[key] = finished

    def allow_retry(self, key: keys.KeyScope) -> None:
        """Permit another run, because the current one sent nothing."""
        record = self._records.get(key)
        if record is not None and record.state is KeyState.RUNNING:
            self._records[key] = record._replace(state=KeyState.NOT_RUN)

    def discard(self, key: keys.KeyScope) -> None:
        """Remove a key that another owner has claimed."""
        record = self._records.get(key)
        if record is not None and record.state is not KeyState.FINAL:
            del self._records[key]

    def _is_full(self) -> bool:
        return (
            len(self._records) >= self._max_keys
            or self._body_bytes >= self._max_body_bytes
        )

    def _expire(self, now_wall_s: float) -> None:
        self.advance_clock(now_wall_s)
        while self._expiries and self._expiries[0][0] <= self._latest_wall_s:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is None or record.expires_wall_s > self._latest_wall_s:
                continue
            if record.state is KeyState.RUNNING:
                # Kept until its outcome is known; checked again later.
                recheck_wall_s = self._latest_wall_s + 1.0
                heapq.heappush(self._expiries, (recheck_wall_s, key))
                continue
            self._body_bytes -= _body_bytes(record.outcome)
            del self._records[key]
