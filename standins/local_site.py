"""Runs a complete site as loopback processes for the demo and tests."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import Any, NamedTuple
import urllib.error
import urllib.request

START_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
POLL_S = 0.02
HTTP_LIMIT_S = 5.0
KEY_BYTES = 32
PORTS = range(12_000, 32_000)
_assigned_ports: set[int] = set()
# Of the log of an entry that did not become ready.
LOGGED_LINES = 20
HOST = '127.0.0.1'


class EndpointSpec(NamedTuple):
    """Identity of an endpoint stand-in."""

    endpoint_id: str
    service: str
    version: str
    failure_domain: str


class Member(NamedTuple):
    """A process of the site."""

    name: str
    kind: str
    process: subprocess.Popen[bytes]
    port: int
    log_path: pathlib.Path

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f'{HOST}:{self.port}'


def free_port() -> int:
    """Return a TCP port that was free a moment ago.

    The port lies below the range that the system uses for outgoing
    connections, so that no such connection takes it before it is bound.
    This process returns each port only once.
    """
    while True:
        port = secrets.choice(PORTS)
        if port in _assigned_ports:
            continue
        _assigned_ports.add(port)
        with contextlib.closing(socket.socket()) as probe:
            with contextlib.suppress(OSError):
                probe.bind((HOST, port))
                return port


def http_json(
    method: str, url: str, body: object = None, headers: Any = None
) -> Any:
    """Send one request and return the JSON body of the response.

    :raises urllib.error.URLError: if there is no response or an error status.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header('Content-Type', 'application/json')
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    with urllib.request.urlopen(request, timeout=HTTP_LIMIT_S) as response:
        content = response.read()
    return json.loads(content) if content else None


def wait_until(condition: Any, what: str, limit_s: float = 20.0) -> Any:
    """Poll a condition until it returns something true.

    :param what: name of the condition in the error.
    :param limit_s: seconds to wait.
    :raises TimeoutError: if the condition is still false after the limit.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, urllib.error.URLError):
            result = condition()
            if result:
                return result
        time.sleep(POLL_S)
    raise TimeoutError(f'timed out: {what}')


class LocalSite:
    """Processes of one site; ``stop`` kills all that were started.

    :param folder: folder for settings, keys and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.members: dict[str, Member] = {}
        self.credentials: dict[str, str] = {}
        for name in ('peer.key', 'resume.key'):
            (folder / name).write_text(secrets.token_hex(KEY_BYTES))

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f'http://{self.members["platform"].address}'

    def start_platform(self) -> Member:
        """Start the platform stand-in."""
        return self._start('platform', 'platform', ['standins.platform'])

    def start_engine(self, spec: EndpointSpec, *options: str) -> Member:
        """Start a model engine stand-in and add it to the instance list."""
        return self._start_endpoint('engine', spec, options)

    def start_plain(self, spec: EndpointSpec, *options: str) -> Member:
        """Start a plain service stand-in and add it to the list."""
        return self._start_endpoint('plain', spec, options)

    def start_entry(
        self, instance_id: str, failure_domain: str, **settings: object
    ) -> Member:
        """Start an entry instance and add it to the instance list."""
        port, peer_port = free_port(), free_port()
        path = self.folder / f'{instance_id}.json5'
        content = {
            'instance_id': instance_id,
            'failure_domain': failure_domain,
            'listen_address': f'{HOST}:{port}',
            'peer_address': f'{HOST}:{peer_port}',
            'platform_url': self.platform_url,
            'peer_key_file': str(self.folder / 'peer.key'),
            'resume_key_file': str(self.folder / 'resume.key'),
            **settings,
        }
        path.write_text('// written by a script\n' + json.dumps(content))
        command = ['godwitvalve.entry.main', '--settings', str(path)]
        member = self._spawn(instance_id, 'entry', command, port)
        self.list_instance(
            instance_id,
            kind='entry',
            address=member.address,
            peer_address=f'{HOST}:{peer_port}',
            failure_domain=failure_domain,
        )
        return member

    def list_instance(self, instance_id: str, **fields: str) -> None:
        """Add an instance to the platform's instance list."""
        listed = {
            'instance_id': instance_id,
            'kind': 'endpoint',
            'address': '',
            'peer_address': '',
            'failure_domain': '',
            'service': '',
            'version': '',
            'state': 'live',
            **fields,
        }
        url = f'{self.platform_url}/instances/{instance_id}'
        http_json('PUT', url, listed)

    def unlist_instance(self, instance_id: str) -> None:
        """Remove an instance from the platform's instance list."""
        http_json('DELETE', f'{self.platform_url}/instances/{instance_id}')

    def wait_ready(self, instance_id: str) -> None:
        """Wait until an entry instance is ready.

        :raises TimeoutError: with the end of its log, if it is not in time.
        """
        member = self.members[instance_id]
        url = f'http://{member.address}/readyz'
        try:
            wait_until(lambda: http_json('GET', url), f'{instance_id} ready')
        except TimeoutError as error:
            end = log_end(instance_id, member.process, member.log_path)
            raise TimeoutError(f'{error}\n{end}') from error

    def set_faults(self, name: str, **faults: object) -> None:
        """Set fault switches of a stand-in."""
        http_json('POST', f'{self.url(name)}/faults', faults)

    def url(self, name: str) -> str:
        """Return the base URL of a member."""
        return f'http://{self.members[name].address}'

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a member."""
        self.members[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a member with SIGKILL and wait until it exits."""
        self.signal(name, signal.SIGKILL)
        self.members[name].process.wait(STOP_LIMIT_S)

    def run_operator(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run an operator command and capture its output."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'godwitvalve.operator_cli.main',
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, 'GODWITVALVE_PLATFORM': self.platform_url},
        )

    def stop(self) -> None:
        """Kill every process that this site started."""
        for member in self.members.values():
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
        for member in self.members.values():
            member.process.wait(STOP_LIMIT_S)

    def _start_endpoint(
        self, kind: str, spec: EndpointSpec, options: tuple[str, ...]
    ) -> Member:
        identity = [
            '--endpoint-id',
            spec.endpoint_id,
            '--service',
            spec.service,
            '--version',
            spec.version,
        ]
        module = [f'standins.{kind}', *identity, *options]
        member = self._start(spec.endpoint_id, kind, module)
        self.list_instance(
            spec.endpoint_id,
            address=member.address,
            failure_domain=spec.failure_domain,
            service=spec.service,
            version=spec.version,
        )
        return member

    def _start(self, name: str, kind: str, module: list[str]) -> Member:
        port = free_port()
        member = self._spawn(name, kind, [*module, '--port', str(port)], port)
        wait_until(lambda: _accepts(port), f'{name} listens', START_LIMIT_S)
        return member

    def _spawn(
        self, name: str, kind: str, module: list[str], port: int
    ) -> Member:
        log_path = self.folder / f'{name}.log'
        with log_path.open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', *module],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        member = Member(name, kind, process, port, log_path)
        self.members[name] = member
        return member


def log_end(
    name: str, process: subprocess.Popen[Any], log_path: pathlib.Path
) -> str:
    """Return whether a process runs and the last lines of its log."""
    code = process.poll()
    state = 'runs' if code is None else f'exited with {code}'
    lines = log_path.read_text().splitlines()
    return '\n'.join([f'{name} {state}', *lines[-LOGGED_LINES:]])


def _accepts(port: int) -> bool:
    with contextlib.closing(socket.create_connection((HOST, port), 1)):
        return True
