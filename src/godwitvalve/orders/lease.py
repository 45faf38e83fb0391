"""Lease for sending orders to the endpoints of one service."""

from __future__ import annotations

from collections import abc
import enum
import json
import secrets
from typing import NamedTuple

from godwitvalve import clock as clocks
from godwitvalve.store import port

TABLE = 'leases'
LEASE_S = 10.0
RENEW_AFTER_S = 5.0
# A contender waits this long by its own clock after it first observed a
# version of the row. Clock rates may differ by 10%, and an order that was
# sent just before the deadline may take a second to arrive.
TAKE_OVER_AFTER_S = 12.5
# Time that may pass between the check of the deadline and the send.
ORDER_MARGIN_S = 0.5


class LeaseState(enum.Enum):
    """Result of an attempt to acquire or renew the lease."""

    HELD = 'held'
    HELD_BY_OTHER = 'held by other'
    UNKNOWN = 'unknown'


class _HeldLease(NamedTuple):
    version: int
    deadline_s: float
    renew_at_s: float


class _ObservedVersion(NamedTuple):
    version: int
    since_s: float


class _LeaseValue(NamedTuple):
    holder: str
    nonce: str
    released: bool


class FencingLease:
    """Lease row ``orders/{service}``; its version is the fencing number.

    Wall clocks are not compared: the holder's deadline counts from before
    its write, and a contender's wait from when it first observed the row's
    version.

    ``term`` counts how often this entry acquired the lease.

    :param make_nonce: returns a new value that identifies one write.
    """

    def __init__(
        self,
        table: port.TableService,
        service: str,
        holder: str,
        clock: clocks.Clock,
        make_nonce: abc.Callable[[], str] = lambda: secrets.token_hex(12),
    ) -> None:
        self._table = table
        self._key = f'orders/{service}'
        self._holder = holder
        self._clock = clock
        self._make_nonce = make_nonce
        self._held: _HeldLease | None = None
        self._observed: _ObservedVersion | None = None
        self.term = 0

    def fencing_number(self) -> int | None:
        """Return the fencing number for an order sent now, or None.

        Checks the deadline: a holder that was paused past it gets None.
        """
        held = self._held
        if held is None:
            return None
        now_s = self._clock.monotonic_s()
        if now_s + ORDER_MARGIN_S >= held.deadline_s:
            return None
        return held.version

    async def acquire_or_renew(self) -> LeaseState:
        """Acquire the lease if it is free, or renew it if that is due."""
        now_s = self._clock.monotonic_s()
        held = self._held
        if held is not None and now_s < held.renew_at_s:
            return LeaseState.HELD
        if held is not None and now_s < held.deadline_s:
            return await self._write(held.version)
        self._held = None
        return await self._try_take_over()

    async def release(self) -> None:
        """Release the lease, so that another entry can acquire it at once."""
        held = self._held
        self._held = None
        if held is None:
            return
        value = _encode(_LeaseValue(self._holder, self._make_nonce(), True))
        await self._table.compare_and_set(
            TABLE, self._key, held.version, value
        )

    def invalidate(self) -> None:
        """Stop using the lease: a newer fencing number was issued."""
        self._held = None

    async def _try_take_over(self) -> LeaseState:
        try:
            row = await self._table.read(TABLE, self._key)
        except port.PlatformUnavailable:
            return LeaseState.UNKNOWN
        if row is None:
            return await self._write(0)
        if _decode(row.value).released or self._has_expired(row):
            return await self._write(row.version)
        return LeaseState.HELD_BY_OTHER

    def _has_expired(self, row: port.Row) -> bool:
        now_s = self._clock.monotonic_s()
        if self._observed is None or self._observed.version != row.version:
            self._observed = _ObservedVersion(row.version, now_s)
        return now_s - self._observed.since_s >= TAKE_OVER_AFTER_S

    async def _write(self, expected_version: int) -> LeaseState:
        nonce = self._make_nonce()
        value = _encode(_LeaseValue(self._holder, nonce, False))
        before_s = self._clock.monotonic_s()
        written = await self._table.compare_and_set(
            TABLE, self._key, expected_version, value
        )
        match written:
            case port.Written(version=version):
                return self._record_held(version, before_s)
            case port.Conflict(current=current):
                return self._handle_conflict(current, nonce, before_s)
            case port.WriteRefused():
                return self._handle_unconfirmed_write()
            case port.WriteUnknown():
                return await self._read_back(nonce, before_s)

    async def _read_back(self, nonce: str, before_s: float) -> LeaseState:
        try:
            row = await self._table.read(TABLE, self._key)
        except port.PlatformUnavailable:
            return self._handle_unconfirmed_write()
        if row is None:
            return self._handle_unconfirmed_write()
        if _decode(row.value).nonce == nonce:
            return self._record_held(row.version, before_s)
        return self._handle_unconfirmed_write()

    def _handle_conflict(
        self, current: port.Row | None, nonce: str, before_s: float
    ) -> LeaseState:
        if current is not None and _decode(current.value).nonce == nonce:
            return self._record_held(current.version, before_s)
        self._held = None
        return LeaseState.HELD_BY_OTHER

    def _record_held(self, version: int, before_s: float) -> LeaseState:
        self._observed = None
        if self._held is None:
            self.term += 1
        self._held = _HeldLease(
            version, before_s + LEASE_S, before_s + RENEW_AFTER_S
        )
        return LeaseState.HELD

    def _handle_unconfirmed_write(self) -> LeaseState:
        """Keep a held lease until its previous deadline."""
        if self.fencing_number() is not None:
            return LeaseState.HELD
        return LeaseState.UNKNOWN


def _encode(value: _LeaseValue) -> bytes:
    return json.dumps(value._asdict()).encode()


def _decode(raw: bytes) -> _LeaseValue:
    fields = json.loads(raw)
    return _LeaseValue(fields['holder'], fields['nonce'], fields['released'])
