"""Steps for the HTTP adapter to plain services."""

from __future__ import annotations

import asyncio
import json
import signal
import time
import urllib.request

import behave
from features.doubles import aio
from features.doubles import clocks
from features.doubles import hasty_endpoint
from features.doubles import processes
from features.doubles import raw_endpoint
from features.doubles import resending
from features.doubles import scripted_endpoint
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from godwitvalve.routing import endpoint
from godwitvalve.services import http
from godwitvalve.services import port
import hypothesis
from hypothesis import strategies

HEAD = b'HTTP/1.1 200 OK\r\n'
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)


def _use_port(context, number):
    context.service_port = number
    context.service_endpoint = endpoint.Endpoint(
        'p1', f'127.0.0.1:{number}', 'fd-1', 'case-status', 'v1', False
    )
    context.service_clock = clocks.ShiftedClock()
    _use_adapter(context, http.HttpPlainService)


def _use_adapter(context, kind):
    service = kind(context.service_clock)
    context.plain_service = service
    context.cleanups.append(lambda: aio.run(context, service.close()))


@behave.given('a running plain service')
def running_service(context):
    context.service_process, number = processes.start(
        context,
        'standins.plain',
        '--port=0',
        '--endpoint-id=p1',
        '--service=case-status',
        '--version=v1',
    )
    _use_port(context, number)


@behave.given('an adapter that lets aiohttp repeat requests')
def resending_adapter(context):
    _use_adapter(context, resending.ResendingService)


def _raw(context, answer):
    context.raw = raw_endpoint.RawEndpoint(answer)

    async def close():
        await context.raw.close()

    number = aio.run(context, context.raw.start())
    context.cleanups.append(lambda: aio.run(context, close()))
    _use_port(context, number)


@behave.given('a plain service that answers with hop-by-hop headers')
def hop_by_hop_service(context):
    _raw(
        context,
        HEAD + b'Content-Length: 2\r\nConnection: close, X-Hop\r\n'
        b'X-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Kept: 2\r\n\r\nok',
    )


@behave.given(
    'a plain service that answers with the byte {byte:d} in a header'
)
def byte_in_header_service(context, byte):
    _raw(context, HEAD + b'X-Note: a%cb\r\nContent-Length: 0\r\n\r\n' % byte)


@behave.given('a plain service that answers with status "{status}"')
def odd_status_service(context, status):
    line = b'HTTP/1.1 %s Odd\r\n' % status.encode()
    _raw(context, line + b'Content-Length: 4\r\n\r\nfine')


@behave.given('a plain service that answers a part without a length and exits')
def exiting_service(context):
    exiting = scripted_endpoint.ScriptedEndpoint(
        [HEAD + b'\r\na part', 0.02, 'exit']
    )
    aio.run(context, exiting.start())
    context.cleanups.append(lambda: aio.run(context, exiting.stop()))
    _use_port(context, int(exiting.address.rpartition(':')[2]))


@behave.given(
    'a plain service that answers a part without a length and ends by a {end}'
)
def hasty_service(context, end):
    hasty = hasty_endpoint.HastyEndpoint(HEAD + b'\r\na part', end)
    aio.run(context, hasty.start())
    context.cleanups.append(lambda: aio.run(context, hasty.stop()))
    _use_port(context, int(hasty.address.rpartition(':')[2]))


@behave.when('an upload of {size:d} bytes is sent to it')
def upload(context, size):
    request = _request('POST', '/complaints')
    _send(context, request._replace(body=bytes(size)))


@behave.given('a plain service that redirects')
def redirecting_service(context):
    _raw(
        context,
        b'HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/\r\n'
        b'Content-Length: 0\r\n\r\n',
    )


@behave.given(
    'a plain service that repeats its last answer before the next one'
)
def late_copy_service(context):
    context.raw = raw_endpoint.LateCopyEndpoint()
    number = aio.run(context, context.raw.start())
    context.cleanups.append(lambda: aio.run(context, context.raw.close()))
    _use_port(context, number)


@behave.then('the service answered "{text}"')
def service_answered(context, text):
    assert context.service_outcome.body == text.encode(), (
        context.service_outcome
    )


@behave.given('a plain service whose answer is too long')
def long_answer_service(context):
    size = http.MAX_ANSWER_BYTES + 1
    _raw(context, HEAD + b'Content-Length: %d\r\n\r\n' % size + b'x' * size)


@behave.given('a plain service that ends its answer early')
def short_answer_service(context):
    _raw(context, HEAD + b'Content-Length: 100\r\n\r\nonly this')


@behave.given('a plain service that ends its answer after the head')
def head_only_service(context):
    _raw(context, HEAD + b'\r\n')


@behave.then('no cut head of a plain service gives an answer')
def cut_heads(context):
    _raw(context, b'')
    whole = HEAD + b'Content-Length: 4\r\n\r\n'
    for size in range(1, len(whole)):
        context.raw.answer = whole[:size]
        _send(context, _request('POST', '/complaints', limit_s=2.0))
        assert isinstance(context.service_outcome, outcome.Unknown), whole[
            :size
        ]


def _request(method, target, headers=(), repeatable=False, limit_s=5.0):
    body = b'' if method in ('GET', 'DELETE') else 'noise \u00e9'.encode()
    return port.PlainRequest(
        method, target, headers, body, repeatable, time.time() + limit_s
    )


def _send(context, request):
    context.attempt = outcome.SendAttempt()
    context.service_outcome = aio.run(
        context,
        context.plain_service.send(
            context.service_endpoint, request, context.attempt
        ),
    )


def _get(context, path):
    url = f'http://127.0.0.1:{context.service_port}{path}'
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)


@behave.when('a POST to "{target}" is sent with key "{key}"')
def post_with_key(context, target, key):
    context.sent_target = target
    context.sent_key = key
    _send(context, _request('POST', target, (('Idempotency-Key', key),)))


@behave.when('a repeatable {method} to "{target}" is sent')
def send_repeatable(context, method, target):
    _send(context, _request(method, target, repeatable=True))


@behave.given('a {method} was answered before')
def answered_before(context, method):
    _send(context, _request(method, '/cases/7', repeatable=True))
    assert isinstance(context.service_outcome, outcome.Completed)


@behave.given('the plain service has the fault "{name}" set to {value}')
def set_service_fault(context, name, value):
    body = json.dumps({name: json.loads(value)}).encode()
    url = f'http://127.0.0.1:{context.service_port}/faults'
    urllib.request.urlopen(url, data=body, timeout=5).close()


@behave.given('the plain service process is killed')
@behave.when('the plain service process is killed')
def kill_service(context):
    context.service_process.kill()
    context.service_process.wait()


@behave.given('the plain service process is stopped')
def stop_service(context):
    context.service_process.send_signal(signal.SIGSTOP)


@behave.when('the plain service process continues')
def continue_service(context):
    context.service_process.send_signal(signal.SIGCONT)


@behave.when('a request with hop-by-hop headers is sent to it')
def send_hop_by_hop(context):
    headers = (
        ('Connection', 'keep-alive, X-Own-Hop'),
        ('X-Own-Hop', '1'),
        ('TE', 'trailers'),
        ('Upgrade', 'h2c'),
        ('Proxy-Authorization', 'secret'),
        ('Authorization', 'secret'),
        ('Host', 'caller-facing:80'),
        ('X-Case', '7'),
        ('Idempotency-Key', 'key-00001'),
    )
    _send(context, _request('GET', '/cases/7', headers))


@behave.when('a POST is sent with {limit_s:f} s to its deadline')
def post_with_deadline(context, limit_s):
    _send(context, _request('POST', '/complaints', limit_s=limit_s))


@behave.when('a POST is sent and its deadline passes while it connects')
def deadline_while_connecting(context):
    request = _request('POST', '/complaints')
    check = context.plain_service._before_write

    async def pause(*args):
        context.service_clock.shift_s = 60.0
        await check(*args)

    context.plain_service._before_write = pause
    _send(context, request)


@behave.when('a POST is sent and the service is killed once it runs')
def kill_while_running(context):
    async def send_and_kill():
        attempt = outcome.SendAttempt()
        sending = asyncio.create_task(
            context.plain_service.send(
                context.service_endpoint,
                _request('POST', '/complaints'),
                attempt,
            )
        )
        while not await asyncio.to_thread(_get, context, '/log'):
            await asyncio.sleep(0.01)
        kill_service(context)
        return await sending

    context.service_outcome = aio.run(context, send_and_kill())


@behave.then('the service outcome is complete with status {status:d}')
def service_complete(context, status):
    found = context.service_outcome
    assert isinstance(found, outcome.Completed), found
    assert found.status == status, found


@behave.then('the service outcome is {name}')
def service_outcome_code(context, name):
    code = codes.ResultCode[name]
    assert context.service_outcome.code is code, context.service_outcome


@behave.then('the service logged the request as it was sent')
def service_logged(context):
    (entry,) = _get(context, '/log')
    assert entry['path'] == context.sent_target, entry
    assert entry['key'] == context.sent_key, entry
    assert entry['body'] == 'noise \u00e9', entry


@behave.then('only end-to-end headers were forwarded in both directions')
def headers_forwarded(context):
    (head,) = context.raw.heads
    names = {
        line.split(':')[0].lower()
        for line in head.splitlines()[1:]
        if ':' in line
    }
    assert names == {'host', 'x-case', 'idempotency-key', 'connection'}, names
    assert 'caller-facing' not in head
    assert 'connection: close' in head.lower(), head
    assert context.service_outcome.headers == (('X-Kept', '2'),)
    assert context.service_outcome.body == b'ok'


@behave.then('the service ran {count:d} calls')
def service_ran(context, count):
    log = _get(context, '/log')
    assert len(log) == count, log


@behave.then('the service ran at most {count:d} calls')
def service_ran_at_most(context, count):
    log = _get(context, '/log')
    assert len(log) <= count, log


@behave.then('its load report says that it is leaving')
def load_is_leaving(context):
    report = aio.run(
        context, context.plain_service.load(context.service_endpoint)
    )
    assert report.state == 'leaving', report
    assert report.version == 'v1', report


@behave.then('no load report can be read')
def no_load_report(context):
    try:
        aio.run(context, context.plain_service.load(context.service_endpoint))
    except port.ServiceUnavailable:
        return
    raise AssertionError('a killed service reported its load')


@behave.then('random answers of a plain service give an outcome')
def random_answers(context):
    _raw(context, b'')
    answers = strategies.one_of(
        strategies.binary(max_size=300),
        strategies.binary(max_size=300).map(lambda data: HEAD + data),
        strategies.binary(max_size=100).map(
            lambda data: HEAD + b'Content-Length: 50\r\n\r\n' + data
        ),
    )

    def answer_with(answer):
        context.raw.answer = answer
        _send(context, _request('POST', '/complaints', limit_s=2.0))
        assert isinstance(
            context.service_outcome, (outcome.Completed, outcome.Unknown)
        ), context.service_outcome

    SETTINGS(hypothesis.given(answers)(answer_with))()
