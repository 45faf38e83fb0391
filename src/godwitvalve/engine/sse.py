"""Parser of server-sent events with bounded memory."""

from __future__ import annotations

from typing import NamedTuple


class EventTooLarge(Exception):
    """An event exceeds its size limit."""


class ServerEvent(NamedTuple):
    """One server-sent event; ``data`` joins its data lines by newlines."""

    event_id: str
    name: str
    data: bytes
    is_comment: bool


class EventSplitter:
    """Splits a byte stream into blocks that end with an empty line.

    :param max_event_bytes: size limit of one block, in bytes.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._partial = b''

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete block is buffered."""
        return not self._partial

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk and return the blocks that it completes.

        :raises EventTooLarge: if a block exceeds the limit.
        """
        if self._partial:
            chunk = self._partial + chunk
        if b'\r' in chunk:
            chunk = chunk.replace(b'\r\n', b'\n')
        blocks = chunk.split(b'\n\n')
        self._partial = blocks.pop()
        if len(self._partial) > self._max_event_bytes:
            raise EventTooLarge()
        if len(chunk) > self._max_event_bytes and any(
            len(block) > self._max_event_bytes for block in blocks
        ):
            raise EventTooLarge()
        return blocks


def parse_block(block: bytes) -> ServerEvent:
    """Parse a block; unknown fields are ignored."""
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
