"""Node of the peer network: flooding, requests and membership."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib

from godwitvalve import clock as clock_model
from godwitvalve.logs import setup as logs
from godwitvalve.peers import calls as calls_model
from godwitvalve.peers import connector as connector_model
from godwitvalve.peers import envelopes
from godwitvalve.peers import flood
from godwitvalve.peers import link as link_model
from godwitvalve.peers import membership
from godwitvalve.peers import messages
from godwitvalve.peers import traffic as traffic_model
from godwitvalve.peers import tree
from godwitvalve.store import port as store_port

CALL_TIMEOUT_S = 5.0
# Sent periodically by every instance; each report replaces the one before.
PERIODIC_REPORTS = (messages.DemandReport, messages.EvidenceReport)
_MAX_AGE_MS = 24 * 3600 * 1000
_LOG = logs.get('peers')

Handler = abc.Callable[[str, messages.Message], None]
ConnectedHandler = abc.Callable[[str], None]


class PeerNode:
    """Connects one entry instance with the others.

    :param peer_address: ``host:port`` to listen on; port 0 selects a free
        port.
    :param key: key shared by all entry instances.
    :param address: ``host:port`` for callers, sent to the other instances.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        failure_domain: str,
        peer_address: str,
        key: bytes,
        clock: clock_model.Clock,
        address: str = '',
    ) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.peer_address = peer_address
        self.traffic = traffic_model.Traffic()
        self._clock = clock
        self._membership = membership.Membership(
            messages.MemberFact(
                instance_id,
                incarnation,
                membership.LIVE,
                address,
                peer_address,
                failure_domain,
            )
        )
        self._calls = calls_model.Calls(clock)
        self._connector = connector_model.Connector(
            self._membership,
            key,
            clock,
            self.traffic,
            self._calls,
            self._receive,
            self._connected,
            self._disconnected,
            self._refused,
        )
        self._links = self._connector.links
        self._filter = flood.FloodFilter()
        self._tree: tree.ReportTree[link_model.PeerLink] = tree.ReportTree(
            instance_id
        )
        self._report_count = 0
        self._sequence = 0
        self._handlers: dict[type[messages.Message], list[Handler]] = {}
        self._connected_handlers: list[ConnectedHandler] = []
        self._refused_handlers: list[ConnectedHandler] = []

    async def start(self) -> None:
        """Start listening for peers and connecting to them."""
        self.peer_address = await self._connector.start(self.peer_address)
        self._membership.own = self._membership.own._replace(
            peer_address=self.peer_address
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    def update_members(self, listed: list[store_port.ListedInstance]) -> None:
        """Replace the platform's list with its current content."""
        self._membership.update_listed(listed)

    def members(self) -> list[membership.Member]:
        """Return the live and leaving entry instances, including this one."""
        return self._membership.members(self._clock.monotonic_s())

    @property
    def is_superseded(self) -> bool:
        """Return whether a newer incarnation of this instance exists."""
        return self._membership.is_superseded

    def connected_instances(self) -> list[str]:
        """Return the ids of the instances with an open overlay link."""
        return self._links.overlay_ids()

    def on(self, kind: type[messages.Message], handler: Handler) -> None:
        """Add a handler for flooded and direct messages of a type.

        It is called with the instance id of the origin and the message.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def on_request(
        self,
        kind: type[messages.Message],
        handler: calls_model.RequestHandler,
    ) -> None:
        """Set the handler that answers requests of a message type."""
        self._calls.on_request(kind, handler)

    def on_connected(self, handler: ConnectedHandler) -> None:
        """Add a handler for new overlay links.

        It is called with the instance id of the peer.
        """
        self._connected_handlers.append(handler)

    def on_refused(self, handler: ConnectedHandler) -> None:
        """Add a handler for peers that refuse connections.

        It is called with the instance id of a peer that refused at all of
        its addresses, so that no process listens there.
        """
        self._refused_handlers.append(handler)

    def announce_leaving(self) -> None:
        """Notify all instances that this one is draining."""
        self._send_fact(self._membership.leave(), None)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every instance, with duplicates suppressed.

        Periodic reports use the report tree, so that some instances may
        miss a few of them after links have changed. Other messages are
        flooded over all links.

        :raises MessageError: if the message exceeds its size limit.
        """
        self._sequence += 1
        flooded = envelopes.Flooded(
            self.instance_id,
            self.incarnation,
            self._sequence,
            self._choose_spread(message),
            0,
            message,
        )
        self._filter.is_new(*flooded[:3])
        self._forward(flooded, None)

    def _choose_spread(self, message: messages.Message) -> envelopes.Spread:
        if not isinstance(message, PERIODIC_REPORTS):
            return envelopes.Spread.ALL
        self._report_count += 1
        if self._report_count % tree.REFRESH_EVERY == 1:
            return envelopes.Spread.REFRESH
        return envelopes.Spread.WANTED

    def send(self, instance_id: str, message: messages.Message) -> bool:
        """Send a message over an open link.

        :returns: whether there was a link that accepted the message.
        """
        link = self._links.find(instance_id)
        return link is not None and link.send(envelopes.Direct(message))

    async def call(
        self,
        instance_id: str,
        message: messages.Message,
        deadline_s: float | None = None,
    ) -> messages.Message:
        """Send a request to an instance and wait for the answer.

        The instance is dialled if there is no open link to it.

        :param deadline_s: monotonic seconds; ``CALL_TIMEOUT_S`` from now
            if None.
        :raises PeerUnreachable: if no answer arrived.
        :raises MessageError: if the message exceeds its size limit.
        """
        now_s = self._clock.monotonic_s()
        if deadline_s is None:
            deadline_s = now_s + CALL_TIMEOUT_S
        link = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline_s - now_s):
                link = await self._connector.link_to(instance_id)
        if link is None:
            raise calls_model.PeerUnreachable(f'cannot reach {instance_id}')
        return await self._calls.call(link, message, deadline_s)

    def _receive(
        self, link: link_model.PeerLink, envelope: envelopes.Envelope
    ) -> None:
        match envelope:
            case envelopes.Request():
                self._calls.serve(link, envelope)
            case envelopes.Answer():
                self._calls.handle_answer(link, envelope)
            case envelopes.Direct(messages.PruneReports(origin)):
                self._tree.handle_prune(link, origin)
            case envelopes.Direct(messages.RestoreReports()):
                self._tree.handle_restore(link)
            case envelopes.Direct(message):
                aged = _add_age(message, link.age_bound_s())
                self._deliver(link.peer.instance_id, aged, link)
            case envelopes.Flooded():
                self._receive_flooded(link, envelope)

    def _receive_flooded(
        self, link: link_model.PeerLink, flooded: envelopes.Flooded
    ) -> None:
        is_report = flooded.spread is not envelopes.Spread.ALL
        if not self._filter.is_new(*flooded[:3]):
            self.traffic.duplicates_in += 1
            if is_report and self._tree.should_prune(link, flooded.origin):
                prune = messages.PruneReports(flooded.origin)
                link.send(envelopes.Direct(prune))
            return
        if is_report:
            is_refresh = flooded.spread is envelopes.Spread.REFRESH
            self._tree.record_first_copy(link, flooded.origin, is_refresh)
        added_ms = int(link.age_bound_s() * 1000) + 1
        age_ms = min(_MAX_AGE_MS, flooded.age_ms + added_ms)
        flooded = flooded._replace(age_ms=age_ms)
        self._forward(flooded, link)
        aged = _add_age(flooded.message, age_ms / 1000)
        self._deliver(flooded.origin, aged, None)

    def _forward(
        self,
        flooded: envelopes.Flooded,
        source: link_model.PeerLink | None,
    ) -> None:
        encoded = envelopes.encode(flooded)
        by_tree = flooded.spread is envelopes.Spread.WANTED
        for link in self._links.overlay():
            if link is source:
                continue
            if not by_tree or self._tree.is_wanted(link, flooded.origin):
                link.send_encoded(encoded)

    def _connected(self, link: link_model.PeerLink) -> None:
        for fact in self._membership.facts():
            link.send(envelopes.Direct(fact))
        for handler in self._connected_handlers:
            self._call_handler(handler, link.peer.instance_id)

    def _refused(self, instance_id: str) -> None:
        for handler in self._refused_handlers:
            self._call_handler(handler, instance_id)

    def _disconnected(self, link: link_model.PeerLink) -> None:
        self._tree.link_closed(link)
        for other in self._links.overlay():
            other.send(envelopes.Direct(messages.RestoreReports()))

    def _send_fact(
        self, fact: messages.MemberFact, source: link_model.PeerLink | None
    ) -> None:
        for link in self._links.overlay():
            if link is not source:
                link.send(envelopes.Direct(fact))

    def _deliver(
        self,
        origin: str,
        message: messages.Message,
        source: link_model.PeerLink | None,
    ) -> None:
        if isinstance(message, messages.MemberFact):
            # Only new facts are forwarded, so each instance sends each
            # fact at most once over each link.
            now_s = self._clock.monotonic_s()
            if self._membership.apply(message, now_s):
                self._send_fact(message, source)
        for handler in self._handlers.get(type(message), ()):
            self._call_handler(handler, origin, message)

    def _call_handler(
        self, handler: abc.Callable[..., None], *args: object
    ) -> None:
        try:
            handler(*args)
        except Exception:
            _LOG.exception('Handler of a peer message failed.')


def _add_age(message: messages.Message, age_s: float) -> messages.Message:
    if isinstance(message, messages.Freshness):
        return message._replace(age_s=message.age_s + age_s)
    if isinstance(message, messages.LastSeenAges):
        return message._replace(transit_s=age_s)
    return message
