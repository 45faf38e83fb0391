"""Runs a fleet as processes: store, endpoints and entry instances."""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from standins import local_site

# Module that runs an entry.
ENTRY = 'godwitvalve.ingress.main'
ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'fleet.example'
KEY = 'key-of-acme'
STREAM_PREFIX = '/summaries/'
CALL_PREFIX = '/complaints/'
# Loopback subnets for the entries of fleets; the last address of each is
# reserved for the claim.
SUBNETS = tuple(
    f'127.{first}.{second}' for first in range(16, 32) for second in range(256)
)
CLAIM_PORT = 11_999


def route(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 10000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': 3,
        'stream_resume': kind == 'streaming',
        'gap_target_ms': 700,
    }


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a model and a plain service."""
    engine = {'slots': 8, 'kv_capacity_tokens': 10000, 'backups': True}
    return {
        'version': version,
        'routes': [
            route('r-s', STREAM_PREFIX, 'streaming', 'model'),
            route('r-c', CALL_PREFIX, 'non_idempotent', 'desk'),
        ],
        'services': [
            {'name': 'model', 'health_path': '/healthz', 'engine': engine},
            {'name': 'desk', 'health_path': '/healthz'},
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 1048576},
        'tenants': [{'name': 'acme', 'api_keys': [KEY]}],
    }


def _claim_subnet() -> tuple[str, socket.socket]:
    """Return a subnet that no other fleet uses and the socket that claims it.

    Suites run side by side, and each draws its ports without knowledge of
    the others.
    """
    while True:
        subnet = secrets.choice(SUBNETS)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f'{subnet}.255', CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return subnet, claim


class FleetSite:
    """Processes of one fleet; ``stop`` kills all that were started.

    :param folder: folder for settings and logs.
    :param entry_command: module that runs an entry, and its arguments.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entry_command: tuple[str, ...] = (ENTRY,),
    ) -> None:
        self.folder = folder
        self._entry_command = entry_command
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.addresses: dict[str, str] = {}
        self._subnet, self._claim = _claim_subnet()
        self._ports = [local_site.free_port() for _ in range(5)]
        self._entries = 0
        self.store = self.start_process('store', ['standins.fleet.store'])

    def start_process(self, name: str, command: list[str]) -> str:
        """Start a stand-in that prints its port; return its address."""
        process = subprocess.Popen(
            [sys.executable, '-m', *command],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env=self._environment(),
        )
        self.processes[name] = process
        assert process.stdout is not None
        port = int(process.stdout.readline().split()[-1])
        self.addresses[name] = f'127.0.0.1:{port}'
        return self.addresses[name]

    @staticmethod
    def _environment() -> dict[str, str]:
        paths = os.pathsep.join((str(ROOT / 'src'), str(ROOT)))
        return {**os.environ, 'PYTHONPATH': paths}

    def write_row(self, table: str, key: str, value: Any = None) -> None:
        """Write a row of any table; the value None removes the row."""
        row = {'table': table, 'part': '', 'key': key}
        if value is not None:
            row['value'] = json.dumps(value)
        self.post('store', '/standin/rows', row)

    def restore_store(
        self, age_s: float, away_s: float, **options: Any
    ) -> dict[str, Any]:
        """Let the store come back from an older copy; return what it says.

        :param age_s: age of the copy when the store goes away.
        :param away_s: seconds until it returns.
        :param options: further fields of the stand-in's control call.
        :returns: among others ``lost``, the lost rows of operators.
        """
        body = {'age_s': age_s, 'away_s': away_s, **options}
        answer: dict[str, Any] = self.post('store', '/standin/restore', body)
        return answer

    def write_lost(self, lost: list[dict[str, Any]]) -> None:
        """Write lost rows again, as operators do."""
        for row in lost:
            self.post('store', '/standin/rows', _without_version(row))

    def post(self, name: str, path: str, body: Any) -> Any:
        """Send JSON to a stand-in and return its JSON response."""
        url = f'http://{self.addresses[name]}{path}'
        return local_site.http_json('POST', url, body)

    def start_replica(
        self,
        name: str,
        service: str,
        domain: str,
        *options: str,
        port: int = 0,
    ) -> None:
        """Start an endpoint and register it."""
        command = ['standins.fleet.replica', f'--endpoint-id={name}']
        self.start_process(name, [*command, f'--port={port}', *options])
        self.register(name, service, domain)

    def register(
        self,
        name: str,
        service: str,
        domain: str,
        state: str = 'ready',
        address: str = '',
        version: str = 'v1',
    ) -> None:
        """Write the row of an endpoint, which then repeats it.

        :param address: address for entries; by default the endpoint's own.
        """
        row = self.endpoint_row(name, service, domain, state, address, version)
        self.write_row('servers', name, row)
        self.set_heartbeat(name, row)

    def endpoint_row(
        self,
        name: str,
        service: str,
        domain: str,
        state: str = 'ready',
        address: str = '',
        version: str = 'v1',
    ) -> dict[str, Any]:
        """Return the row of an endpoint in the table of servers."""
        return {
            'service': service,
            'address': address or self.addresses[name],
            'zone': domain,
            'version': version,
            'slots': 8,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }

    def unregister(self, name: str) -> None:
        """Remove the row of an endpoint that goes on serving."""
        self.set_heartbeat(name, None)
        self.write_row('servers', name)

    def set_heartbeat(self, name: str, row: dict[str, Any] | None) -> None:
        """Let an endpoint write its row again with each heartbeat."""
        written = row and {
            'table': 'servers',
            'part': '',
            'key': name,
            'value': json.dumps(row),
        }
        url = f'http://{self.addresses["store"]}/standin/rows'
        body = {'row': written, 'store_url': url}
        self.post(name, '/standin/row', body)

    def start_entry(self, name: str, domain: str, **changes: Any) -> str:
        """Start an entry instance on its own loopback address.

        :param changes: settings that differ from the usual ones.
        """
        self._entries += 1
        ip = f'{self._subnet}.{self._entries}'
        caller, readiness, directory, control, peer = self._ports
        settings = {
            'instance_id': name,
            'failure_domain': domain,
            'ip': ip,
            'caller_address': f'{ip}:{caller}',
            'readiness_address': f'{ip}:{readiness}',
            'directory_address': f'{ip}:{directory}',
            'control_address': f'{ip}:{control}',
            'peer_ports': [peer, peer + 10],
            'seed_addresses': [f'{self._subnet}.1:{control}'],
            'store_address': self.store,
            'address_reuse_s': 2.0,
            **changes,
        }
        self._settings_path(name).write_text(json.dumps(settings))
        self.addresses[name] = f'{ip}:{caller}'
        self.restart_entry(name)
        return self.addresses[name]

    def _settings_path(self, name: str) -> pathlib.Path:
        return self.folder / f'{name}.json'

    def restart_entry(self, name: str) -> None:
        """Start an entry with the settings of its first start."""
        path = self._settings_path(name)
        with (self.folder / f'{name}.log').open('a') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', *self._entry_command],
                stdout=log,
                stderr=log,
                text=True,
                cwd=ROOT,
                env={**self._environment(), 'GODWITVALVE_BOOT': str(path)},
            )

    def port_address(self, name: str, number: int) -> str:
        """Return an entry's address on one of its ports.

        :param number: 0 for callers, 1 readiness, 2 directory, 3 control.
        """
        ip = self.addresses[name].partition(':')[0]
        return f'{ip}:{self._ports[number]}'

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON log lines of an entry."""
        lines = (self.folder / f'{name}.log').read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def log_end(self, name: str) -> str:
        """Return whether an entry runs and the last lines of its log."""
        return local_site.log_end(
            name, self.processes[name], self.folder / f'{name}.log'
        )

    def runs(self, name: str) -> list[list[str]]:
        """Return the calls and streams that an endpoint ran."""
        url = f'http://{self.addresses[name]}/standin/runs'
        runs: list[list[str]] = local_site.http_json('GET', url)
        return runs

    def arrivals_s(self, name: str) -> list[float]:
        """Return when requests arrived at an endpoint, monotonic seconds."""
        url = f'http://{self.addresses[name]}/standin/arrivals'
        arrivals_s: list[float] = local_site.http_json('GET', url)
        return arrivals_s

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self.processes[name].send_signal(number)

    def wait(self, name: str, limit_s: float) -> int:
        """Wait until a process exits; return its exit code."""
        return self.processes[name].wait(limit_s)

    def stop(self) -> None:
        """Kill all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._claim.close()


def _without_version(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if name != 'ver'}


def wait_ready(site: FleetSite, name: str) -> None:
    """Wait until an entry is ready and has loaded its endpoints.

    :raises TimeoutError: if it is not ready in time.
    :raises RuntimeError: if it exits.
    """
    url = f'http://{site.port_address(name, 1)}/readyz'

    def is_ready() -> bool:
        if site.processes[name].poll() is not None:
            raise RuntimeError(f'{name} ended before it was ready')
        return local_site.http_json('GET', url) is None

    try:
        local_site.wait_until(is_ready, f'{name} is ready')
    except (RuntimeError, TimeoutError) as error:
        error.add_note(site.log_end(name))
        raise
    time.sleep(0.5)
