"""Connection management of a node: accepts, dials and serves links."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve import clock as clock_model
from godwitvalve.logs import setup as logs
from godwitvalve.peers import calls as calls_model
from godwitvalve.peers import connect
from godwitvalve.peers import handshake
from godwitvalve.peers import link as link_model
from godwitvalve.peers import links as links_model
from godwitvalve.peers import membership as membership_model
from godwitvalve.peers import overlay
from godwitvalve.peers import reach
from godwitvalve.peers import traffic as traffic_model

MAX_CONCURRENT_HANDSHAKES = 64
_MAINTENANCE_INTERVAL_S = 0.25
# The instance with the smaller id dials at once. The other one dials only
# after this delay, so that both rarely open a connection to each other.
_DIAL_DELAY_S = 1.0
# A dialled link that closes within this time counts as a failed attempt.
_SHORT_LIVED_LINK_S = 1.0
_LOG = logs.get('peers')

LinkHandler = abc.Callable[[link_model.PeerLink], None]


class Connector:
    """Opens, accepts and closes the links of a node.

    :param key: key shared by all entry instances.
    :param receive: called with each envelope that a link receives.
    :param connected: called with each new overlay link.
    :param disconnected: called with each overlay link that has closed.
    :param on_refused: called with the id of each instance that refused a
        connection at all of its addresses.
    """

    def __init__(
        self,
        membership: membership_model.Membership,
        key: bytes,
        clock: clock_model.Clock,
        traffic: traffic_model.Traffic,
        calls: calls_model.Calls,
        receive: link_model.Receiver,
        connected: LinkHandler,
        disconnected: LinkHandler,
        on_refused: abc.Callable[[str], None],
    ) -> None:
        self.links = links_model.LinkTable()
        self._membership = membership
        self._key = key
        self._clock = clock
        self._traffic = traffic
        self._calls = calls
        self._receive = receive
        self._connected = connected
        self._disconnected = disconnected
        self._on_refused = on_refused
        self._reachability = reach.Reachability()
        self._wanted_since_s: dict[str, float] = {}
        self._dialling: dict[
            tuple[str, bool], asyncio.Task[link_model.PeerLink | None]
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Start listening for peers and connecting to them.

        :param address: ``host:port`` to listen on; port 0 selects a free
            port.
        :returns: the address with the actual port.
        """
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host.strip('[]'), int(port)
        )
        self._start_task(self._maintain())
        bound = self._server.sockets[0].getsockname()[1]
        return f'{host}:{bound}'

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        pending = [*self._tasks, *self._dialling.values()]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        for link in self.links.all():
            link.close()

    async def link_to(self, instance_id: str) -> link_model.PeerLink | None:
        """Return an open link to an instance, dialling it if necessary.

        :returns: None if the instance cannot be reached.
        """
        link = self.links.find(instance_id)
        return link or await self._dial_once(instance_id, False)

    @property
    def _own_id(self) -> str:
        return self._membership.own.instance_id

    def _hello(self, is_overlay: bool) -> handshake.Hello:
        own = self._membership.own
        return handshake.new_hello(
            own.instance_id, own.incarnation, is_overlay
        )

    def _start_task(self, work: abc.Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._accepting >= MAX_CONCURRENT_HANDSHAKES:
            writer.transport.abort()
            return
        self._accepting += 1
        hello = self._hello(True)
        try:
            connection = await connect.accept(
                reader, writer, hello, self._key, self._traffic
            )
        except (OSError, TimeoutError, handshake.HandshakeError) as error:
            self._traffic.rejected_connections += 1
            writer.transport.abort()
            _LOG.warning('Incoming connection was rejected. %s', error)
            return
        finally:
            self._accepting -= 1
        self._register(connection)

    async def _dial_once(
        self, instance_id: str, is_overlay: bool
    ) -> link_model.PeerLink | None:
        """Dial a peer, or await the attempt already in progress."""
        key = (instance_id, is_overlay)
        task = self._dialling.get(key)
        if task is None:
            task = asyncio.create_task(self._dial(instance_id, is_overlay))
            self._dialling[key] = task
            task.add_done_callback(lambda _: self._dialling.pop(key, None))
        return await asyncio.shield(task)

    async def _dial(
        self, instance_id: str, is_overlay: bool
    ) -> link_model.PeerLink | None:
        addresses = self._membership.peer_addresses(instance_id)
        refusals = 0
        for address in addresses:
            hello = self._hello(is_overlay)
            try:
                connection = await connect.dial(
                    address, hello, self._key, self._traffic
                )
            except (OSError, TimeoutError, handshake.HandshakeError) as error:
                _LOG.info('Cannot connect to %s. %s', instance_id, error)
                refusals += isinstance(error, ConnectionRefusedError)
                continue
            if connection.peer.instance_id != instance_id:
                connection.writer.transport.abort()
                continue
            self._reachability.record_success(instance_id)
            return self._register(connection)
        self._reachability.record_failure(
            instance_id, self._clock.monotonic_s()
        )
        if addresses and refusals == len(addresses):
            # A refused connection proves that no process listens there;
            # after a time-out the instance may still be running.
            self._on_refused(instance_id)
        return None

    def _register(
        self, connection: connect.Connection
    ) -> link_model.PeerLink | None:
        link = link_model.PeerLink(
            connection, self._clock, self._traffic, self._receive
        )
        newer = self._membership.find_superseding(link.peer)
        if newer is not None:
            link.reject(newer)
            return None
        if link.peer.instance_id == self._own_id or not self.links.add(link):
            link.close()
            return None
        self._reachability.record_success(link.peer.instance_id)
        self._start_task(self._serve(link))
        return link

    async def _serve(self, link: link_model.PeerLink) -> None:
        peer_id = link.peer.instance_id
        if link.peer.is_overlay:
            self._connected(link)
        try:
            await link.run()
        except link_model.LinkClosed as error:
            _LOG.info('Link to %s closed. %s', peer_id, error)
        finally:
            self.links.remove(link)
            self._calls.link_closed(link)
            if link.peer.is_overlay:
                self._disconnected(link)
            now_s = self._clock.monotonic_s()
            if link.is_dialled and now_s - link.opened_s < _SHORT_LIVED_LINK_S:
                # The peer rejected the link, so back off before dialling it
                # again.
                self._reachability.record_failure(peer_id, now_s)

    async def _maintain(self) -> None:
        chosen_from: set[str] = set()
        wanted: frozenset[str] = frozenset()
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            if self._membership.is_superseded:
                continue
            now_s = self._clock.monotonic_s()
            reachable = self._reachable(now_s)
            if reachable != chosen_from:
                chosen_from = reachable
                wanted = overlay.choose_peers(self._own_id, reachable)
            self._dial_wanted(wanted, now_s)
            self.links.close_unwanted(wanted, self._calls, now_s)

    def _reachable(self, now_s: float) -> set[str]:
        others = {
            each.instance_id
            for each in self._membership.members(now_s)
            if each.instance_id != self._own_id
        }
        self._reachability.keep_only(others)
        return {
            each
            for each in others
            if not self._reachability.is_excluded(each)
            or self.links.find(each) is not None
        }

    def _dial_wanted(self, wanted: frozenset[str], now_s: float) -> None:
        missing = {
            each for each in wanted if self.links.find_overlay(each) is None
        }
        self._wanted_since_s = {
            each: self._wanted_since_s.get(each, now_s) for each in missing
        }
        due = [
            each
            for each, since_s in self._wanted_since_s.items()
            if self._own_id < each or now_s - since_s >= _DIAL_DELAY_S
        ]
        for instance_id in [*due, *self._reachability.excluded()]:
            is_idle = (instance_id, True) not in self._dialling
            if is_idle and self._reachability.may_dial(instance_id, now_s):
                self._start_task(self._dial_overlay(instance_id))

    async def _dial_overlay(self, instance_id: str) -> None:
        await self._dial_once(instance_id, True)
