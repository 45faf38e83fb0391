"""Entries in one process that share a table service and an endpoint."""

from __future__ import annotations

import asyncio
import time

from features.doubles import clocks
from features.doubles import tables
from godwitvalve.idempotency import budget
from godwitvalve.idempotency import claims
from godwitvalve.idempotency import executor
from godwitvalve.idempotency import forwarding
from godwitvalve.idempotency import keyed_calls
from godwitvalve.idempotency import ledger
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from godwitvalve.peers import calls
from godwitvalve.peers import membership
from godwitvalve.peers import messages
from godwitvalve.services import port

SEALING_KEY = b's' * 32


class FakeEndpoint:
    """Records the keys of executed calls.

    Depending on its mode it answers, loses answers or refuses connections.
    """

    def __init__(self):
        self.executed_keys = []
        self.mode = 'answer'
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self.attempts = 0

    async def send(self, call):
        """Simulate one attempt; it waits until the endpoint is unblocked."""
        attempt = outcome.SendAttempt()
        self.attempts += 1
        await self.unblocked.wait()
        if self.mode == 'refuse':
            return attempt.fail(codes.ResultCode.CONNECT_FAILED, 'refused')
        attempt.mark_sent()
        self.executed_keys.append(call.key)
        if self.mode == 'lose':
            return attempt.fail(codes.ResultCode.CONNECT_FAILED, 'lost')
        return attempt.complete(200, (), b'%d' % len(self.executed_keys))


class Entry:
    """One incarnation of an entry instance."""

    def __init__(self, site, name, incarnation, claim_store, max_keys):
        self.name = name
        self.incarnation = incarnation
        self.is_reachable = True
        self.budget = budget.ClaimBudget(1000.0)
        store = claim_store(site.tables, self.budget, site.clock)
        self.executor = executor.AtMostOnceExecutor(
            name,
            incarnation,
            (SEALING_KEY,),
            store,
            forwarding.PeerForwarder(site, site.clock),
            site.clock,
            ledger.IdempotencyLedger(max_keys),
        )


class Site:
    """Several entries, and the peer network between them."""

    def __init__(self, claim_store=claims.ClaimStore, max_keys=1000):
        self.tables = tables.MemoryTables()
        self.clock = clocks.ShiftedClock()
        self.endpoint = FakeEndpoint()
        self.send = self.endpoint.send
        self._options = (claim_store, max_keys)
        self.entries = {}
        for name in ('A', 'B', 'C'):
            self.start(name, 1)

    def start(self, name, incarnation):
        """Start an incarnation; an older one keeps running, unreachable."""
        if name in self.entries:
            self.entries[name].is_reachable = False
        entry = Entry(self, name, incarnation, *self._options)
        self.entries[name] = entry
        return entry

    def members(self):
        return [
            membership.Member(each.name, each.incarnation, 'live', '', '', '')
            for each in self.entries.values()
        ]

    async def call(self, instance_id, message, deadline_s=None):
        """Deliver a forwarded call to the reachable incarnation."""
        entry = self.entries[instance_id]
        if not entry.is_reachable:
            raise calls.PeerUnreachable('link closed')
        received = messages.decode(messages.encode(message))
        return await forwarding.answer_forwarded(
            entry.executor, entry.incarnation, received, self._sender
        )

    def _sender(self, call):
        return lambda: self.send(call)

    def make_call(self, key, body=b'body', account='portal', limit_s=5.0):
        """Return a call with a deadline some seconds from now."""
        request = port.PlainRequest(
            'POST',
            '/complaints',
            (('X-Case', '1'),),
            body,
            False,
            time.time() + self.clock.shift_s + limit_s,
        )
        return keyed_calls.KeyedCall(account, key, 'case-status', request)

    async def execute(self, name, call):
        """Send a call to an entry as a caller would."""
        executor_ = self.entries[name].executor
        return await executor_.execute(call, self._sender(call))
