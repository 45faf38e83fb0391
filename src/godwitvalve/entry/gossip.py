"""Sends this entry's reports to its peers and dispatches theirs."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgpack

from godwitvalve.entry import call_sender
from godwitvalve.entry import context as contexts
from godwitvalve.entry import freshness
from godwitvalve.entry import move_watch
from godwitvalve.idempotency import forwarding
from godwitvalve.limits import model as limit_model
from godwitvalve.limits import shares as account_shares
from godwitvalve.logs import setup as logs
from godwitvalve.moves import evidence_rows
from godwitvalve.moves import verdict_rows
from godwitvalve.peers import messages
from godwitvalve.text import head as text_head

EVIDENCE_INTERVAL_S = 1.0

_LOG = logs.get('gossip')


class Gossip:
    """Exchanges reports, heads, verdicts and forwarded calls with peers."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._sender = call_sender.CallSender(context)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._announced_revision = 0
        self._freshness = freshness.FreshnessExchange(
            context.refresher.tracker
        )

    def register(self) -> None:
        """Register the handlers of all peer messages."""
        node = self._context.node
        node.on(messages.HeadAnnounced, self._handle_head)
        node.on(messages.LastSeenAges, self._handle_ages)
        node.on(messages.EvidenceReport, self._handle_evidence)
        node.on(messages.VerdictAnnounced, self._handle_verdict)
        node.on(messages.DemandReport, self._handle_demand)
        node.on_connected(self._send_initial_state)
        node.on_refused(self._mark_not_running)
        node.on_request(messages.PartsRequest, self._handle_parts_request)
        node.on_request(messages.ForwardCall, self._handle_forwarded_call)

    async def run(self) -> None:
        """Send reports until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_ages())
            group.create_task(self._send_evidence())
            group.create_task(self._send_demand())

    def announce_head(self, head: text_head.Head) -> None:
        """Broadcast a head unless it was broadcast or received before."""
        if head.revision <= self._announced_revision:
            return
        self._announced_revision = head.revision
        self._context.node.broadcast(
            messages.HeadAnnounced(head.revision, text_head.encode(head))
        )

    async def _send_ages(self) -> None:
        context = self._context
        while True:
            neighbours = context.node.connected_instances()
            now_s = context.clock.monotonic_s()
            for neighbour, message in self._freshness.messages_for(
                neighbours, now_s
            ):
                context.node.send(neighbour, message)
            await asyncio.sleep(freshness.INTERVAL_S)

    async def _send_evidence(self) -> None:
        context = self._context
        while True:
            moves = context.move_tracker.active_moves()
            if moves:
                self._report_evidence({moving.service for moving in moves})
            await asyncio.sleep(EVIDENCE_INTERVAL_S)

    def _report_evidence(self, services: set[str]) -> None:
        context = self._context
        now_wall_s = context.clock.wall_s()
        report = context.move_tracker.evidence.report(now_wall_s, services)
        if not report.buckets:
            return
        context.node.broadcast(
            messages.EvidenceReport(
                report.origin,
                report.incarnation,
                report.sequence,
                msgpack.packb(report),
            )
        )

    async def _send_demand(self) -> None:
        while True:
            self._report_demand()
            await asyncio.sleep(account_shares.REPORT_INTERVAL_S)

    def _report_demand(self) -> None:
        context = self._context
        demands = context.admission.demands()
        now_s = context.clock.monotonic_s()
        if context.shares.may_skip_report(demands, now_s):
            return
        report = context.shares.make_report(demands, now_s)
        context.node.broadcast(
            messages.DemandReport(
                report.origin,
                report.incarnation,
                report.sequence,
                msgpack.packb(report),
            )
        )

    def _send_initial_state(self, instance_id: str) -> None:
        """Send the head and all verdicts to a newly connected peer."""
        context = self._context
        head = context.refresher.tracker.head
        if head is not None:
            context.node.send(
                instance_id,
                messages.HeadAnnounced(head.revision, text_head.encode(head)),
            )
        for row in context.move_tracker.verdicts.rows():
            context.node.send(
                instance_id,
                move_watch.to_message(row),
            )

    def _mark_not_running(self, instance_id: str) -> None:
        context = self._context
        context.shares.mark_not_running(
            instance_id, context.clock.monotonic_s()
        )

    def _handle_head(self, origin: str, message: messages.Message) -> None:
        assert isinstance(message, messages.HeadAnnounced)
        try:
            head = text_head.decode(message.head)
        except text_head.HeadError as error:
            _LOG.warning(
                'Ignored a malformed head from %s: %s.', origin, error
            )
            return
        self._announced_revision = max(self._announced_revision, head.revision)
        self._start_task(self._context.refresher.offer_from_peer(head))

    def _handle_ages(self, origin: str, message: messages.Message) -> None:
        assert isinstance(message, messages.LastSeenAges)
        now_s = self._context.clock.monotonic_s()
        self._freshness.handle_message(origin, message, now_s)

    def _handle_evidence(self, origin: str, message: messages.Message) -> None:
        assert isinstance(message, messages.EvidenceReport)
        try:
            report = evidence_rows.report_from_wire(
                messages.unpack_values(message.report)
            )
        except (ValueError, messages.MessageError) as error:
            _LOG.warning(
                'Ignored a malformed evidence report from %s: %s.',
                origin,
                error,
            )
            return
        if report.origin == origin:
            self._context.move_tracker.evidence.merge(report)

    def _handle_verdict(self, origin: str, message: messages.Message) -> None:
        assert isinstance(message, messages.VerdictAnnounced)
        try:
            row = verdict_rows.decode(message.row)
        except ValueError as error:
            _LOG.warning(
                'Ignored a malformed verdict from %s: %s.', origin, error
            )
            return
        self._context.move_tracker.verdicts.merge(row)

    def _handle_demand(self, origin: str, message: messages.Message) -> None:
        assert isinstance(message, messages.DemandReport)
        try:
            report = limit_model.report_from_wire(
                messages.unpack_values(message.report)
            )
        except (ValueError, messages.MessageError) as error:
            _LOG.warning(
                'Ignored a malformed demand report from %s: %s.', origin, error
            )
            return
        if report.origin == origin:
            now_s = self._context.clock.monotonic_s()
            self._context.shares.receive(report, now_s)

    async def _handle_parts_request(
        self, origin: str, message: messages.Message
    ) -> messages.Message:
        assert isinstance(message, messages.PartsRequest)
        parts = (
            (item, self._context.refresher.part(item))
            for item in message.hashes
        )
        return messages.PartsResponse(
            tuple((item, body) for item, body in parts if body is not None)
        )

    async def _handle_forwarded_call(
        self, origin: str, message: messages.Message
    ) -> messages.Message:
        assert isinstance(message, messages.ForwardCall)
        context = self._context
        return await forwarding.answer_forwarded(
            context.executor, context.incarnation, message, self._sender.bind
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
