"""Server-sent events, split with bounded memory."""

from __future__ import annotations

from typing import NamedTuple


class EventTooLarge(Exception):
    """An event exceeds its size limit."""


class ServerEvent(NamedTuple):
    """One server-sent event; ``data`` joins its data lines."""

    event_id: str
    name: str
    data: bytes
    is_comment: bool


class EventSplitter:
    """Splits a byte stream into blocks that end with an empty line.

    :param max_event_bytes: limit of one block.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b''

    @property
    def is_empty(self) -> bool:
        """Tell whether no part of a block is held back."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the blocks that a chunk completes.

        :raises EventTooLarge: if a block exceeds the limit.
        """
        if self._rest:
            chunk = self._rest + chunk
        if b'\r' in chunk:
            chunk = chunk.replace(b'\r\n', b'\n')
        blocks = chunk.split(b'\n\n')
        self._rest = blocks.pop()
        if len(self._rest) > self._max_event_bytes:
            raise EventTooLarge()
        if len(chunk) > self._max_event_bytes and any(
            len(block) > self._max_event_bytes for block in blocks
        ):
            raise EventTooLarge()
        return blocks


def parse_block(block: bytes) -> ServerEvent:
    """Return the event in a block; unknown fields are ignored."""
    event_id = name = ''
    data: list[bytes] = []
    lines = block.split(b'\n')
    for line in lines:
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            data.append(value)
        elif field == b'id':
            event_id = value.decode('ascii', 'replace')
        elif field == b'event':
            name = value.decode('ascii', 'replace')
    is_comment = all(line.startswith(b':') for line in lines)
    return ServerEvent(event_id, name, b'\n'.join(data), is_comment)
