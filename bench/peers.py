"""Measures peer nodes in real processes on loopback.

Prints JSON lines with the cost of control traffic per node, both idle and
while each node floods one report per second, and the time until a message has
reached all nodes.
"""

from __future__ import annotations

import json
import pathlib
import queue
import statistics
import subprocess
import sys
import threading
import time
from typing import Annotated, Any

import typer

ROOT = pathlib.Path(__file__).resolve().parents[1]
SIZES = (3, 6, 9, 20, 40, 60)
CONNECT_LIMIT_S = 60.0
BROADCASTS = 10
# One report in 16 is flooded over all links, so the window contains one.
WINDOW_S = 16.0
REPORT_BYTES = 200
SEED = 0


class Node:
    """A child process that runs a peer node."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.peer_process',
                f'--instance-id={name}',
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            cwd=ROOT,
        )
        assert self._process.stdout is not None
        self.address = (
            '127.0.0.1:' + self._process.stdout.readline().split()[-1]
        )
        self._events: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self._events.put(json.loads(line))

    def send_command(self, command: dict[str, Any]) -> None:
        """Send a command to the process."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command) + '\n')
        self._process.stdin.flush()

    def next_event(self) -> dict[str, Any]:
        """Wait for the next event and return it."""
        return self._events.get(timeout=10.0)

    def stats(self) -> dict[str, Any]:
        """Return the current counters."""
        self.send_command({'stats': True})
        return self.next_event()

    def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait()


def _print(
    measure: str, value: float, unit: str, baseline: float | None, case: str
) -> None:
    line = {
        'measure': measure,
        'value': round(value, 5),
        'unit': unit,
        'baseline': baseline,
        'seed': SEED,
        'case': case,
    }
    print(json.dumps(line), flush=True)


def _connect(nodes: list[Node]) -> float:
    started_s = time.monotonic()
    members = [[node.name, node.address] for node in nodes]
    for node in nodes:
        node.send_command({'members': members})
    while any(node.stats()['known'] < len(nodes) for node in nodes):
        if time.monotonic() - started_s > CONNECT_LIMIT_S:
            raise TimeoutError('nodes did not connect')
        time.sleep(0.1)
    return time.monotonic() - started_s


def _propagation_times_s(nodes: list[Node]) -> list[float]:
    times_s = []
    for number in range(BROADCASTS):
        nodes[0].send_command({'broadcast': number})
        sent_s = nodes[0].next_event()['at_s']
        received_s = [node.next_event()['at_s'] for node in nodes[1:]]
        times_s.append(max(received_s) - sent_s)
    return times_s


def _cost(nodes: list[Node], load: str, baseline: float | None) -> None:
    before = [node.stats() for node in nodes]
    time.sleep(WINDOW_S)
    after = [node.stats() for node in nodes]
    pairs = list(zip(before, after))
    case = f'{len(nodes)} nodes, {load}'
    for key, measure, unit in (
        ('cpu_s', 'peer CPU per node', 'share of a core'),
        ('bytes_out', 'peer bytes sent per node', 'bytes/s'),
        ('bytes_in', 'peer bytes received per node', 'bytes/s'),
    ):
        rates = [(b[key] - a[key]) / (b['at_s'] - a['at_s']) for a, b in pairs]
        limit = {'cpu_s': 0.021}.get(key, 15_000.0)
        _print(f'{measure}, mean', statistics.mean(rates), unit, limit, case)
        _print(f'{measure}, largest', max(rates), unit, limit, case)
    peak = max(each['peak_rss_bytes'] for each in after) / 1e6
    _print('peer process peak memory', peak, 'MB', 256.0, case)
    links = max(len(each['connected']) for each in after)
    _print('overlay links, largest', links, 'links', 6.0, case)


def measure(size: int) -> None:
    """Print the measurements of a number of nodes."""
    nodes = [Node(f'n{number:03}') for number in range(size)]
    try:
        case = f'{size} nodes'
        _print('time to connect all', _connect(nodes), 's', None, case)
        time.sleep(6.0)
        times_s = _propagation_times_s(nodes)
        _print(
            'fact reaches all, median',
            statistics.median(times_s) * 1000,
            'ms',
            None,
            case,
        )
        _print('fact reaches all, max', max(times_s) * 1000, 'ms', None, case)
        _cost(nodes, 'idle', None)
        for node in nodes:
            node.send_command({'every_s': 1.0, 'report_bytes': REPORT_BYTES})
        time.sleep(2.0)
        _cost(nodes, f'each floods {REPORT_BYTES} bytes/s', None)
    finally:
        for node in nodes:
            node.stop()


def main(
    sizes: Annotated[str, typer.Option()] = ','.join(map(str, SIZES)),
) -> None:
    """Measure each of the given numbers of nodes."""
    for size in sizes.split(','):
        measure(int(size))


if __name__ == '__main__':
    typer.run(main)
