"""Fetches parts of the text from other entries."""

from __future__ import annotations

from collections.abc import Mapping
import itertools

from godwitvalve.peers import calls
from godwitvalve.peers import messages
from godwitvalve.peers import node as peer_nodes

# Peers that are queried for parts before the object store.
MAX_PEERS_QUERIED = 2


class PeerPartSource:
    """Fetches parts of the text from connected entries."""

    def __init__(self) -> None:
        self.node: peer_nodes.PeerNode | None = None

    async def fetch_parts(self, hashes: frozenset[str]) -> Mapping[str, bytes]:
        """Return the parts that peers have, by content hash."""
        found: dict[str, bytes] = {}
        if self.node is None:
            return found
        connected = self.node.connected_instances()
        for instance_id in itertools.islice(connected, MAX_PEERS_QUERIED):
            missing = tuple(sorted(hashes - found.keys()))
            if not missing:
                break
            try:
                response = await self.node.call(
                    instance_id, messages.PartsRequest(missing)
                )
            except (calls.PeerUnreachable, messages.MessageError):
                continue
            if isinstance(response, messages.PartsResponse):
                found.update(response.parts)
        return found
