"""Stand-in engine processes for measurements."""

from __future__ import annotations

import collections
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
from typing import Any
from urllib import request as urllib_request

from godwitvalve.generations import plan
from godwitvalve.outcomes import codes
from godwitvalve.routing import endpoint as endpoint_model

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_LIMIT_S = 30


class EngineProcess:
    """One stand-in engine, ended by this process."""

    def __init__(self, endpoint_id: str, *options: str) -> None:
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
        }
        command = (
            *(sys.executable, '-m', 'standins.engine', '--port', '0'),
            *('--endpoint-id', endpoint_id),
            *options,
        )
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, env=environment
        )
        self.endpoint = endpoint_model.Endpoint(
            endpoint_id,
            f'127.0.0.1:{self._port()}',
            'fd-1',
            'summaries',
            'v1',
            True,
        )

    def _port(self) -> int:
        output = self._process.stdout
        assert output is not None
        if not select.select([output], [], [], START_LIMIT_S)[0]:
            self.stop()
            raise TimeoutError('the stand-in engine did not start')
        return int(output.readline().split()[-1])

    def kill(self) -> None:
        """End the engine without notice."""
        self._process.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Pause the engine."""
        self._process.send_signal(signal.SIGSTOP)

    def log(self) -> dict[str, Any]:
        """Return the engine's log."""
        url = f'http://{self.endpoint.address}/log'
        with urllib_request.urlopen(url, timeout=10) as response:
            body: dict[str, Any] = json.loads(response.read())
        return body

    def stop(self) -> None:
        """End the process and wait for it."""
        self._process.kill()
        self._process.wait(10)
        if self._process.stdout is not None:
            self._process.stdout.close()


class LeastPicker:
    """Picks the endpoint with the least outstanding work.

    :param leaves_lost: whether an endpoint that was lost is not used again.
    """

    def __init__(
        self,
        endpoints: list[endpoint_model.Endpoint],
        leaves_lost: bool = True,
    ) -> None:
        self._endpoints = endpoints
        self._leaves_lost = leaves_lost
        self._outstanding: collections.Counter[str] = collections.Counter()
        self.lost: set[str] = set()
        self.results: list[tuple[str, plan.AssignmentResult]] = []

    def pick(
        self, tried: frozenset[str], prefix_hint: str, version: str
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        """Choose an endpoint that was not lost."""
        left = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.endpoint_id not in tried | self.lost
        ]
        if not left:
            return codes.ResultCode.NO_ENDPOINT
        found = min(left, key=lambda item: self._outstanding[item.endpoint_id])
        self._outstanding[found.endpoint_id] += 1
        return found

    def claim(self, endpoint_id: str) -> endpoint_model.Endpoint | None:
        """Return nothing: no stream is resumed through another entry."""
        return None

    def adapter(self, version: str) -> str:
        """Return the adapter of every version."""
        return ''

    def release(
        self, endpoint: endpoint_model.Endpoint, result: plan.AssignmentResult
    ) -> None:
        """Record a result."""
        self._outstanding[endpoint.endpoint_id] -= 1
        self.results.append((endpoint.endpoint_id, result))
        if self._leaves_lost and result.outcome == 'lost':
            self.lost.add(endpoint.endpoint_id)
