"""Bytes that a node has exchanged with its peers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Traffic:
    """Bytes of frames and handshakes, without TCP and IP headers."""

    bytes_in: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    duplicates_in: int = 0
    rejected_connections: int = 0
    silent_connections: int = 0
