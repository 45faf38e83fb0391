"""Splits the body of an event stream into complete events."""

from __future__ import annotations

from collections import abc
import re
from typing import NamedTuple

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?([0-9]{1,18})\r?$', re.MULTILINE)
_FIELD = re.compile(rb'^[^:\r\n]', re.MULTILINE)
# Events of the known kinds of requests are under 1 KB.
MAX_EVENT_BYTES = 1024 * 1024
# Comments and repeated events between two new events. Comments that keep a
# connection open come about every second.
MAX_SKIPPED_BYTES = 64 * 1024
# Least count for one comment or blank line, for the work it makes.
MIN_SKIPPED_BYTES = 64
# Length of the longest event end, less one.
_EVENT_END_OVERLAP = 3


class _Damaged(Exception):
    """The stream is not a gapless sequence of numbered events."""


class StreamEvent(NamedTuple):
    """A complete event with the blank line that ends it."""

    event_id: int
    content: bytes


class CompleteEvents(NamedTuple):
    """What a read completed.

    :param events: new events; they count as delivered from now on, also if
        the stream is damaged after them.
    :param damage: why the attempt can't go on; empty if it can.
    """

    events: list[StreamEvent]
    damage: str = ''


class EventSplitter:
    """Buffers bytes and returns complete events only.

    :param last_event: id of the last event that the caller has.
    """

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self._partial = bytearray()
        self._last_repeated = 0
        self._skipped_bytes = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._partial.strip())

    def discard_partial(self) -> None:
        """Discard an event that was cut off, at the end of an attempt."""
        self._partial.clear()
        self._last_repeated = 0
        self._skipped_bytes = 0

    def feed(self, data: bytes) -> CompleteEvents:
        """Return the events that ``data`` completes, without repeats.

        Comments and blank lines between events are skipped. The stream is
        damaged if an event has no id, one is missing, or too many bytes bring
        no new event.
        """
        searched_bytes = max(len(self._partial) - _EVENT_END_OVERLAP, 0)
        self._partial += data
        complete: list[StreamEvent] = []
        try:
            for event in self._complete_events(searched_bytes):
                complete.append(event)
        except _Damaged as damage:
            return CompleteEvents(complete, str(damage))
        return CompleteEvents(complete)

    def _complete_events(
        self, searched_bytes: int
    ) -> abc.Iterator[StreamEvent]:
        begin = 0
        try:
            while end := _EVENT_END.search(
                self._partial, max(begin, searched_bytes)
            ):
                content = bytes(self._partial[begin : end.end()])
                begin = end.end()
                if self._is_new(content):
                    yield StreamEvent(self.last_event, content)
        finally:
            del self._partial[:begin]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise _Damaged('event too large')

    def _is_new(self, content: bytes) -> bool:
        """Tell whether the bytes are the event after the last one."""
        if _FIELD.search(content) is None:
            self._skip(len(content))
            return False
        event_id = _identify(content)
        if event_id > self.last_event + 1:
            raise _Damaged(f'event {event_id} after {self.last_event}')
        if event_id <= self.last_event:
            # An endpoint that starts over sends each earlier event once.
            if event_id <= self._last_repeated:
                self._skip(len(content))
            self._last_repeated = max(self._last_repeated, event_id)
            return False
        self.last_event = event_id
        self._skipped_bytes = 0
        return True

    def _skip(self, size_bytes: int) -> None:
        self._skipped_bytes += max(size_bytes, MIN_SKIPPED_BYTES)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise _Damaged('too many bytes without a new event')


def _identify(content: bytes) -> int:
    found = _EVENT_ID.search(content)
    if found is None:
        raise _Damaged('event without id')
    return int(found[1])
