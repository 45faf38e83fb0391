"""Double of an entry instance: the real relay behind faulty handlers."""

from __future__ import annotations

import asyncio
import contextlib
import time

from aiohttp import web
from features.doubles import relay_fakes
import orjson

from godwitvalve import clock
from godwitvalve.generations import events
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import requests
from godwitvalve.generations import results
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from godwitvalve.outcomes import problem

KEY = b'k' * 32
CREDENTIAL = 'secret'
SEED = 11


class IntervalEngine:
    """Engine that sends two tokens every 2 ms."""

    async def generate(self, endpoint, order):
        script = ', '.join(['2 tokens'] * 40)
        stream = relay_fakes.ScriptedStream(order, len(order.prefix_token_ids))
        yield relay_fakes.ScriptedEngine().started_event(endpoint, order)
        for step in script.split(', '):
            await asyncio.sleep(0.002)
            remaining = order.max_tokens - stream.cursor
            async for event in stream.run(
                step if remaining > 2 else f'{remaining} tokens'
            ):
                yield event
            if remaining <= 2:
                yield stream.ended(order.max_tokens)
                return

    async def resume(self, endpoint, stream_id, order):
        raise relay_fakes.port.EngineError('stream_gone', True)
        yield

    async def cancel(self, endpoint, stream_id):
        pass


class ServiceCalls:
    """Records calls of plain services for all doubles of one system."""

    def __init__(self):
        self.runs = []
        self.by_key = {}
        self.sent_keys = []


class EntryDouble:
    """One entry instance with faults that a test injects.

    :ivar faults: names of faults; each is injected once, in order.
    """

    def __init__(self, name, service_calls):
        self.name = name
        self.service_calls = service_calls
        self.faults = []
        self.service_faults = []
        self.completions = []
        self.address_calls = 0
        self.entries = []
        self.validity_s = 60.0
        self._relay = None

    async def start(self):
        app = web.Application()
        app.add_routes(
            [
                web.get('/v1/addresses', self._addresses),
                web.post('/v1/completions', self._completion),
                web.post('/v1/keys', self._keys),
                web.route('*', '/v1/services/{service}/{path:.*}', self._call),
            ]
        )
        self._relay = relay.Relay(IntervalEngine(), KEY, clock.SystemClock())
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await self._site.start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'

    async def stop_listening(self):
        await self._site.stop()

    async def stop(self):
        await self._relay.close()
        await self._runner.cleanup()

    def _problem(self, code):
        details = problem.describe(code)
        return web.json_response(
            details,
            status=details['status'],
            content_type=problem.CONTENT_TYPE,
        )

    def _is_known(self, request):
        return request.headers.get('Authorization') == f'Bearer {CREDENTIAL}'

    async def _addresses(self, request):
        self.address_calls += 1
        if not self._is_known(request):
            return self._problem(codes.ResultCode.UNAUTHENTICATED)
        return web.json_response(
            {
                'addresses': [
                    {
                        'instance_id': entry.name,
                        'address': entry.address,
                        'failure_domain': f'fd-{entry.name}',
                    }
                    for entry in self.entries
                ],
                'valid_until_wall_s': time.time() + self.validity_s,
            }
        )

    async def _completion(self, request):
        body = await request.read()
        last_id = request.headers.get('Last-Event-ID')
        parsed = requests.parse(body)
        assert not isinstance(parsed, outcome.NotRun), parsed
        self.completions.append((last_id, parsed))
        fault = self.faults.pop(0) if self.faults else ''
        if fault.startswith('code '):
            return self._problem(codes.ResultCode(int(fault.split()[1])))
        generation = plan.plan_generation(
            parsed, last_id, 'acc', [KEY], time.time()
        )
        if isinstance(generation, outcome.NotRun):
            return self._problem(generation.code)
        response = web.StreamResponse(
            headers={'Content-Type': events.CONTENT_TYPE}
        )
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            await self._stream(request, response, generation, fault)
        return response

    async def _stream(self, request, response, generation, fault):
        picker = relay_fakes.ListPicker([relay_fakes.endpoint('e1')])
        formatter = events.EventFormatter(generation.request_id, 'm', 'v1')
        count = 0
        stream = self._relay.run(generation, picker)
        async with contextlib.aclosing(stream):
            async for result in stream:
                match result:
                    case results.Delivered():
                        data = formatter.delivered(result)
                    case results.Finished():
                        data = formatter.finished(result)
                    case results.Failed():
                        data = formatter.failed(result)
                    case _:
                        data = events.HEARTBEAT
                count += 1
                data = await self._inject_fault(request, count, data, fault)
                if data is None:
                    return
                await response.write(data)
        await response.write_eof()

    async def _inject_fault(self, request, count, data, fault):
        is_last = b'[DONE]' in data
        match fault:
            case 'closes' if count == 4:
                request.transport.abort()
                return None
            case 'stops sending' if count == 4:
                await asyncio.sleep(3600)
            case 'skips tokens' if count == 3:
                return b''
            case 'repeats tokens' if count == 3:
                return data + data
            case 'changes a token' if count == 3:
                body = data.split(b'"token_ids":[')
                return body[0] + b'"token_ids":[1' + body[1]
            case 'sends half an event' if count == 3:
                await asyncio.sleep(0)
                return data.replace(b'{', b'[', 1)
            case 'omits the end mark' if is_last:
                return data.replace(events.DONE, b'')
            case 'miscounts' if is_last:
                return data.replace(b'"token_count":', b'"token_count":1')
            case 'sends an error event' if count == 4:
                failed = results.Failed(
                    codes.ResultCode.RESUME_ATTEMPTS_EXHAUSTED, ''
                )
                return events.EventFormatter('r', 'm', 'v1').failed(failed)
            case 'says the version is gone' if count == 4:
                failed = results.Failed(codes.ResultCode.VERSION_GONE, '')
                return events.EventFormatter('r', 'm', 'v1').failed(failed)
        return data

    async def _keys(self, request):
        return web.json_response(
            {'key': f'key-{len(self.service_calls.sent_keys)}'}
        )

    async def _call(self, request):
        key = request.headers.get('Idempotency-Key')
        body = await request.read()
        self.service_calls.sent_keys.append(key)
        fault = self.service_faults.pop(0) if self.service_faults else ''
        if fault.startswith('code '):
            return self._problem(codes.ResultCode(int(fault.split()[1])))
        if key is None or key not in self.service_calls.by_key:
            self.service_calls.runs.append((request.match_info['path'], body))
            self.service_calls.by_key[key] = len(self.service_calls.runs)
        if fault == 'loses the answer':
            request.transport.abort()
        return web.Response(
            body=orjson.dumps({'run': self.service_calls.by_key[key]}),
            status=201,
        )
