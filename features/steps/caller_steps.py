"""Steps for the reference caller."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

import behave
from features.doubles import entry_double
from features.doubles import relay_fakes
import hypothesis
from hypothesis import strategies
import orjson
from typer import testing

from godwitvalve.caller import answer
from godwitvalve.caller import client
from godwitvalve.caller import errors
from godwitvalve.caller import main
from godwitvalve.caller import options

LIMIT_S = 60
SEED = entry_double.SEED


@behave.given('a system of {count:d} entry doubles')
def system(context, count):
    context.entry_count = count
    context.setups = []
    context.extra_addresses = []
    context.error = context.answer = context.service_answer = None


@behave.given(
    'a system of {count:d} entry doubles whose addresses are valid for '
    '{validity_s:g} s'
)
def system_short(context, count, validity_s):
    system(context, count)

    def setup(entries):
        for entry in entries:
            entry.validity_s = validity_s

    context.setups.append(setup)


class _Shared(list):
    """Faults that the entries share; the first request gets the first one."""


def _for_first(context, kind, faults):
    def setup(entries):
        shared = _Shared(faults)
        for entry in entries:
            setattr(entry, kind, shared)

    context.setups.append(setup)


@behave.given('the first entry that is asked answers code {code:d}')
def first_answers_code(context, code):
    _for_first(context, 'faults', [f'code {code}'])


@behave.given('the first entry that is asked {fault}')
def first_has_fault(context, fault):
    _for_first(context, 'faults', [fault])


@behave.given('every entry always answers code {code:d}')
def always_code(context, code):
    _for_first(context, 'faults', [f'code {code}'] * 100)


@behave.given('the first entry called for a service "{fault}"')
def first_service_fault(context, fault):
    _for_first(context, 'service_faults', [fault])


@behave.given(
    'every entry called for a service answers "{fault}" {times:d} times'
)
def service_fault_times(context, fault, times):
    _for_first(context, 'service_faults', [fault] * times)


@behave.given(
    'the entry called for a service loses an answer and then refuses'
)
def lose_then_refuse(context):
    _for_first(
        context, 'service_faults', ['loses the answer'] + ['code 2000'] * 9
    )


@behave.given('the initial addresses include one without a listener')
def has_unreachable_address(context):
    with socket.create_server(('127.0.0.1', 0)) as server:
        number = server.getsockname()[1]
    context.extra_addresses = [f'127.0.0.1:{number}']


def _run(context, work, credential=entry_double.CREDENTIAL, domain=''):
    async def run():
        service_calls = context.service_calls = entry_double.ServiceCalls()
        entries = context.entries = [
            entry_double.EntryDouble(str(number), service_calls)
            for number in range(context.entry_count)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for entry in entries:
                await entry.start()
                stack.push_async_callback(entry.stop)
                entry.entries = entries
            for setup in context.setups:
                setup(entries)
            session = await stack.enter_async_context(client.new_session())
            initial_addresses = [*context.extra_addresses, entries[0].address]
            caller = client.Client(
                session,
                initial_addresses,
                credential,
                domain,
                idle_timeout_s=0.5,
            )
            try:
                await work(caller)
            except errors.CallerError as error:
                context.error = error

    asyncio.run(asyncio.wait_for(run(), LIMIT_S))


def _completion(count):
    return client.Completion('m', 'p', count, SEED)


@behave.when('the caller completes {count:d} tokens')
def complete(context, count):
    complete_times(context, count, 1)


@behave.when('the caller completes {count:d} tokens {times:d} times')
def complete_times(context, count, times):
    async def work(caller):
        for _ in range(times):
            context.answer = await caller.complete(_completion(count))

    context.count = count
    _run(context, work)


@behave.when('a caller with another credential completes {count:d} tokens')
def complete_stranger(context, count):
    async def work(caller):
        context.answer = await caller.complete(_completion(count))

    _run(context, work, credential='stranger')


@behave.when(
    'the caller in the failure domain of entry {number:d} completes '
    '{count:d} tokens'
)
def complete_near(context, number, count):
    async def work(caller):
        context.answer = await caller.complete(_completion(count))

    _run(context, work, domain=f'fd-{number}')


@behave.then('entry {number:d} received the completion')
def entry_received(context, number):
    received = [len(entry.completions) for entry in context.entries]
    assert received[number] == 1 == sum(received), received


@behave.when(
    'the caller stops reading after {parts:d} parts of {count:d} tokens'
)
def stop_reading(context, parts, count):
    async def work(caller):
        before = asyncio.all_tasks()
        chunks = []
        async with contextlib.aclosing(
            caller.stream(_completion(count))
        ) as stream:
            async for chunk in stream:
                chunks.append(chunk)
                if len(chunks) == parts:
                    break
        # Tasks of the servers in this process end once the close arrives.
        deadline_s = asyncio.get_running_loop().time() + 10
        while asyncio.all_tasks() - before:
            assert asyncio.get_running_loop().time() < deadline_s
            await asyncio.sleep(0.01)
        context.left_tasks = 0

    _run(context, work)


@behave.then('the caller left no task behind')
def no_task_left(context):
    assert context.error is None, context.error
    assert context.left_tasks == 0


@behave.then('the caller has the complete answer after {count:d} reconnects')
def has_complete_answer(context, count):
    assert context.error is None, context.error
    wanted = relay_fakes.expected(SEED, context.count)
    assert list(context.answer.token_ids) == wanted
    assert context.answer.text == ''.join(f' {token}' for token in wanted)
    assert context.answer.reconnects == count, context.answer


def _completions(context):
    return [item for entry in context.entries for item in entry.completions]


@behave.then('the second request has the resume id and the tokens')
def second_request(context):
    (resumed,) = [item for item in _completions(context) if item[0]]
    tokens = list(resumed[1].resume_token_ids)
    assert tokens, resumed
    assert tokens == relay_fakes.expected(SEED, len(tokens))


@behave.then('{count:d} completion requests were sent')
def completion_count(context, count):
    assert len(_completions(context)) == count, _completions(context)


@behave.then('the addresses were requested {count:d} times')
def address_count(context, count):
    found = sum(entry.address_calls for entry in context.entries)
    assert found == count, found


@behave.then('the call fails with {kind}')
def call_fails(context, kind):
    found = {type(context.error), *type(context.error).__mro__}
    assert getattr(errors, kind) in found, context.error


@behave.then('the error has the received tokens and their resume id')
def error_has_tokens(context):
    tokens = context.error.token_ids
    assert tokens == relay_fakes.expected(SEED, len(tokens))
    assert tokens
    assert context.error.resume_id


@behave.then('random event data gives chunks or CorruptAnswer')
def random_event_data(context):
    leaves = (
        strategies.none()
        | strategies.integers(-(2**63), 2**64 - 1)
        | strategies.text(max_size=3)
        | strategies.lists(strategies.integers(-2, 2**33), max_size=3)
    )
    extension = strategies.dictionaries(
        strategies.sampled_from(
            ('first_index', 'token_ids', 'version', 'token_count', 'digest')
        ),
        leaves | strategies.just(0),
    )
    body = strategies.fixed_dictionaries(
        {},
        optional={
            'id': leaves,
            'choices': leaves
            | strategies.lists(
                strategies.dictionaries(
                    strategies.sampled_from(('text', 'finish_reason')), leaves
                ),
                max_size=2,
            ),
            'godwitvalve': leaves | extension,
        },
    )

    @hypothesis.settings(
        max_examples=400, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=20)
            | body.map(orjson.dumps)
            | strategies.just(b'[DONE]'),
            max_size=4,
        )
    )
    def check(parts):
        checked = answer.AnswerCheck()
        for part in parts:
            try:
                chunk = checked.accept('id', part)
            except errors.CorruptAnswer:
                return
            if chunk is not None:
                assert all(
                    type(token) is int and 0 <= token < 2**32
                    for token in chunk.token_ids
                )
                assert type(chunk.text) is str

    check()


def _file_complaint(context, with_key):
    async def work(caller):
        key = await caller.issue_key() if with_key else None
        context.service_answer = await caller.call_service(
            'portal', 'POST', '/complaints', b'noise', key
        )

    _run(context, work)


@behave.when('the caller files a complaint with an issued key')
def file_with_key(context):
    _file_complaint(context, True)


@behave.when('the caller files a complaint without a key')
def file_without_key(context):
    _file_complaint(context, False)


@behave.then('the complaint was filed {count:d} times')
def filed_times(context, count):
    assert context.service_calls.runs == [('complaints', b'noise')] * count


@behave.then('all service requests had the same key')
def same_key(context):
    keys = set(context.service_calls.sent_keys)
    assert len(keys) == 1, keys
    assert keys != {None}


@behave.then('the service answered with status {status:d}')
def service_status(context, status):
    assert context.error is None, context.error
    assert context.service_answer.status == status


@behave.when('the command "{command}" runs against it')
def run_command(context, command):
    async def work(caller):
        arguments = [
            *command.split(),
            *('--address', context.entries[0].address, '--json'),
        ]
        variables = {options.CREDENTIAL_VARIABLE: entry_double.CREDENTIAL}
        context.ran = await asyncio.to_thread(
            testing.CliRunner().invoke, main.app, arguments, env=variables
        )

    _run(context, work)


@behave.then('it prints JSON with the key "{key}"')
def prints_json(context, key):
    assert context.ran.exit_code == 0, context.ran.output
    assert key in json.loads(context.ran.stdout)
