"""Traffic counters of a node."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Traffic:
    """Counts what a node has exchanged with its peers.

    Bytes include frames and handshakes but no TCP and IP headers.

    :param duplicates_in: flooded messages received more than once.
    :param rejected_connections: incoming connections whose handshake failed.
    :param silent_connections: links closed because no data arrived.
    """

    bytes_in: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    duplicates_in: int = 0
    rejected_connections: int = 0
    silent_connections: int = 0
