"""Logs pauses of the event loop and high memory of this process."""

from __future__ import annotations

from collections import abc
import resource
import time
from typing import TYPE_CHECKING

from aioprometheus import collectors

from godwitvalve.diagnostics import history as histories
from godwitvalve.diagnostics import private_memory
from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs

if TYPE_CHECKING:
    from godwitvalve.diagnostics import loop_pauses

PERIOD_S = histories.PERIOD_S
# Callers of short calls notice a longer pause.
LOGGED_PAUSE_S = 0.25
# Shorter pauses are usual, and each observation costs processor time.
COUNTED_PAUSE_S = 0.05
PAUSE_BOUNDS_S = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0]
HIGH_MEMORY_SHARE = 0.75
# A pause that recurs is logged once in this time, as warnings are exempt
# from the rate limit of the log.
LOG_PERIOD_S = 1.0

_BYTES_PER_MB = 1024 * 1024
_LOG = logs.get('process')


def thread_processor_s() -> float:
    """Return the processor time in seconds that this thread has used.

    On the platform's test machines ``time.thread_time`` follows the steady
    clock, also while the process does not run.
    """
    usage = resource.getrusage(resource.RUSAGE_THREAD)
    return usage.ru_utime + usage.ru_stime


class ProcessMonitor:
    """Observes this process each time that a periodic timer fires.

    :param registry: where its metrics are registered.
    :param instance_id: constant label of each metric.
    :param memory_mb: memory of the machine.
    :param requests_in_flight: returns their number.
    """

    def __init__(
        self,
        history: histories.ProcessHistory,
        registry: collectors.Registry,
        instance_id: str,
        memory_mb: float,
        requests_in_flight: abc.Callable[[], int],
        clock_s: abc.Callable[[], float] = time.monotonic,
        thread_clock_s: abc.Callable[[], float] = thread_processor_s,
        read_memory: abc.Callable[[], int | None] = private_memory.read,
    ) -> None:
        self._history = history
        self.memory_mb = memory_mb
        self._requests_in_flight = requests_in_flight
        self._clock_s = clock_s
        self._thread_clock_s = thread_clock_s
        self._read_memory = read_memory
        self._filter = repeats.RepeatFilter(LOG_PERIOD_S)
        labels = {'instance': instance_id}
        self._pauses = collectors.Histogram(
            'godwitvalve_loop_pause_seconds',
            'Pauses of the event loop above 0.05 s.',
            const_labels=labels,
            registry=registry,
            buckets=PAUSE_BOUNDS_S,
        )
        self._private_bytes = collectors.Gauge(
            'godwitvalve_private_memory_bytes',
            'Private memory of the process.',
            const_labels=labels,
            registry=registry,
        )

    def observe(self) -> None:
        """Record how late the timer fired, and the private memory."""
        now_s = self._clock_s()
        pause = self._history.pauses.record(now_s, self._thread_clock_s())
        memory_bytes = self._read_memory()
        if memory_bytes is not None:
            self._private_bytes.set({}, memory_bytes)
        memory_mb = (memory_bytes or 0) / _BYTES_PER_MB
        if pause is not None:
            self._report_pause(pause, memory_mb, now_s)
        if memory_mb > HIGH_MEMORY_SHARE * self.memory_mb:
            self._report_memory(memory_mb, now_s)

    def _report_pause(
        self, pause: loop_pauses.Pause, memory_mb: float, now_s: float
    ) -> None:
        if pause.held_up_s > COUNTED_PAUSE_S:
            self._pauses.observe({}, pause.held_up_s)
        if pause.held_up_s <= LOGGED_PAUSE_S:
            return
        if not self._filter.admits('pause', now_s):
            return
        _LOG.warning(
            'The event loop was held up.',
            extra={
                'held_up_ms': round(pause.held_up_s * 1000),
                'computed_ms': round(pause.computed_s * 1000),
                'not_computed_ms': round(pause.not_computed_s * 1000),
                'in_flight': self._requests_in_flight(),
                'private_memory_mb': round(memory_mb, 1),
                **self._history.fields(now_s),
            },
        )

    def _report_memory(self, memory_mb: float, now_s: float) -> None:
        if not self._filter.admits('memory', now_s):
            return
        _LOG.warning(
            'The process uses most of its memory.',
            extra={
                'private_memory_mb': round(memory_mb, 1),
                'memory_mb': self.memory_mb,
                'in_flight': self._requests_in_flight(),
                **self._history.fields(now_s),
            },
        )
