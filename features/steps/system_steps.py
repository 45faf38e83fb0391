"""Steps for a site of real processes."""

from __future__ import annotations

import json
import signal
import socket
import tempfile
import threading
import time
import urllib.error
import urllib.request

import behave
from godwitvalve.outcomes import codes
from standins.engine import tokens
from standins import local_site
from standins import small_site

PROMPT = 'Summarise the diary of November.'
SEED = 7
TOKEN_INTERVAL_MS = 5
COMPLAINT = {'case': 17, 'text': 'night market after midnight'}
CALLER_LIMIT_S = 60
ANSWER_LIMIT_S = 15


def _headers(key=None):
    headers = {'Authorization': f'Bearer {small_site.CREDENTIAL}'}
    if key is not None:
        headers['Idempotency-Key'] = key
    return headers


def _post(address, path, body, key=None, method='POST'):
    """Return status, headers and decoded body of one request."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f'http://{address}{path}', data, _headers(key), method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_LIMIT_S) as answer:
            return answer.status, answer.headers, json.loads(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.loads(error.read())


def _get(address, path):
    return _post(address, path, None, method='GET')


def _portal_answers(site):
    return all(
        _get(address, '/v1/services/portal/cases/1')[0] == 200
        for address in site.addresses()
    )


def _model_answers(site):
    body = {'model': 'summaries', 'prompt': 'x', 'max_tokens': 1}
    return all(
        _post(address, '/v1/completions', {**body, 'stream': False})[0] == 200
        for address in site.addresses()
    )


def _status(site, name):
    return _get(site.members[name].address, '/v1/status')[2]


@behave.given('a small site with {engines:d} engines')
def start_small_site(context, engines):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    site = small_site.new_site(folder.name)
    context.cleanups.append(site.stop)
    context.site = site
    site.start(3, engines, '--token-interval-ms', str(TOKEN_INTERVAL_MS))
    text = small_site.build_text({'v1': small_site.version()})
    applied = site.apply(text, 0)
    assert applied.returncode == 0, applied.stderr
    for name in site.entry_ids():
        site.wait_ready(name)
    local_site.wait_until(lambda: _portal_answers(site), 'portal answers')
    local_site.wait_until(lambda: _model_answers(site), 'model answers')


@behave.given('the platform is down')
def platform_down(context):
    context.site.set_faults('platform', down=True)


@behave.given("the platform's store is down and its list answers")
def store_down(context):
    context.site.set_faults('platform', store_down=True)


@behave.given('an engine of version v2 that the text names')
def engine_v2(context):
    site = context.site
    site.store_weights('summaries-v2')
    site.start_engine(
        local_site.EndpointSpec('engine-v2', 'summaries', 'v2', 'fd-1')
    )
    models = {
        'v1': small_site.version(weights='summaries-v1'),
        'v2': small_site.version(
            small_site.done_by(3600), weights='summaries-v2'
        ),
    }
    text = small_site.build_text({'v1': small_site.version()}, models)
    applied = site.apply(text, 1)
    assert applied.returncode == 0, applied.stderr


# Generations


def _start_caller(context, count):
    # The caller chooses the entry; it is found by its request in flight.
    return context.site.start_caller(
        'complete',
        small_site.MODEL,
        PROMPT,
        '--max-tokens',
        str(count),
        '--seed',
        str(SEED),
        '--json',
    )


def _streams(site, name):
    return site.log(name)['streams']


def _busy_engine(site, least_tokens=40):
    for name, member in site.members.items():
        if member.kind != 'engine' or member.process.poll() is not None:
            continue
        for stream in _streams(site, name):
            is_long = stream['generated_tokens'] >= least_tokens
            if is_long and not stream['end_reason']:
                return name
    return None


@behave.when('a caller asks for an answer of {count:d} tokens')
def one_caller(context, count):
    context.count = count
    context.callers = [_start_caller(context, count)]
    _find_busy(context)


@behave.when('{callers:d} callers ask for an answer of {count:d} tokens each')
def many_callers(context, callers, count):
    context.count = count
    context.callers = [_start_caller(context, count) for _ in range(callers)]
    _find_busy(context)


def _find_busy(context):
    for caller in context.callers:
        context.cleanups.append(caller.kill)
    site = context.site
    context.engine = local_site.wait_until(
        lambda: _busy_engine(site), 'a stream'
    )
    context.entry = next(
        name
        for name in site.entry_ids()
        if _status(site, name)['in_flight'] > 0
    )


@behave.when('the busy engine gets {name}')
def signal_engine(context, name):
    context.site.signal(context.engine, signal.Signals[name])


@behave.when('the busy entry instance gets {name}')
def signal_entry(context, name):
    context.site.signal(context.entry, signal.Signals[name])


@behave.when('the frozen engine gets SIGCONT')
def resume_engine(context):
    context.site.signal(context.engine, signal.SIGCONT)


@behave.when('another engine continues the answer')
def engine_continues(context):
    site = context.site

    def other():
        return any(
            stream['prefix_tokens'] > 0
            for name, member in site.members.items()
            if member.kind == 'engine' and name != context.engine
            for stream in _streams(site, name)
        )

    local_site.wait_until(other, 'a stream at another engine')


@behave.when('the open connections of the busy engine stall')
def stall_connections(context):
    context.site.set_faults(context.engine, silence_connections=True)


@behave.when('the busy engine ends its streams early')
def end_early(context):
    context.site.set_faults(context.engine, end_early=True)


@behave.when('a text without the model service is in force everywhere')
def drop_model(context):
    site = context.site
    text = small_site.build_text({'v1': small_site.version()})
    del text['services'][small_site.MODEL]
    applied = site.apply(text, 1)
    assert applied.returncode == 0, applied.stderr
    _wait_in_force(context, site.entry_ids(), 2)


def _answers(context):
    found = []
    for caller in context.callers:
        out, err = caller.communicate(timeout=CALLER_LIMIT_S)
        assert caller.returncode == 0, (caller.returncode, out, err)
        found.append(json.loads(out))
    return found


def _expect_complete(context, answer):
    expected = tokens.expected_tokens('v1', '', SEED, PROMPT, context.count)
    assert answer['token_ids'] == expected, answer['token_ids'][:20]
    text = ''.join(map(tokens.piece, expected))
    assert answer['text'] == text


@behave.then("the caller's answer is complete and equals that of one engine")
def complete_answer(context):
    for answer in _answers(context):
        _expect_complete(context, answer)


@behave.then("every caller's answer is complete without a reconnect")
@behave.then("the caller's answer is complete without a reconnect")
def complete_without_reconnect(context):
    for answer in _answers(context):
        _expect_complete(context, answer)
        assert answer['reconnects'] == 0, answer['reconnects']


@behave.then('only one engine computed a prompt')
def one_prefill(context):
    site = context.site
    long_streams = [
        stream
        for name, member in site.members.items()
        if member.kind == 'engine'
        for stream in _streams(site, name)
        if stream['generated_tokens'] > 1
    ]
    assert len(long_streams) == 1, long_streams


@behave.then('the caller gets a partial answer with code {code:d}')
def partial_answer(context, code):
    (caller,) = context.callers
    out, err = caller.communicate(timeout=CALLER_LIMIT_S)
    assert caller.returncode == 4, (caller.returncode, out, err)
    body = json.loads(out)
    assert body['error'] == 'PartialAnswer', body
    title = codes.CODE_TABLE[codes.ResultCode(code)].title
    assert body['detail'].startswith(title), body['detail']
    expected = tokens.expected_tokens('v1', '', SEED, PROMPT, context.count)
    received = body['token_ids']
    assert received == expected[: len(received)]


# Calls that run at most once


def _send_complaint(context, address, body=COMPLAINT, key=None):
    return _post(
        address,
        '/v1/services/portal/complaints',
        body,
        key or context.key,
    )


@behave.given('an issued key')
def issued_key(context):
    context.first = context.site.addresses()[0]
    status, _, body = _post(context.first, '/v1/keys', None)
    assert status == 200, body
    context.key = body['key']
    context.answers = []


@behave.given('the key "{key}"')
def chosen_key(context, key):
    context.first = context.site.addresses()[0]
    context.key = key
    context.answers = []


def _portal_names(context):
    return [name for name in context.site.members if name.startswith('portal')]


def _set_portal_faults(context, **faults):
    for name in _portal_names(context):
        context.site.set_faults(name, **faults)


@behave.when('the portal loses its answers')
def lose_answers(context):
    _set_portal_faults(context, lose_answers=True)


@behave.when('the portal answers again')
def answer_again(context):
    _set_portal_faults(context, lose_answers=False)


@behave.when('the portal takes {slow_ms:d} ms for an answer')
def slow_portal(context, slow_ms):
    _set_portal_faults(context, slow_ms=slow_ms)


@behave.when('the platform loses the answers to writes')
def lose_writes(context):
    context.site.set_faults('platform', lose_write_answers=True)


@behave.when('a complaint is filed with the key')
def file_complaint(context):
    context.answers.append(_send_complaint(context, context.first))


def _running_addresses(context):
    site = context.site
    return [
        site.members[name].address
        for name in site.entry_ids()
        if site.members[name].process.poll() is None
    ]


@behave.when('the complaint is repeated at every entry instance')
def repeat(context):
    context.answers += [
        _send_complaint(context, address)
        for address in _running_addresses(context)
    ]


@behave.when('the complaint is repeated at every other entry instance')
def repeat_elsewhere(context):
    context.answers += [
        _send_complaint(context, address)
        for address in _running_addresses(context)
        if address != context.first
    ]


@behave.when('the complaint is sent to every entry instance at once')
def send_at_once(context):
    threads = [
        threading.Thread(
            target=lambda address: context.answers.append(
                _send_complaint(context, address)
            ),
            args=(address,),
        )
        for address in _running_addresses(context)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _count_runs(context):
    return sum(
        call['path'] == '/complaints'
        for name in _portal_names(context)
        if context.site.members[name].process.poll() is None
        for call in context.site.log(name)
    )


def _owner(context):
    return context.site.entry_ids()[0]


def _send_and_signal(context, number):
    def send():
        try:
            context.answers.append(_send_complaint(context, context.first))
        except OSError:
            pass

    thread = threading.Thread(target=send)
    thread.start()
    local_site.wait_until(lambda: _count_runs(context) == 1, 'the call runs')
    context.site.signal(_owner(context), number)
    return thread


@behave.when(
    'the complaint is sent to the owner, which is killed once it runs'
)
def kill_owner(context):
    _send_and_signal(context, signal.SIGKILL).join()
    context.site.members[_owner(context)].process.wait(10)


@behave.when(
    'the complaint is sent to the owner, which is paused once it runs'
)
def pause_owner(context):
    context.thread = _send_and_signal(context, signal.SIGSTOP)


@behave.when('the owner is resumed')
def resume_owner(context):
    context.site.signal(_owner(context), signal.SIGCONT)
    context.thread.join()


@behave.when('every portal replica gets SIGKILL')
def kill_portal(context):
    for name in _portal_names(context):
        context.site.kill(name)


@behave.then('the complaint ran {count:d} times')
def ran_times(context, count):
    assert _count_runs(context) == count, _count_runs(context)


@behave.then('every answer says that the outcome is unknown')
def all_unknown(context):
    assert context.answers
    for status, _, body in context.answers:
        assert status >= 400 and body['not_run'] is False, body


@behave.then('every answer equals the first one')
def all_equal_first(context):
    numbers = {
        (status, body.get('number'), body.get('endpoint_id'))
        for status, _, body in context.answers
    }
    assert len(numbers) == 1, context.answers
    assert numbers.pop()[0] == 200, context.answers


@behave.then('the answer says that it was not run')
def says_not_run(context):
    ((_, _, body),) = context.answers
    assert body['not_run'] is True, body


@behave.then(
    'a complaint with a key chosen by the caller is rejected as not run'
)
def chosen_key_rejected(context):
    status, _, body = _send_complaint(context, context.first, key='my-own-key')
    assert status == 503 and body['not_run'] is True, body
    assert _count_runs(context) == 1


@behave.then(
    'another complaint with the same key is rejected with code {code:d}'
)
def reused_key(context, code):
    other = {'case': 18, 'text': 'another complaint'}
    for address in _running_addresses(context):
        _, _, body = _send_complaint(context, address, other)
        assert body['code'] == code, body


@behave.then(
    'the complaint can be filed with the same key once the portal is back'
)
def file_later(context):
    context.site.start_portal('v1', 2)

    def filed():
        return _send_complaint(context, context.first)[0] == 200

    local_site.wait_until(filed, 'the complaint is filed', 15)
    assert _count_runs(context) == 1, _count_runs(context)


# Operations


@behave.then('the stopped entry instance is named in no new address answer')
def not_named(context):
    site = context.site
    for name in site.entry_ids():
        if name == context.entry:
            continue
        body = _get(site.members[name].address, '/v1/addresses')[2]
        named = [each['instance_id'] for each in body['addresses']]
        assert context.entry not in named, named
        assert named


@behave.then('the stopped entry instance ends with exit code 0')
def exit_code(context):
    process = context.site.members[context.entry].process
    assert process.wait(30) == 0, process.returncode


@behave.given(
    'entry instance "{name}" whose addresses are valid for {valid_s:f} s'
)
def short_addresses(context, name, valid_s):
    site = context.site
    site.start_entry(name, 'fd-1', address_validity_s=valid_s)
    site.wait_ready(name)
    address = site.members[name].address

    def answers():
        return _get(address, '/v1/services/portal/cases/1')[0] == 200

    local_site.wait_until(answers, f'{name} serves')
    context.entry = name


@behave.when('half of a request is sent to it')
def half_request(context):
    body = json.dumps(COMPLAINT).encode()
    head = (
        'GET /v1/services/portal/cases/17 HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {small_site.CREDENTIAL}\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    member = context.site.members[context.entry]
    context.socket = socket.create_connection((local_site.HOST, member.port))
    context.cleanups.append(context.socket.close)
    context.socket.settimeout(ANSWER_LIMIT_S)
    half = len(body) // 2
    context.socket.sendall(head.encode() + body[:half])
    context.rest = body[half:]


@behave.when('the other half of the request is sent')
def other_half(context):
    context.socket.sendall(context.rest)


@behave.then('the request is answered with status {status:d}')
def answered_with(context, status):
    first_line = context.socket.makefile('rb').readline()
    assert first_line.split()[1:2] == [str(status).encode()], first_line


@behave.when('its last address answer has expired')
def address_expired(context):
    address = context.site.members[context.entry].address

    def refused():
        return _get(address, '/v1/services/portal/cases/1')[0] == 503

    local_site.wait_until(refused, 'new calls are refused', 20)


@behave.then(
    'it rejects a new call with code {code:d} and names another address'
)
def rejects_with_address(context, code):
    address = context.site.members[context.entry].address
    _, _, body = _get(address, '/v1/services/portal/cases/1')
    assert body['code'] == code and body['not_run'] is True, body
    others = set(context.site.addresses()) - {address}
    assert set(body['addresses']) <= others and body['addresses'], body


@behave.when('the first portal replica reports that it is leaving')
def leaving(context):
    context.leaving = _portal_names(context)[0]
    context.site.set_faults(context.leaving, leaving=True)


@behave.when('{seconds:d} seconds have passed')
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.then('it gets none of the next {count:d} calls')
def gets_none(context, count):
    addresses = context.site.addresses()
    before = len(context.site.log(context.leaving))
    for number in range(count):
        address = addresses[number % len(addresses)]
        status, _, _ = _get(address, '/v1/services/portal/cases/1')
        assert status == 200
    assert len(context.site.log(context.leaving)) == before


@behave.given('the text was changed {count:d} times')
def change_text(context, count):
    for number in range(1, count + 1):
        text = small_site.build_text(
            {'v1': small_site.version()}, requests_per_s=500 + number
        )
        applied = context.site.apply(text, number)
        assert applied.returncode == 0, applied.stderr
    _wait_in_force(context, context.site.entry_ids(), count + 1)


def _wait_in_force(context, names, revision, limit_s=16):
    def in_force():
        return all(
            _status(context.site, name)['revision'] == revision
            for name in names
        )

    local_site.wait_until(in_force, f'revision {revision}', limit_s)


@behave.when('entry instance "{name}" starts')
def start_entry(context, name):
    site = context.site
    site.start_entry(name, 'fd-1')
    context.entry = name


@behave.then('it has revision {revision:d} in force and serves')
def serves_revision(context, revision):
    _wait_in_force(context, [context.entry], revision)
    address = context.site.members[context.entry].address

    def answers():
        return _get(address, '/v1/services/portal/cases/1')[0] == 200

    local_site.wait_until(answers, 'it serves', 20)


@behave.when('two operators apply different texts on revision 1 at once')
def apply_at_once(context):
    texts = [
        small_site.build_text(
            {'v1': small_site.version()}, requests_per_s=number
        )
        for number in (700, 800)
    ]
    context.applied = []
    for number, text in enumerate(texts):
        path = context.site.folder / f'race-{number}.json5'
        path.write_text(json.dumps(text))

    def apply(number):
        path = context.site.folder / f'race-{number}.json5'
        result = context.site.run_operator('apply', str(path), '--base', '1')
        context.applied.append(result)

    threads = [
        threading.Thread(target=apply, args=(number,)) for number in (0, 1)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then('one apply is accepted and the other reports what changed')
def one_accepted(context):
    by_code = {each.returncode: each for each in context.applied}
    assert set(by_code) == {0, 3}, context.applied
    refused = by_code[3].stdout + by_code[3].stderr
    assert 'requests_per_s' in refused, refused


@behave.then('the accepted text is in force everywhere within {limit_s:d} s')
def in_force_everywhere(context, limit_s):
    _wait_in_force(context, context.site.entry_ids(), 2, limit_s)
    report = context.site.run_operator('status').stdout
    assert 'In force on 3 of 3 entries' in report, report


@behave.then('an apply on revision 1 is reported as accepted')
def apply_lost_answer(context):
    text = small_site.build_text(
        {'v1': small_site.version()}, requests_per_s=900
    )
    applied = context.site.apply(text, 1)
    assert applied.returncode == 0, (applied.stdout, applied.stderr)
    _wait_in_force(context, context.site.entry_ids(), 2)


@behave.when('the other entry instances are frozen')
def freeze_others(context):
    site = context.site
    context.entry, *others = site.entry_ids()
    for name in others:
        site.signal(name, signal.SIGSTOP)


@behave.then('within {limit_s:d} s it rejects new calls with code {code:d}')
def rejects_within(context, limit_s, code):
    address = context.site.members[context.entry].address

    def refused():
        _, _, body = _get(address, '/v1/services/portal/cases/1')
        return body.get('code') == code and body['not_run'] is True

    local_site.wait_until(refused, f'code {code}', limit_s)


@behave.then('the next {count:d} calls of the portal are answered')
def calls_answered(context, count):
    addresses = context.site.addresses()
    for number in range(count):
        address = addresses[number % len(addresses)]
        status, _, body = _get(address, '/v1/services/portal/cases/1')
        assert status == 200, body


# Moves


@behave.given(
    '{old:d} replicas of portal v1 and {new:d} {kind} ones of portal v2'
)
def replicas(context, old, new, kind):
    site = context.site
    for number in range(3, old + 1):
        site.start_plain(
            local_site.EndpointSpec(
                f'portal-v1-{number}', 'portal', 'v1', f'fd-{number % 2 + 1}'
            )
        )
    site.start_portal('v2', new)
    if kind == 'failing':
        for number in range(1, new + 1):
            site.set_faults(f'portal-v2-{number}', fail_share=1.0)


def _traffic(context, ended):
    addresses = context.site.addresses()
    number = 0
    while not ended.is_set():
        number += 1
        address = addresses[number % len(addresses)]
        path = f'/v1/services/portal/cases/{number}'
        status, _, body = _get(address, path)
        version = body.get('version', 'none')
        context.calls.append((time.time(), status, version))
        time.sleep(0.01)


def _verdict(context):
    report = context.site.run_operator('status', '--json').stdout
    for move in json.loads(report)['moves']:
        if move['version'] == 'v2' and move['state'] != 'moving':
            return move['state']
    return None


@behave.when(
    'the text asks to move the portal to v2 within {limit_s:d} s under traffic'
)
def move_under_traffic(context, limit_s):
    site = context.site
    context.calls = []
    context.done_by_wall_s = time.time() + limit_s
    versions = {
        'v1': small_site.version(),
        'v2': small_site.version(small_site.done_by(limit_s)),
    }
    applied = site.apply(small_site.build_text(versions), 1)
    assert applied.returncode == 0, applied.stderr
    ended = threading.Event()
    threads = [
        threading.Thread(target=_traffic, args=(context, ended))
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    try:
        context.verdict = local_site.wait_until(
            lambda: _verdict(context), 'a verdict', limit_s + 10
        )
        context.verdict_wall_s = time.time()
        time.sleep(4)
    finally:
        ended.set()
        for thread in threads:
            thread.join()


def _calls_to_v2(context):
    """Return the times of the calls that v2 ran."""
    return [
        call['at_wall_s']
        for name in _portal_names(context)
        if name.startswith('portal-v2')
        for call in context.site.log(name)
    ]


@behave.then('the move is reported as taken back')
def taken_back(context):
    assert context.verdict == 'taken_back', context.verdict


@behave.then('at most {percent:d}% of the calls went to v2 until then')
def small_share(context, percent):
    before = [at for at, _, _ in context.calls if at < context.verdict_wall_s]
    to_v2 = len(_calls_to_v2(context))
    assert to_v2 <= len(before) * percent / 100, (to_v2, len(before))


@behave.then('no call goes to v2 later than 3 s after the verdict')
def none_later(context):
    latest = max(_calls_to_v2(context), default=0.0)
    assert latest <= context.verdict_wall_s + 3, latest


@behave.then('the move is reported as done by the time asked')
def done_in_time(context):
    assert context.verdict == 'done', context.verdict
    assert context.verdict_wall_s <= context.done_by_wall_s + 1
