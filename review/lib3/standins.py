"""Small stand-ins for the platform of the users; standard library only.

Store, replicas and clients run in the process of a case, entries run as
separate processes with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'k3y0fth3t3nant'
HEARTBEAT_S = 1.2
SILENCE_S = 3 * HEARTBEAT_S
LIMIT_S = 112.0


class Request:
    """A request as it was received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


async def _read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


def answer(status, headers=(), body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in dict(headers).items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def _serve_connection(handle, reader, writer):
    try:
        while True:
            first, headers = await _read_head(reader)
            method, target, _ = first.split(' ')
            body = await _read_body(reader, headers)
            request = Request(method, target, headers, body)
            reply = await handle(request, writer)
            if reply is None:
                break
            writer.write(reply)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    except asyncio.CancelledError:
        # The case has ended.
        pass
    finally:
        writer.close()


async def serve(handle, host='127.0.0.1', port=0):
    """Serve HTTP; return the server and its address."""

    async def connected(reader, writer):
        await _serve_connection(handle, reader, writer)

    server = await asyncio.start_server(connected, host, port)
    name = server.sockets[0].getsockname()
    return server, f'{name[0]}:{name[1]}'


class Store:
    """The platform's store: rows, feeds and transactions."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self.changes = []
        self.is_down = False
        self._changed = asyncio.Condition()
        self.address = ''

    async def start(self):
        _, self.address = await serve(self._handle)

    async def put(self, table, key, value):
        await self._apply([(table, key, json.dumps(value).encode())])

    async def remove(self, table, key):
        await self._apply([(table, key, None)])

    async def _apply(self, writes):
        self.version += 1
        for table, key, value in writes:
            row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
            if value is None:
                self.rows.pop((table, key), None)
                row['deleted'] = True
            else:
                row['value'] = base64.b64encode(value).decode()
                self.rows[table, key] = row
            self.changes.append(row)
        async with self._changed:
            self._changed.notify_all()

    def _rows_answer(self, rows):
        body = {
            'rows': rows,
            'has_more': False,
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }
        return self._json(200, body)

    @staticmethod
    def _json(status, body):
        headers = {'Content-Type': 'application/json'}
        return answer(status, headers, json.dumps(body).encode())

    def _since(self, table, after):
        return [
            row
            for row in self.changes
            if row['table'] == table and row['ver'] > after
        ]

    async def _handle(self, request, writer):
        path, _, query = request.target.partition('?')
        query = dict(parse.parse_qsl(query))
        if self.is_down:
            return answer(503)
        if path == '/rows-get':
            found = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query['table'] and key >= query.get('from', '')
            ]
            return self._rows_answer(found)
        if path == '/rows-feed':
            after = int(query['after'])
            wait_s = int(query.get('wait_ms', '0')) / 1000
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            self.is_down
                            or self._since(query['table'], after)
                        )
                    )
            except TimeoutError:
                pass
            if self.is_down:
                return answer(503)
            return self._rows_answer(self._since(query['table'], after))
        if path == '/rows-tx':
            body = json.loads(request.body)
            for each in body.get('expected_rev', []):
                known = self.rows.get((each['table'], each['key']), {})
                if known.get('ver', 0) != each['ver']:
                    return self._json(412, {'rows': [known] if known else []})
            await self._apply(
                [
                    (each['table'], each['key'], base64.b64decode(each['value']))
                    for each in body.get('writes', [])
                ]
                + [
                    (each['table'], each['key'], None)
                    for each in body.get('remove', [])
                ]
            )
            return self._json(200, {'ver': self.version})
        return answer(404)

    async def set_down(self, is_down):
        self.is_down = is_down
        async with self._changed:
            self._changed.notify_all()


class Replica:
    """A sound replica: runs what names it, declines the rest.

    :param record: called with each arrival and run.
    """

    def __init__(self, replica_id, service, record, work_s=0.045):
        self.replica_id, self.service = replica_id, service
        self.work_s = work_s
        self.events, self.gap_s = 40, 0.1
        # Whether streams come in chunks; otherwise they end with their channel.
        self.is_framed = True
        # Time to read a prompt: for itself, and for each token.
        self.first_s, self.token_s = 0.0, 0.0
        self.is_leaving = False
        self.record = record
        self.arrivals = []
        self.runs = []
        self.address = ''
        self.server = None
        # Returns the bytes of an answer of its own, or None.
        self.special = lambda request: None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        # Channels on which a request is being answered.
        self.open_channels = set()
        # Where it listens; the address in its row may be that of a link.
        self.own_address = ''

    async def start(self, port=0):
        self.server, self.own_address = await serve(self.handle, port=port)
        self.address = self.own_address

    def row(self, state='ready'):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def headers(self, request):
        found = {
            'Request-Id': request.get('request-id'),
            'Server-Load': '1,0,6',
        }
        if self.is_leaving:
            found['Server-Leaving'] = '1'
        return found

    async def handle(self, request, writer):
        if request.target == '/healthz':
            found = {'Instance-Id': self.replica_id, 'Server-Load': '0,0,6'}
            if self.is_leaving:
                found['Server-Leaving'] = '1'
            return answer(503 if self.is_leaving else 200, found)
        at_s = time.monotonic()
        request_id = request.get('request-id')
        headers = self.headers(request)
        if request.get('expected-instance') not in ('', self.replica_id):
            self.record('421', self.replica_id, request_id)
            return answer(421, headers)
        self.arrivals.append((at_s, request_id))
        own = self.special(request)
        if own is not None:
            self.record('turned away', self.replica_id, request_id)
            return own
        self.runs.append((at_s, request_id))
        self.record('run', self.replica_id, request_id, request.target)
        headers['Response-Signature'] = f'sig-{self.replica_id}-{request_id}'
        if request.get('token-usage'):
            return await self._stream(request, writer, headers)
        self.open_channels.add(writer)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.open_channels.discard(writer)
        return answer(200, headers, b'x' * 800)

    def exit(self):
        """End as a process that exits; what it works on is lost."""
        self.server.close()
        for writer in list(self.open_channels):
            writer.transport.abort()

    async def _write_events(self, request, writer):
        first = int(request.get('last-event-id') or 0) + 1
        # The sheets have five tokens in an event.
        most = int(request.get('token-usage').split(',')[1]) // 5
        for number in range(first, min(self.events, most) + 1):
            await asyncio.sleep(self.gap_s)
            event = b'id: %d\ndata: token\n\n' % number
            if self.is_framed:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()

    def head(self, headers):
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        return '\r\n'.join([*lines, '', '']).encode()

    async def _stream(self, request, writer, headers):
        prompt_tokens = int(request.get('token-usage').split(',')[0])
        await asyncio.sleep(self.first_s + prompt_tokens * self.token_s)
        headers['Content-Type'] = 'text/event-stream'
        if self.is_framed:
            headers['Transfer-Encoding'] = 'chunked'
        else:
            headers['Connection'] = 'close'
        writer.write(self.head(headers))
        self.open_channels.add(writer)
        try:
            await self._write_events(request, writer)
        finally:
            self.open_channels.discard(writer)
        return b'0\r\n\r\n' if self.is_framed else None


class Reply:
    """What a client got.

    :ivar status: 0 if there was no answer.
    """

    def __init__(self, status=0, headers=None, body=b'', is_whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.is_whole = body, is_whole


async def call(address, method, path, request_id, headers=(), body=b'',
               limit_s=10.0):
    """Send one request on a new channel and read its answer."""
    host, _, port = address.rpartition(':')
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Host: {HOST}',
                f'Request-Id: {request_id}',
                f'Deadline-Ms: {int(limit_s * 1000)}',
                f'Api-Key: {KEY}',
                *(f'{name}: {value}' for name, value in dict(headers).items()),
            ]
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            first, found = await _read_head(reader)
            reply.status = int(first.split(' ')[1])
            reply.headers = found
            reply.body = await _read_body(reader, found)
            reply.is_whole = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return reply


def route(name, prefix, kind, service, **changes):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 2500,
        'target_latency_ms': 200,
        'priority': 2,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        **changes,
    }


def configuration(version, routes, services):
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant1', 'api_keys': [KEY]}],
    }


class Entry:
    """A process of the system on its own loopback address."""

    def __init__(self, name, settings, folder):
        self.name, self.settings = name, settings
        self.folder = folder
        self.process = None

    @property
    def address(self):
        return self.settings['caller_address']

    def start(self):
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['GODWITVALVE_BOOT'] = str(path)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                deploy['roles']['entry']['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self):
        deadline_s = time.monotonic() + 25.0
        while time.monotonic() < deadline_s:
            reply = await call(
                self.settings['readiness_address'], 'GET', '/readyz', 'ready',
                limit_s=1.0,
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')


class CannotRun(Exception):
    """The case could not run."""


class Site:
    """Store, replicas and entries of one case, and its record."""

    def __init__(self, folder):
        self.began_s = time.monotonic()
        self.store = Store()
        self.entries = []
        self._folder = folder
        self._lines = []
        self._beats = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.temporary = pathlib.Path(self._temporary.name)

    def record(self, *words):
        at_s = time.monotonic() - self.began_s
        self._lines.append(f'{at_s:9.3f} ' + ' '.join(map(str, words)))

    def close(self, verdict):
        self.record(verdict)
        for entry in self.entries:
            entry.kill()
        for path in self.temporary.glob('*.runs'):
            for line in path.read_text().splitlines():
                at_s, _, words = line.partition(' ')
                at_s = float(at_s) - self.began_s
                self._lines.append(f'{at_s:9.3f} {words}')
        self._lines.sort(key=lambda line: float(line.split()[0]))
        (self._folder / 'record.txt').write_text('\n'.join(self._lines) + '\n')
        self._temporary.cleanup()

    def _free_ports(self, ip, count):
        found = []
        while len(found) < count:
            port = random.randrange(12000, 30000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            found.append(port)
        return found

    def add_entries(self, count):
        """Add entries with the settings of a small deployment."""
        subnet = f'127.{random.randrange(64, 96)}.{random.randrange(256)}'
        ports = self._free_ports(f'{subnet}.1', 5)
        caller, readiness, directory, control, peer = ports
        for number in range(1, count + 1):
            ip = f'{subnet}.{number}'
            settings = {
                'instance_id': f'front-{number}',
                'failure_domain': 'zone-a',
                'ip': ip,
                'caller_address': f'{ip}:{caller}',
                'readiness_address': f'{ip}:{readiness}',
                'directory_address': f'{ip}:{directory}',
                'control_address': f'{ip}:{control}',
                'peer_ports': [peer, peer + 10],
                'seed_addresses': [f'{subnet}.1:{control}'],
                'store_address': self.store.address,
                'stop_limit_s': 8.0,
                'address_validity_limit_s': 5.0,
                'address_reuse_s': 2.0,
                'retry_budget_ratio': 0.8,
                'retry_budget_burst': 150.0,
                'exposure_share': 0.1,
                'exposure_slack': 50.0,
                'memory_mb': 150.0,
                'configuration_limit_ms': 2000.0,
                'cpu_share': 0.537,
                'cores': 2,
                'link_mbps': 1000.0,
                'drain_limit_ms': 2000.0,
                'contact_limit_ms': 3000.0,
            }
            self.entries.append(
                Entry(f'front-{number}', settings, self.temporary)
            )

    async def start_entries(self):
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()

    async def register(self, replica):
        """Let a replica write its row and repeat it."""
        await self.store.put('servers', replica.replica_id, replica.row())

        async def beat():
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                if not self.store.is_down:
                    # The entry changes when more than the sequence changes.
                    replica.sequence += 1

        self._beats[replica.replica_id] = asyncio.create_task(beat())

    async def unregister(self, replica):
        self._beats.pop(replica.replica_id).cancel()
        await self.store.remove('servers', replica.replica_id)


def run(folder, play):
    """Play a case; return its exit code.

    :param play: called with the site and whether the disruption happens;
        returns what broke the rule, or an empty text.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def limited():
        site = Site(pathlib.Path(folder))
        verdict = 'could not run'
        try:
            async with asyncio.timeout(LIMIT_S):
                await site.store.start()
                broken = await play(site, has_trouble)
            verdict = f'broken: {broken}' if broken else 'held'
            return 1 if broken else 0
        except Exception as error:
            verdict = f'could not run: {type(error).__name__}: {error}'
            for entry in site.entries:
                path = site.temporary / f'{entry.name}.log'
                if path.exists():
                    site.record(repr(path.read_text()[-600:]))
            return 2
        finally:
            print(verdict)
            # Servers that are still open are cancelled from here on.
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: None
            )
            if keep := os.environ.get('KEEP_LOGS'):
                for path in site.temporary.glob('*.log'):
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )
            site.close(verdict)

    return asyncio.run(limited())


class Link:
    """Address of a machine, whose link can be cut.

    While it is cut, bytes in flight wait at their sender, and the packets
    that open new channels are dropped: the queue of new channels is full.
    """

    def __init__(self):
        self.address = ''
        # Where the replica of the machine listens; empty if there is none.
        self.target = ''
        self._healed = asyncio.Event()
        self._healed.set()
        self._fillers = []
        self._tasks = set()

    async def start(self):
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.bind(('127.0.0.1', 0))
        self._socket.listen(128)
        host, port = self._socket.getsockname()
        self.address = f'{host}:{port}'
        self._accepting = asyncio.create_task(self._accept())

    def cut(self):
        self._healed.clear()
        self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._fillers.append(filler)

    def heal(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.listen(128)
        self._healed.set()
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._relay(near))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _relay(self, near):
        near_streams = await asyncio.open_connection(sock=near)
        host, _, port = self.target.rpartition(':')
        try:
            far_streams = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError):
            near_streams[1].close()
            return
        await asyncio.gather(
            self._pass(near_streams[0], far_streams[1]),
            self._pass(far_streams[0], near_streams[1]),
        )

    async def _pass(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self._healed.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


class ReplicaProcess:
    """A replica in a process of its own, for signals.

    :param site: merges its runs into the record.
    :param options: further options of ``replica.py``.
    """

    def __init__(self, site, replica_id, service, *options):
        self.replica_id, self.service = replica_id, service
        self.process = subprocess.Popen(
            [
                'python3',
                str(pathlib.Path(__file__).with_name('replica.py')),
                f'--id={replica_id}',
                f'--service={service}',
                f'--run-log={site.temporary / replica_id}.runs',
                *options,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.own_address = self.process.stdout.readline().strip()
        self.address = self.own_address
        self.born = int(time.time() * 1000)
        self.sequence = 0

    row = Replica.row

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
