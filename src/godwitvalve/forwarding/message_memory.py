"""Limit of the memory that requests and answers take together."""

from __future__ import annotations

from typing import Protocol

from godwitvalve.forwarding import body_memory

# Shares of the machine's memory. The process itself takes 30 to 60 MB of the
# 128 MB of the smallest machine. The rest is for what each connection
# buffers before a message is counted, up to 260 KB with the kernel's part.
ANSWER_SHARE = 0.125
BODY_SHARE = 0.25
MIN_LIMIT_BYTES = 4 * 1024 * 1024
# Answers of at least this share of the largest one are the large ones.
LARGE_SHARE = 0.5


class Holder(Protocol):
    """Owner of the bytes of one answer that its caller does not have."""

    def abort_for_memory(self) -> None:
        """Give up the answer and release its bytes."""


class MessageMemory:
    """Counts the bytes of requests and answers and bounds their sum.

    Bodies of requests and answers have a limit each, so that endless answers
    do not keep requests out, nor long requests the answers.

    Load pattern of answers: endpoints send bodies without end to all calls in
    flight. A limit for each answer alone would be multiplied by their number.
    Of the large answers, the one without progress for longest is given up
    first, so that ordinary answers of a few hundred bytes still arrive, and an
    answer whose caller reads it is not lost to those that nobody reads.
    Complete answers count until their callers have read them.

    :param limit_bytes: greatest sum of the answers.
    :param body_limit_bytes: greatest sum of the bodies of requests.
    """

    def __init__(
        self, limit_bytes: int, body_limit_bytes: int = MIN_LIMIT_BYTES
    ) -> None:
        self.limit_bytes = limit_bytes
        self.bodies = body_memory.BodyMemory(body_limit_bytes)
        self.answer_bytes = 0
        # In the order of their last progress.
        self._held_bytes: dict[Holder, int] = {}

    @property
    def total_bytes(self) -> int:
        """Return what requests and answers take."""
        return self.answer_bytes + self.bodies.total_bytes

    def hold(self, holder: Holder, size_bytes: int) -> None:
        """Set the size of one answer; give up large ones if needed."""
        self.answer_bytes += size_bytes - self._held_bytes.pop(holder, 0)
        if size_bytes:
            self._held_bytes[holder] = size_bytes
        while self.answer_bytes > self.limit_bytes:
            given_up = self._choose_given_up()
            self.release(given_up)
            given_up.abort_for_memory()

    def _choose_given_up(self) -> Holder:
        large_bytes = max(self._held_bytes.values()) * LARGE_SHARE
        return next(
            holder
            for holder, size_bytes in self._held_bytes.items()
            if size_bytes >= large_bytes
        )

    def release(self, holder: Holder) -> None:
        """Forget an answer."""
        self.answer_bytes -= self._held_bytes.pop(holder, 0)

    def resize(self, machine_mb: float) -> None:
        """Set the limits for a machine with this much memory.

        What is held already is given up only as more is added.
        """
        self.limit_bytes = _share_bytes(machine_mb, ANSWER_SHARE)
        self.bodies.resize(_share_bytes(machine_mb, BODY_SHARE))


def for_machine(machine_mb: float) -> MessageMemory:
    """Return the accounting for a machine with this much memory."""
    memory = MessageMemory(MIN_LIMIT_BYTES)
    memory.resize(machine_mb)
    return memory


def _share_bytes(machine_mb: float, share: float) -> int:
    return max(int(machine_mb * share * 1024 * 1024), MIN_LIMIT_BYTES)
