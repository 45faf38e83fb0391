"""Splits the body of an event stream into complete events."""

from __future__ import annotations

from collections import abc
import re
from typing import NamedTuple

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?([0-9]+)\r?$', re.MULTILINE)
# Events of the known kinds of requests are under 1 KB.
MAX_EVENT_BYTES = 1024 * 1024


class StreamDamaged(Exception):
    """The stream is not a gapless sequence of numbered events."""


class StreamEvent(NamedTuple):
    """A complete event with the blank line that ends it."""

    event_id: int
    content: bytes


class EventSplitter:
    """Buffers bytes and returns complete events only.

    :param last_event: id of the last event that the caller has.
    """

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self._partial = b''

    @property
    def has_partial(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._partial.strip())

    def discard_partial(self) -> None:
        """Discard an event that was cut off."""
        self._partial = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes, without repeats.

        :raises StreamDamaged: if an event has no id or one is missing.
        """
        self._partial += data
        return list(self._complete_events())

    def _complete_events(self) -> abc.Iterator[StreamEvent]:
        while end := _EVENT_END.search(self._partial):
            content = self._partial[: end.end()]
            self._partial = self._partial[end.end() :]
            event_id = _identify(content)
            if event_id <= self.last_event:
                continue
            if event_id != self.last_event + 1:
                raise StreamDamaged(
                    f'event {event_id} after {self.last_event}'
                )
            self.last_event = event_id
            yield StreamEvent(event_id, content)
        if len(self._partial) > MAX_EVENT_BYTES:
            raise StreamDamaged('event too large')


def _identify(content: bytes) -> int:
    found = _EVENT_ID.search(content)
    if found is None:
        raise StreamDamaged('event without id')
    return int(found[1])
