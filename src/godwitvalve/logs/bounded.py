"""Log handler that never blocks and limits the rate of lines."""

from __future__ import annotations

from collections import abc
import logging
import os
import time

# A line takes about 0.1 ms of CPU time; at this rate logs take 2% of a core.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Bounds the lines that are kept for a reader that has fallen behind.
MAX_UNWRITTEN_BYTES = 256 * 1024

Write = abc.Callable[[bytes], int]


class BoundedHandler(logging.Handler):
    """Writes lines without blocking; drops and counts excess lines.

    Warnings and errors are exempt from the rate limit, as they are rare and
    state the cause of a fault.

    :param write: writes bytes and returns the number of bytes written;
        raises ``BlockingIOError`` if none can be written without blocking.
    """

    def __init__(
        self, write: Write, clock_s: abc.Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._write = write
        self._clock_s = clock_s
        self._line_budget = BURST_LINES
        self._refilled_s = clock_s()
        self._unwritten = bytearray()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record or count it as dropped."""
        try:
            if not self._try_accept(record):
                self.dropped += 1
                return
            if self.dropped:
                record.dropped_lines = self.dropped
                self.dropped = 0
            self._unwritten += self.format(record).encode() + b'\n'
            self._flush()
        except Exception:
            self.handleError(record)

    def _try_accept(self, record: logging.LogRecord) -> bool:
        now_s = self._clock_s()
        self._line_budget = min(
            self._line_budget + (now_s - self._refilled_s) * LINES_PER_S,
            BURST_LINES,
        )
        self._refilled_s = now_s
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._flush()
            if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
                return False
        if record.levelno >= logging.WARNING:
            return True
        if self._line_budget < 1:
            return False
        self._line_budget -= 1
        return True

    def _flush(self) -> None:
        while self._unwritten:
            try:
                written = self._write(bytes(self._unwritten))
            except BlockingIOError:
                return
            except OSError:
                # Nothing reads the log any more, so no line can report this.
                self._unwritten.clear()
                return
            del self._unwritten[:written]


def descriptor_handler(descriptor: int) -> BoundedHandler:
    """Return a handler that writes to a file descriptor.

    The descriptor is set to non-blocking mode.
    """
    os.set_blocking(descriptor, False)
    return BoundedHandler(lambda content: os.write(descriptor, content))
