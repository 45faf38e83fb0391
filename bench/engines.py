"""Stand-in engine processes and an endpoint picker for measurements."""

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
    """A stand-in engine in a child process."""

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
        """Terminate the engine with SIGKILL."""
        self._process.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Suspend the engine with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def log(self) -> dict[str, Any]:
        """Return the log of streams that the engine serves."""
        url = f'http://{self.endpoint.address}/log'
        with urllib_request.urlopen(url, timeout=10) as response:
            body: dict[str, Any] = json.loads(response.read())
        return body

    def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait(10)
        if self._process.stdout is not None:
            self._process.stdout.close()


class LeastOutstandingPicker:
    """Picks the endpoint with the fewest outstanding requests.

    :param excludes_lost: whether endpoints are excluded after a lost attempt.
    """

    def __init__(
        self,
        endpoints: list[endpoint_model.Endpoint],
        excludes_lost: bool = True,
    ) -> None:
        self._endpoints = endpoints
        self._excludes_lost = excludes_lost
        self._outstanding: collections.Counter[str] = collections.Counter()
        self.lost: set[str] = set()
        self.results: list[tuple[str, plan.AssignmentResult]] = []

    def pick(
        self, tried: frozenset[str], prefix_hint: str, version: str
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        """Choose an endpoint that was neither tried nor excluded."""
        available = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.endpoint_id not in tried | self.lost
        ]
        if not available:
            return codes.ResultCode.NO_ENDPOINT
        chosen = min(
            available, key=lambda item: self._outstanding[item.endpoint_id]
        )
        self._outstanding[chosen.endpoint_id] += 1
        return chosen

    def claim(self, endpoint_id: str) -> endpoint_model.Endpoint | None:
        """Return None, since no stream is resumed through another entry."""
        return None

    def adapter(self, version: str) -> str:
        """Return an empty name, since no version has an adapter."""
        return ''

    def release(
        self, endpoint: endpoint_model.Endpoint, result: plan.AssignmentResult
    ) -> None:
        """Record the result of an attempt."""
        self._outstanding[endpoint.endpoint_id] -= 1
        self.results.append((endpoint.endpoint_id, result))
        if self._excludes_lost and result.outcome == 'lost':
            self.lost.add(endpoint.endpoint_id)
