"""Computes how much of its machine's resources an entry uses."""

from __future__ import annotations

from collections import abc
import math
import resource
import time
from typing import NamedTuple

from aioprometheus import collectors

from godwitvalve.diagnostics import private_memory
from godwitvalve.forwarding import sent_bytes
from godwitvalve.logs import setup as logs
from godwitvalve.platform import settings as wire_settings

# Time constant of the smoothing. Callers use a list of addresses for 1 s to
# 3 s, so a faster one would follow bursts that end before callers move.
SMOOTHING_S = 1.0
# Shortest interval of a measurement: shorter ones of a process that uses
# little are mostly the steps of the clock.
MIN_INTERVAL_S = 0.1
# After a longer interval than this the process was held up or frozen.
MAX_INTERVAL_S = 1.0
# Load above this is logged as it begins and as it ends.
HIGH_PERCENT = 85
# Greatest pressure that is reported; settings may state too little.
MAX_PERCENT = 1000
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000
_BYTES_PER_MB = 1024 * 1024

_LOG = logs.get('process')


class Resources(NamedTuple):
    """Resources of a machine; 0 where they are not stated.

    :param cores: processor cores that the process may use.
    :param memory_mb: memory of the machine.
    :param link_mbps: rate at which the machine can send.
    """

    cores: float
    memory_mb: float
    link_mbps: float

    @property
    def capacity(self) -> int:
        """Return the capacity in thousandths of a core; 0 if not stated."""
        return round(self.cores * 1000)


class Sample(NamedTuple):
    """What a process has used until a moment.

    :param now_s: monotonic seconds.
    :param processor_s: processor time since its start.
    :param memory_bytes: private memory; None where it is not known.
    :param sent_bytes: bytes sent since its start.
    """

    now_s: float
    processor_s: float
    memory_bytes: int | None
    sent_bytes: int


class Utilization(NamedTuple):
    """Used parts of each resource; 1.0 is all of it."""

    processor: float = 0.0
    memory: float = 0.0
    link: float = 0.0


def between(
    before: Sample, after: Sample, resources: Resources
) -> Utilization:
    """Return the utilization of an interval; 0.0 where nothing is stated."""
    elapsed_s = after.now_s - before.now_s
    bits = (after.sent_bytes - before.sent_bytes) * _BITS_PER_BYTE
    return Utilization(
        _share(
            after.processor_s - before.processor_s,
            resources.cores * elapsed_s,
        ),
        _share(after.memory_bytes or 0, resources.memory_mb * _BYTES_PER_MB),
        _share(bits, resources.link_mbps * _BITS_PER_MBIT * elapsed_s),
    )


def _share(used: float, available: float) -> float:
    return max(used, 0.0) / available if available > 0 else 0.0


class Pressure:
    """Smoothed utilization of the resources of one machine.

    Load pattern: 60 entries of 0.387 to 2.15 cores get the same number of
    connections, which overloads the small ones while the large ones idle.
    """

    def __init__(self, resources: Resources) -> None:
        self.resources = resources
        self.utilization = Utilization()
        self._last: Sample | None = None

    def add(self, sample: Sample) -> None:
        """Take a sample; one that follows too closely is left out."""
        last = self._last
        if last is None:
            self._last = sample
            return
        elapsed_s = sample.now_s - last.now_s
        if elapsed_s < MIN_INTERVAL_S:
            return
        self._last = sample
        measured = between(last, sample, self.resources)
        if elapsed_s > MAX_INTERVAL_S:
            # The low use of a process that was frozen tells nothing of the
            # work that waits for it.
            measured = Utilization(*map(max, measured, self.utilization))
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        self.utilization = Utilization(
            *(
                old + weight * (new - old)
                for old, new in zip(self.utilization, measured)
            )
        )

    @property
    def percent(self) -> int:
        """Return the use of the scarcest resource; 0 if none is stated."""
        if not self.resources.capacity:
            return 0
        return min(round(100 * max(self.utilization)), MAX_PERCENT)


def resources_of(settings: wire_settings.FleetSettings) -> Resources:
    """Return the resources that settings state."""
    return Resources(
        settings.cpu_share * settings.cores,
        settings.memory_mb,
        settings.link_mbps,
    )


def processor_s() -> float:
    """Return the processor time in seconds that this process has used.

    On the platform's test machines the processor clocks of ``time`` follow
    the steady clock, also while the process does not run.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def take_sample() -> Sample:
    """Return what this process has used until now."""
    return Sample(
        time.monotonic(),
        processor_s(),
        private_memory.read(),
        sent_bytes.PROCESS.total,
    )


class PressureMonitor:
    """Samples this process each time that a periodic timer fires.

    :param registry: where its metrics are registered.
    :param instance_id: constant label of each metric.
    """

    def __init__(
        self,
        settings: wire_settings.FleetSettings,
        registry: collectors.Registry,
        sample: abc.Callable[[], Sample] = take_sample,
    ) -> None:
        self._pressure = Pressure(resources_of(settings))
        self._sample = sample
        self._is_high = False
        self._gauge = collectors.Gauge(
            'godwitvalve_pressure_percent',
            'Smoothed use of the resources of the machine.',
            const_labels={'instance': settings.instance_id},
            registry=registry,
        )

    def set_settings(self, settings: wire_settings.FleetSettings) -> None:
        """Use the resources of changed settings."""
        self._pressure.resources = resources_of(settings)

    @property
    def percent(self) -> int:
        """Return the pressure that is reported to other entries."""
        return self._pressure.percent

    @property
    def capacity(self) -> int:
        """Return the capacity in thousandths of a core; 0 if not stated."""
        return self._pressure.resources.capacity

    def observe(self) -> None:
        """Take a sample; log when high pressure begins and ends."""
        if not self.capacity:
            return
        self._pressure.add(self._sample())
        for (
            resource_name,
            used,
        ) in self._pressure.utilization._asdict().items():
            self._gauge.set({'resource': resource_name}, round(100 * used))
        is_high = self.percent > HIGH_PERCENT
        if is_high == self._is_high:
            return
        self._is_high = is_high
        _LOG.warning(
            'Pressure is high.' if is_high else 'Pressure is no longer high.',
            extra={
                'pressure_percent': self.percent,
                **{
                    f'{name}_percent': round(100 * used)
                    for name, used in (
                        self._pressure.utilization._asdict().items()
                    )
                },
            },
        )
