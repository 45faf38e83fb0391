"""Starts the platform stand-in for a scenario."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
from urllib import request

import orjson

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL_TIMEOUT_S = 10


class PlatformStandin:
    """A running stand-in process."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'standins.platform', '--port', '0'],
            cwd=ROOT,
            env=os.environ | {'PYTHONPATH': f'{ROOT}/src:{ROOT}'},
            stdout=subprocess.PIPE,
            text=True,
        )
        line = self._process.stdout.readline()
        self.url = f'http://127.0.0.1:{int(line.split()[-1])}'

    def end(self) -> None:
        """Kill this process, by its id, and wait for its end."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()

    def _send(self, method: str, path: str, raw: object) -> object:
        message = request.Request(
            self.url + path, orjson.dumps(raw), method=method
        )
        with request.urlopen(message, timeout=CONTROL_TIMEOUT_S) as answer:
            return orjson.loads(answer.read())

    def set_faults(self, **faults: object) -> None:
        """Set faults of the stand-in."""
        self._send('POST', '/faults', faults)

    def put_instance(self, instance_id: str, **fields: str) -> None:
        """Add an instance to the instance list."""
        instance = {
            'instance_id': instance_id,
            'kind': 'entry',
            'address': '127.0.0.1:1',
            'peer_address': '127.0.0.1:1',
            'failure_domain': 'fd-1',
            'service': '',
            'version': '',
            'state': 'live',
        }
        self._send('PUT', f'/instances/{instance_id}', instance | fields)

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance from the instance list."""
        self._send('DELETE', f'/instances/{instance_id}', {})

    def put_weights(self, name: str) -> None:
        """Store weights under a name."""
        self._send('PUT', f'/weights/{name}', {})

    def counts(self) -> dict[str, int]:
        """Return the numbers of executed reads and writes."""
        with request.urlopen(self.url + '/counts') as answer:
            return orjson.loads(answer.read())


def start(context) -> PlatformStandin:
    """Start a stand-in that is stopped at the end of the scenario."""
    standin = PlatformStandin()
    context.cleanups.append(standin.end)
    return standin
