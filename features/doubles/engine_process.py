"""Stand-in engines that run as separate processes."""

from __future__ import annotations

import json
import os
import pathlib
import select
import signal
import subprocess
import sys
from urllib import request as urllib_request

from godwitvalve.routing import endpoint as endpoint_model

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_LIMIT_S = 30


class EngineProcess:
    """One stand-in engine, stopped by the test."""

    def __init__(self, endpoint_id, *options, version='v1'):
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
        }
        command = (
            *(sys.executable, '-m', 'standins.engine', '--port', '0'),
            *('--endpoint-id', endpoint_id, '--version', version),
            *options,
        )
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, env=environment
        )
        port = self._read_port()
        self.endpoint = endpoint_model.Endpoint(
            endpoint_id, f'127.0.0.1:{port}', 'fd-1', 'm', version, True
        )

    def _read_port(self):
        output = self._process.stdout
        if not select.select([output], [], [], START_LIMIT_S)[0]:
            self.stop()
            raise TimeoutError('the stand-in engine did not start in time')
        return int(output.readline().split()[-1])

    def send_signal(self, name):
        os.kill(self._process.pid, getattr(signal, name))

    def set_faults(self, **switches):
        body = json.dumps(switches).encode()
        self._http('/faults', body)

    def log(self):
        return json.loads(self._http('/log'))

    def _http(self, path, body=None):
        url = f'http://{self.endpoint.address}{path}'
        with urllib_request.urlopen(url, body, timeout=10) as response:
            return response.read()

    def stop(self):
        self._process.kill()
        self._process.wait(10)
        self._process.stdout.close()
