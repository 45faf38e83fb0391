"""Network of peer nodes within one process."""

from __future__ import annotations

import asyncio

from features.doubles import aio
from godwitvalve import clock
from godwitvalve.peers import messages
from godwitvalve.peers import node
from godwitvalve.store import port

KEY = b'k' * 32


class PeerNet:
    """Nodes by name, with the messages that each has received."""

    def __init__(self):
        self.nodes = {}
        self.received = {}
        self.listed = {}

    async def start(self, name, incarnation=1, key=KEY, node_kind=None):
        """Start a node and add it to the platform's list."""
        kind = node_kind or node.PeerNode
        peer = kind(
            name,
            incarnation,
            'fd-1',
            '127.0.0.1:0',
            key,
            clock.SystemClock(),
            f'127.0.0.1:{9000 + len(self.nodes)}',
        )
        await peer.start()
        self.nodes[name] = peer
        self.received[name] = []
        for message_type in (messages.HeadAnnounced, messages.Freshness):
            peer.on(
                message_type,
                lambda origin, message: self.received[name].append(
                    (origin, message)
                ),
            )
        self.list_as(name, 'live')
        return peer

    def list_as(self, name, state, address=None):
        """Set the state of an instance in the platform's list."""
        peer_address = address or self.nodes[name].peer_address
        self.listed[name] = port.ListedInstance(
            name, 'entry', '', peer_address, 'fd-1', '', '', state
        )

    def publish(self):
        """Send the platform's list to all nodes."""
        for peer in self.nodes.values():
            peer.update_members(list(self.listed.values()))

    async def connect(self):
        """Publish the list and wait until all nodes know all incarnations."""
        self.publish()
        names = set(self.nodes)

        def is_connected():
            return all(
                {
                    each.instance_id
                    for each in peer.members()
                    if each.incarnation
                }
                == names
                for peer in self.nodes.values()
            )

        await aio.until(is_connected)

    async def close(self):
        await asyncio.gather(*(peer.close() for peer in self.nodes.values()))
