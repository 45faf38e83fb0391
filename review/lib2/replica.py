"""Replica stand-in: plain calls and resumable event streams over HTTP/1.1.

Uses the standard library only. Appends one JSON line to its log for each
request that arrives, is declined, runs or ends, so that nothing is lost when
the process is killed.
"""

import argparse
import asyncio
import json
import os
import time

# Written in the middle of a stream by a faulty replica; no event.
WRONG_BYTES = b'\x15\x03wrong bytes\x7f\n\n'
# Written in a head by a faulty replica: one byte of the name is wrong.
WRONG_NAME = 'Signatuse'


class Replica:
    def __init__(self, options):
        self.options = options
        self.log = os.open(
            options.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )
        self.running = 0
        self.is_leaving = False
        self.stream_count = 0
        self.call_count = 0

    def record(self, what, **details):
        line = {
            'at_s': round(time.monotonic(), 4),
            'replica': self.options.id,
            'what': what,
            **details,
        }
        os.write(self.log, (json.dumps(line) + '\n').encode())

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if target == self.options.health:
            return await self.health(writer)
        if target == '/report':
            return await self.plain(writer, 404, b'', [])
        if target.startswith('/standin/'):
            return await self.control(writer, target)
        request_id = headers.get('request-id', '')
        self.record(
            'arrived', id=request_id, method=method, target=target,
            tenant=headers.get('tenant', ''),
            expected=headers.get('expected-instance', ''),
            last_event=headers.get('last-event-id', ''),
        )
        common = [
            f'Request-Id: {request_id}',
            f'Server-Load: {self.running},0,{self.options.slots}',
        ]
        if self.is_leaving:
            common.append('Server-Leaving: 1')
        expected = headers.get('expected-instance')
        if expected not in (None, self.options.id):
            self.record('declined', id=request_id, status=421)
            return await self.plain(writer, 421, b'', common)
        if self.running >= self.options.slots:
            self.record('declined', id=request_id, status=503)
            common.append('Not-Executed: 1')
            return await self.plain(writer, 503, b'', common)
        self.record('runs', id=request_id, body=body.decode('latin-1')[:60])
        common.append(f'Response-Signature: {self.options.id}.{request_id}')
        self.running += 1
        try:
            if 'token-usage' in headers:
                return await self.stream(writer, headers, request_id, common)
            await asyncio.sleep(self.options.work_ms / 1000)
            text = f'{self.options.id} ran {request_id}'.encode()
            self.call_count += 1
            if self.call_count == self.options.spoiled_call:
                self.record('spoils', id=request_id)
                common[-1] = common[-1].replace('Signature', WRONG_NAME)
            is_open = await self.plain(writer, 200, text, common)
            self.record('ended', id=request_id)
            return is_open
        finally:
            self.running -= 1

    async def stream(self, writer, headers, request_id, common):
        is_framed = self.options.framing == 'chunked'
        framing = (
            ['Transfer-Encoding: chunked']
            if is_framed
            else ['Connection: close']
        )
        head = [
            'HTTP/1.1 200 OK', *common, 'Content-Type: text/event-stream',
            *framing, '', '',
        ]
        writer.write('\r\n'.join(head).encode())
        last = int(headers.get('last-event-id') or 0)
        self.stream_count += 1
        spoils = self.stream_count == self.options.spoiled_stream
        for number in range(last + 1, self.options.events + 1):
            await asyncio.sleep(self.options.gap_ms / 1000)
            event = f'id: {number}\ndata: {request_id} token {number}\n\n'
            data = event.encode()
            if spoils and number == self.options.events // 2:
                self.record('spoils', id=request_id, event=number)
                data += WRONG_BYTES
            if is_framed:
                data = f'{len(data):x}\r\n'.encode() + data + b'\r\n'
            writer.write(data)
            await writer.drain()
        if is_framed:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record('ended', id=request_id)
        return is_framed

    async def health(self, writer):
        status = 503 if self.is_leaving else 200
        return await self.plain(
            writer, status, b'', [f'Instance-Id: {self.options.id}']
        )

    async def control(self, writer, target):
        if target == '/standin/leave':
            self.is_leaving = True
            self.record('leaves')
        return await self.plain(writer, 200, b'', [])

    async def plain(self, writer, status, body, headers):
        closing = ['Connection: close'] if self.is_leaving else []
        head = [
            f'HTTP/1.1 {status} Status', *headers, *closing,
            f'Content-Length: {len(body)}', '', '',
        ]
        writer.write('\r\n'.join(head).encode() + body)
        await writer.drain()
        return not closing


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--log', required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--work-ms', type=float, default=45)
    parser.add_argument('--events', type=int, default=120)
    parser.add_argument('--gap-ms', type=float, default=30)
    parser.add_argument('--framing', default='chunked')
    parser.add_argument('--spoiled-stream', type=int, default=0)
    parser.add_argument('--spoiled-call', type=int, default=0)
    parser.add_argument('--health', default='/healthz')
    replica = Replica(parser.parse_args())
    server = await asyncio.start_server(
        replica.serve, '127.0.0.1', replica.options.port
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
