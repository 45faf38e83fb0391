"""Stand-ins of the platform for the scripts of the review.

Everything runs on loopback addresses in the process of the script, except
the entries, which are the project's own program. Only the standard library
is used.
"""

from __future__ import annotations

import asyncio
import base64
from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Words of `run` in deploy/system.toml.
ENTRY_COMMAND = ('python3', '-m', 'godwitvalve.ingress.main')
HOST = 'review.example'
# Bounds of the small sites.
BOUNDS = {
    'stop_limit_s': 8,
    'address_validity_limit_s': 5,
    'address_reuse_s': 2,
    'retry_budget_ratio': 0.8,
    'retry_budget_burst': 150,
    'exposure_share': 0.1,
    'exposure_slack': 50,
    'memory_mb': 150,
    'configuration_limit_ms': 2000,
}
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
MAX_ROWS = 500
HISTORY_S = 20.0

Headers = list[tuple[str, str]]


class Request:
    """A request that a stand-in received."""

    def __init__(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition('?')
        self.query = dict(parse.parse_qsl(query, keep_blank_values=True))

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ''


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        line = f'{time.monotonic() - self._began_s:8.3f} s  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name.strip(), value.strip()))
    return first, headers


def _value(headers: Headers, name: str) -> str:
    return next(
        (value for key, value in headers if key.lower() == name), ''
    )


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body that has a length or chunks."""
    if 'chunked' in _value(headers, 'transfer-encoding').lower():
        body = b''
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    length = _value(headers, 'content-length')
    return await reader.readexactly(int(length)) if length else b''


def message(first: str, headers: abc.Iterable[tuple[str, str]],
            body: bytes = b'') -> bytes:
    """Return the bytes of a message whose body has a length."""
    lines = [first, *(f'{key}: {value}' for key, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """HTTP/1.1 server; subclasses answer in ``serve``."""

    def __init__(self) -> None:
        self.address = ''
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        # Ids of the requests whose head arrived.
        self.begun_ids: set[str] = set()

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(
            self._serve_channel, ip, port, limit=1024 * 1024
        )
        found = self._server.sockets[0].getsockname()
        self.address = f'{found[0]}:{found[1]}'

    async def stop(self) -> None:
        """Stop listening and close all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ', 2)
                self.begun_ids.add(_value(headers, 'request-id'))
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                await self.serve(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Write the answer to a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.ver = 1
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.changes: list[tuple[float, dict[str, Any]]] = []
        self.oldest = 0
        self.calls: list[tuple[str, str]] = []
        self.delay_s = 0.004
        self._changed = asyncio.Condition()
        # While true, calls are done and their answers are lost.
        self.loses_answers = False
        # Channels on which an answer was lost; they deliver nothing further.
        self._silent: set[asyncio.StreamWriter] = set()

    @property
    def silent_count(self) -> int:
        """Return the number of channels on which an answer was lost."""
        return len(self._silent)

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row, or remove it if the value is None."""
        raw = None if value is None else json.dumps(value).encode()
        return await self.put_raw(table, key, raw)

    async def put_raw(self, table: str, key: str, raw: bytes | None) -> int:
        """Write bytes to a row; None removes it."""
        self.ver += 1
        self._put(table, key, raw)
        async with self._changed:
            self._changed.notify_all()
        return self.ver

    def _put(self, table: str, key: str, raw: bytes | None) -> None:
        row: dict[str, Any] = {
            'table': table, 'part': '', 'key': key, 'ver': self.ver
        }
        if raw is None:
            self.rows.pop((table, key), None)
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(raw).decode()
            self.rows[table, key] = row
        self.changes.append((time.monotonic(), row))
        while self.changes[0][0] < time.monotonic() - HISTORY_S:
            self.oldest = self.changes.pop(0)[1]['ver']

    def touch(self, table: str, key: str, value: Any) -> None:
        """Write a heartbeat, which does not change the row's version."""
        row = self.rows.get((table, key))
        if row is not None:
            raw = json.dumps(value).encode()
            row['value'] = base64.b64encode(raw).decode()

    def value(self, table: str, key: str) -> Any:
        """Return the value of a row, or None."""
        row = self.rows.get((table, key))
        return row and json.loads(base64.b64decode(row['value']))

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call."""
        self.calls.append((request.method, request.target))
        await asyncio.sleep(self.delay_s)
        status, content = await self._answer(request)
        if self.loses_answers:
            self._silent.add(writer)
        if writer in self._silent:
            return
        writer.write(
            message(
                f'HTTP/1.1 {status} -',
                [('Content-Type', 'application/json')],
                json.dumps(content).encode(),
            )
        )

    async def _answer(self, request: Request) -> tuple[int, Any]:
        match request.path:
            case '/rows-get':
                return 200, self._get(request.query)
            case '/rows-feed':
                return await self._feed(request.query)
            case '/rows-tx':
                return await self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> Any:
        begin, end = query.get('from', ''), query.get('to', '')
        limit = min(int(query.get('limit') or MAX_ROWS), MAX_ROWS)
        rows = sorted(
            (
                row
                for (table, key), row in self.rows.items()
                if table == query['table']
                and query.get('part', '') == ''
                and key.encode() >= begin.encode()
                and (not end or key.encode() < end.encode())
            ),
            key=lambda row: row['key'].encode(),
        )
        return {
            'rows': rows[:limit],
            'has_more': len(rows) > limit,
            'ver': self.ver,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        wait_s = min(int(query.get('wait_ms', '0')), 30_000) / 1000

        def found() -> list[dict[str, Any]]:
            return [
                row
                for _, row in self.changes
                if row['ver'] > after and row['table'] == query['table']
            ]

        if after < self.oldest:
            return 410, {}
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(found)
        if after < self.oldest:
            return 410, {}
        return 200, {
            'rows': found(),
            'ver': self.ver,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _transact(self, body: Any) -> tuple[int, Any]:
        touched = body.get('writes', []) + body.get('remove', [])
        if any(row['table'] in ('op', 'servers') for row in touched):
            return 403, {}
        expected = body.get('expected_rev', [])
        current = [
            self.rows.get((row['table'], row['key'])) for row in expected
        ]
        if any(
            (found['ver'] if found else 0) != row['ver']
            for row, found in zip(expected, current)
        ):
            return 412, {'rows': [each for each in current if each]}
        self.ver += 1
        for row in body.get('writes', []):
            self._put(
                row['table'], row['key'], base64.b64decode(row['value'])
            )
        for row in body.get('remove', []):
            self._put(row['table'], row['key'], None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {'ver': self.ver}


class Replica(Server):
    """A sound replica that registers itself and runs requests."""

    def __init__(
        self,
        site: Site,
        replica_id: str,
        service: str,
        zone: str = 'zone-a',
        version: str = 'v1',
    ) -> None:
        super().__init__()
        self.site = site
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.version = version
        self.state = 'ready'
        self.slots = 6
        self.work_s = 0.045
        self.events = 40
        self.gap_s = 0.05
        self.prefill_s = 0.3
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[float, Request]] = []
        self.arrivals: list[tuple[float, Request]] = []
        self._beat: asyncio.Task[None] | None = None

    def row(self) -> dict[str, Any]:
        """Return the entry in the table of servers."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def register(self) -> float:
        """Write the row now and with each heartbeat.

        :returns: when the store confirmed it.
        """
        await self.site.store.put('servers', self.replica_id, self.row())
        if self._beat is None:
            self._beat = asyncio.create_task(self._heartbeat())
        return time.monotonic()

    async def drain(self) -> float:
        """Report that this replica leaves; it goes on serving.

        :returns: when the store confirmed it.
        """
        self.state = 'draining'
        confirmed_s = await self.register()
        self.site.record.add(f'{self.replica_id} reported draining')
        return confirmed_s

    async def crash(self) -> None:
        """End at once, without a word to anybody."""
        self.end_heartbeat()
        await self.stop()
        self.site.record.add(f'{self.replica_id} crashes')
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._expire
        )

    def _expire(self) -> None:
        asyncio.ensure_future(
            self.site.store.put('servers', self.replica_id, None)
        )

    async def leave(self) -> None:
        """Remove the row and exit."""
        self.end_heartbeat()
        await self.site.store.put('servers', self.replica_id, None)
        await self.stop()
        self.site.record.add(f'{self.replica_id} has left')

    async def _heartbeat(self) -> None:
        # Only `sequence` rises, which does not change the entry.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.site.store.touch('servers', self.replica_id, self.row())

    def end_heartbeat(self) -> None:
        """Write the row no more."""
        if self._beat is not None:
            self._beat.cancel()

    def _common(self, request: Request) -> Headers:
        load = f'{self.running},0,{self.slots}'
        return [
            ('Request-Id', request.header('Request-Id')),
            ('Server-Load', load),
        ]

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or reject it."""
        if request.path == '/healthz':
            writer.write(
                message(
                    'HTTP/1.1 200 OK', [('Instance-Id', self.replica_id)]
                )
            )
            return
        self.arrivals.append((time.monotonic(), request))
        expected = request.header('Expected-Instance')
        common = self._common(request)
        if expected and expected != self.replica_id:
            writer.write(message('HTTP/1.1 421 Misdirected', common))
            return
        if not request.header('Request-Id'):
            writer.write(
                message(
                    'HTTP/1.1 400 Bad',
                    [*common, ('Not-Executed', '1')],
                )
            )
            return
        if self.running >= self.slots:
            writer.write(
                message('HTTP/1.1 503 Full', [*common, ('Not-Executed', '1')])
            )
            return
        self.runs.append((time.monotonic(), request))
        self.site.record.add(
            f'{self.replica_id} runs {request.method} {request.target} '
            f'id={request.header("Request-Id")} '
            f'Tenant={request.header("Tenant")!r} '
            f'Api-Key={request.header("Api-Key")!r} '
            f'body={len(request.body)} B'
        )
        self.running += 1
        try:
            await self.run(request, writer, common)
        finally:
            self.running -= 1

    async def run(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        common: Headers,
    ) -> None:
        """Answer a request that runs."""
        if request.header('Token-Usage'):
            await self._stream(request, writer, common)
            return
        await asyncio.sleep(self.work_s)
        writer.write(
            message(
                'HTTP/1.1 200 OK',
                [*common, ('Response-Signature', f'sig.{self.replica_id}')],
                f'done {request.header("Request-Id")}'.encode(),
            )
        )

    async def _stream(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        common: Headers,
    ) -> None:
        # A request starts to run with its first token.
        await asyncio.sleep(self.prefill_s)
        headers = [
            *common,
            ('Response-Signature', f'sig.{self.replica_id}'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        lines = [f'{key}: {value}' for key, value in headers]
        writer.write(
            ('HTTP/1.1 200 OK\r\n' + '\r\n'.join(lines) + '\r\n\r\n').encode()
        )
        last = int(request.header('Last-Event-Id') or 0)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


class Answer:
    """What a client got: status 0 if its channel ended without an answer."""

    def __init__(
        self, status: int, headers: Headers, body: bytes, took_s: float
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.took_s = took_s

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        return _value(self.headers, name.lower())


class Channel:
    """A channel of a client to an entry."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(Exception):
            self.writer.close()


async def connect(address: str) -> Channel:
    """Open a channel within a second."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(1.0):
        return Channel(*await asyncio.open_connection(host, int(port)))


class Site:
    """A small deployment: store, replicas and entries."""

    def __init__(self, folder: str) -> None:
        self.folder = pathlib.Path(folder).resolve()
        self.record = Record(self.folder)
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = Store()
        self.replicas: list[Replica] = []
        self.entries: dict[str, Entry] = {}
        self._temp = tempfile.TemporaryDirectory()
        self.temp = pathlib.Path(self._temp.name)
        # Subnet of loopback addresses, one for each machine.
        self._subnet = f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}'
        self.next_id = 0

    async def __aenter__(self) -> Site:
        await self.store.start()
        return self

    async def __aexit__(self, *details: object) -> None:
        for entry in self.entries.values():
            await entry.kill()
        for replica in self.replicas:
            replica.end_heartbeat()
            await replica.stop()
        await self.store.stop()
        self._temp.cleanup()

    async def configure(self, configuration: dict[str, Any]) -> float:
        """Write a configuration; return when the store confirmed it."""
        await self.store.put('op', 'config', configuration)
        self.record.add(
            f'operator wrote configuration {configuration["version"]}'
        )
        return time.monotonic()

    async def add_replica(
        self, replica_id: str, service: str, **options: Any
    ) -> Replica:
        """Start a replica and register it."""
        replica = Replica(self, replica_id, service, **options)
        await replica.start()
        await replica.register()
        self.replicas.append(replica)
        return replica

    async def add_entry(self, name: str, zone: str = 'zone-a') -> Entry:
        """Start an entry on its own loopback address."""
        number = len(self.entries) + 1
        entry = Entry(self, name, zone, f'{self._subnet}.{number}')
        self.entries[name] = entry
        await entry.start()
        return entry

    def new_id(self) -> str:
        """Return a new request id."""
        self.next_id += 1
        return f'{self.next_id:016x}'

    def runs(self, request_id: str) -> list[str]:
        """Return the ids of the replicas that ran a request, in order."""
        return [
            replica.replica_id
            for replica in self.replicas
            for _, request in replica.runs
            if request.header('Request-Id') == request_id
        ]


class Entry:
    """The project's program on one machine."""

    def __init__(self, site: Site, name: str, zone: str, ip: str) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process: asyncio.subprocess.Process | None = None
        self.ports = _free_ports(ip, 4)
        self.address = f'{ip}:{self.ports[0]}'
        self.settings: dict[str, Any] = {}

    async def start(self) -> None:
        """Start the process with the settings of the template."""
        front, readiness, directory, control = self.ports
        first = next(iter(self.site.entries.values()))
        self.settings = {
            'instance_id': self.name,
            'failure_domain': self.zone,
            'ip': self.ip,
            'caller_address': f'{self.ip}:{front}',
            'readiness_address': f'{self.ip}:{readiness}',
            'directory_address': f'{self.ip}:{directory}',
            'control_address': f'{self.ip}:{first.ports[3]}',
            'peer_ports': [7340, 7355],
            'seed_addresses': [f'{first.ip}:{first.ports[3]}'],
            'store_address': self.site.store.address,
            **BOUNDS,
        }
        path = self.site.temp / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        log = (self.site.temp / f'{self.name}.log').open('ab')
        deps = ROOT / 'target' / 'deps'
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', ''),
            'PYTHONPATH': str(deps),
            'GODWITVALVE_BOOT': str(path),
        }
        self.process = await asyncio.create_subprocess_exec(
            *ENTRY_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.site.record.add(f'{self.name} started at {self.address}')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.site.record.add(f'{self.name} gets {number.name}')
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            channel = await connect(f'{self.ip}:{self.ports[1]}')
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            channel.writer.write(message('GET /readyz HTTP/1.1',
                                         [('Host', self.ip)]))
            async with asyncio.timeout(1.0):
                first, _ = await read_head(channel.reader)
            return ' 200 ' in first + ' '
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            channel.close()

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Wait until the entry is ready.

        :raises CannotRun: if it is not ready in time.
        """
        until_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)
        # The table of servers is read a moment later.
        await asyncio.sleep(0.5)

    def memory_kb(self) -> int:
        """Return the private resident memory of the process in KiB."""
        assert self.process is not None
        try:
            status = pathlib.Path(
                f'/proc/{self.process.pid}/status'
            ).read_text()
        except OSError:
            return 0
        line = next(
            (x for x in status.splitlines() if x.startswith('RssAnon')), ''
        )
        return int(line.split()[1]) if line else 0

    def log(self) -> str:
        """Return what the process wrote."""
        return (self.site.temp / f'{self.name}.log').read_text()

    async def call(
        self,
        method: str,
        path: str,
        key: str | None,
        *,
        body: bytes = b'',
        headers: abc.Iterable[tuple[str, str]] = (),
        wait_s: float = 2.5,
        channel: Channel | None = None,
    ) -> tuple[str, Answer]:
        """Send a request as a client does; return its id and the answer."""
        request_id = self.site.new_id()
        sent = [
            ('Host', HOST),
            ('Request-Id', request_id),
            ('Deadline-Ms', str(int(wait_s * 1000))),
            *headers,
        ]
        if key is not None:
            sent.append(('Api-Key', key))
        self.site.record.add(
            f'client sends {method} {path} id={request_id} key={key} '
            f'to {self.name}'
        )
        began_s = time.monotonic()
        own = channel is None
        try:
            channel = channel or await connect(self.address)
            channel.writer.write(
                message(f'{method} {path} HTTP/1.1', sent, body)
            )
            async with asyncio.timeout(wait_s + 1.0):
                first, got = await read_head(channel.reader)
                content = await read_body(channel.reader, got)
            answer = Answer(
                int(first.split(' ')[1]),
                got,
                content,
                time.monotonic() - began_s,
            )
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
        ) as error:
            answer = Answer(
                0, [], type(error).__name__.encode(),
                time.monotonic() - began_s,
            )
        finally:
            if own and channel is not None:
                channel.close()
        self.site.record.add(
            f'client gets {answer.status} for id={request_id} '
            f'signature={answer.header("Response-Signature")!r} '
            f'after {answer.took_s * 1000:.0f} ms'
        )
        return request_id, answer


class CannotRun(Exception):
    """The case could not be played."""


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout_ms: int = 1200,
    max_attempts: int = 1,
    **more: Any,
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 150,
        'priority': 2,
        'service': service,
        'max_attempts': max_attempts,
        **more,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration."""
    found: dict[str, Any] = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 15000,
        },
    }
    if tenants is not None:
        found['tenants'] = tenants
    return found


def play(case: abc.Callable[[Site], abc.Awaitable[list[str]]],
         folder: str) -> None:
    """Play a case and exit: 1 rule broken, 0 held, 2 could not run.

    :param case: returns a line for each breach of the rule.
    """

    async def run() -> int:
        async with Site(folder) as site:
            try:
                async with asyncio.timeout(110):
                    breaches = await case(site)
            except (CannotRun, asyncio.TimeoutError, OSError) as error:
                site.record.add(f'could not run: {error!r}')
                return 2
            for line in breaches:
                site.record.add(f'BROKEN: {line}')
            site.record.add(
                f'trouble={int(site.has_trouble)} '
                f'result={"broken" if breaches else "held"}'
            )
            return 1 if breaches else 0

    sys.exit(asyncio.run(run()))
