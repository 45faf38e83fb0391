"""Decides which bodies of requests are in memory; performs no input."""

from __future__ import annotations

from collections import abc
import enum
import itertools
from typing import NamedTuple

from godwitvalve.forwarding import uploads

# Bodies of this size never wait: a thousand of them take 16 MB, and most
# calls are far smaller.
SMALL_BODY_BYTES = 16 * 1024
# Bytes that are copied at most to send a body, for the part of it that the
# connection to the endpoint buffers.
SEND_BYTES = 128 * 1024
# Room of stalled uploads is looked for this often at most, however many
# bodies wait. An upload is judged by a quarter of a second.
RECLAIM_PERIOD_S = 0.05


class Answer(enum.Enum):
    """What follows for a body that asks for room."""

    GRANTED = enum.auto()
    WAIT = enum.auto()
    REFUSED = enum.auto()


class _Request(NamedTuple):
    """A body that waits for room.

    :param on_decision: called once with whether there is room.
    """

    size_bytes: int
    on_decision: abc.Callable[[bool], None]


class BodyMemory:
    """Bounds the sum of the bodies of all requests.

    Load pattern: a burst of 34 callers that each send a body of 3.9 MB. All
    of them together would exceed the memory of the machine, so those that do
    not fit wait in order of arrival, and their callers are not read
    meanwhile. A body of unknown length asks again as it grows, ahead of new
    ones. Two growing bodies could wait for each other, so at most one waits:
    the younger of two is refused, which makes room for the older one.
    Uploads that stall keep room for what has arrived only.

    :param limit_bytes: greatest sum, with what is copied to send.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held_bytes: dict[abc.Hashable, int] = {}
        self._ages: dict[abc.Hashable, int] = {}
        self._growing: dict[abc.Hashable, _Request] = {}
        self._new: dict[abc.Hashable, _Request] = {}
        self._uploads: dict[abc.Hashable, uploads.Upload] = {}
        self._numbers = itertools.count()
        self._reclaim_from_s = float('-inf')

    @property
    def longest_bytes(self) -> int:
        """Return the length of the longest body that can ever fit."""
        return self.limit_bytes - SEND_BYTES

    def ask(
        self,
        holder: abc.Hashable,
        size_bytes: int,
        on_decision: abc.Callable[[bool], None],
    ) -> Answer:
        """Ask for room for a body that is this large or becomes it.

        :param on_decision: called if the body has to wait, at once or later.
        """
        counted_bytes = counted(size_bytes)
        if counted_bytes > self.limit_bytes:
            return Answer.REFUSED
        if size_bytes <= SMALL_BODY_BYTES:
            self._hold(holder, counted_bytes)
            return Answer.GRANTED
        request = _Request(counted_bytes, on_decision)
        if holder in self._held_bytes:
            return self._ask_to_grow(holder, request)
        if self._growing or self._new or not self._fits(holder, request):
            self._new[holder] = request
            return Answer.WAIT
        self._hold(holder, counted_bytes)
        return Answer.GRANTED

    def _ask_to_grow(self, holder: abc.Hashable, request: _Request) -> Answer:
        if not self._growing and self._fits(holder, request):
            self._hold(holder, request.size_bytes)
            return Answer.GRANTED
        others = list(self._growing)
        if any(self._ages[each] < self._ages[holder] for each in others):
            self.release(holder)
            return Answer.REFUSED
        self._growing[holder] = request
        for each in others:
            refused = self._growing[each]
            self.release(each)
            refused.on_decision(False)
        return Answer.WAIT

    def add_upload(self, holder: abc.Hashable, upload: uploads.Upload) -> None:
        """Watch the arrival of a body that has room."""
        self._uploads[holder] = upload

    def reclaim(self, now_s: float) -> None:
        """Take the room from stalled uploads that they don't use yet.

        They ask again as they go on. Called while another body waits, by
        each that waits; one look within the period serves them all.
        """
        if now_s < self._reclaim_from_s:
            return
        self._reclaim_from_s = now_s + RECLAIM_PERIOD_S
        for holder, upload in self._uploads.items():
            room_bytes = upload.arrived_bytes + SMALL_BODY_BYTES
            if room_bytes < upload.room_bytes and upload.is_stalled(now_s):
                upload.room_bytes = room_bytes
                self._hold(holder, counted(room_bytes))
        self._decide()

    def resize(self, limit_bytes: int) -> None:
        """Set the greatest sum; bodies that wait may fit now."""
        self.limit_bytes = limit_bytes
        self._decide()

    def shrink(self, holder: abc.Hashable, size_bytes: int) -> None:
        """Set the size of a body that is complete."""
        self._uploads.pop(holder, None)
        if counted(size_bytes) < self._held_bytes.get(holder, 0):
            self._hold(holder, counted(size_bytes))
            self._decide()

    def release(self, holder: abc.Hashable) -> None:
        """Forget a body, or a wait for its room."""
        self._uploads.pop(holder, None)
        self._growing.pop(holder, None)
        self._new.pop(holder, None)
        self._ages.pop(holder, None)
        self.total_bytes -= self._held_bytes.pop(holder, 0)
        self._decide()

    def _fits(self, holder: abc.Hashable, request: _Request) -> bool:
        added_bytes = request.size_bytes - self._held_bytes.get(holder, 0)
        return self.total_bytes + added_bytes <= self.limit_bytes

    def _hold(self, holder: abc.Hashable, counted_bytes: int) -> None:
        self._ages.setdefault(holder, next(self._numbers))
        self.total_bytes += counted_bytes - self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = counted_bytes

    def _decide(self) -> None:
        for waiting in (self._growing, self._new):
            for holder, request in list(waiting.items()):
                if not self._fits(holder, request):
                    return
                del waiting[holder]
                self._hold(holder, request.size_bytes)
                request.on_decision(True)


def counted(size_bytes: int) -> int:
    """Return the bytes that a body takes until its request ends."""
    if size_bytes <= SMALL_BODY_BYTES:
        return size_bytes
    return size_bytes + min(size_bytes, SEND_BYTES)
