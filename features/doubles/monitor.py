"""Measures the delay of the event loop and the memory of the process."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

TICK_S = 0.005


def _resident_bytes():
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


class Monitor:
    """Greatest delay and growth while it runs.

    A delay is the processor time that the event loop's thread takes between
    two turns of the monitor, so that other busy processes do not add to it.

    :param answer_bytes: returns the bytes that are held for answers.
    """

    def __init__(self, answer_bytes=int):
        self.delay_s = 0.0
        self.grown_bytes = 0
        self.answer_bytes = 0
        self._count_answer_bytes = answer_bytes
        self._before_bytes = _resident_bytes()

    async def run(self):
        while True:
            before_s = time.thread_time()
            await asyncio.sleep(TICK_S)
            delay_s = time.thread_time() - before_s
            self.delay_s = max(self.delay_s, delay_s)
            grown_bytes = _resident_bytes() - self._before_bytes
            self.grown_bytes = max(self.grown_bytes, grown_bytes)
            self.answer_bytes = max(
                self.answer_bytes, self._count_answer_bytes()
            )
