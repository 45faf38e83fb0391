"""Steps for the relay with a scripted engine."""

from __future__ import annotations

import asyncio
import contextlib
import time

import behave
from features.doubles import relay_fakes

from godwitvalve import clock
from godwitvalve.generations import digest
from godwitvalve.generations import gaps
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import requests
from godwitvalve.generations import results
from godwitvalve.generations import resume
from godwitvalve.outcomes import codes

KEY = b'k' * 32
SEED = 11
# Short bounds keep the suite fast; relay_processes.feature tests the defaults.
LIMITS = relay_limits.RelayLimits(gaps.GapLimits(8.0, 0.15, 0.2), 0.25, 0.2)


@behave.given('the engine endpoints "{names}"')
def engine_endpoints(context, names):
    found = [
        relay_fakes.endpoint(*name.split(':')) for name in names.split(', ')
    ]
    context.picker = relay_fakes.ListPicker(found)
    context.scripts = []
    context.resume_from = None


@behave.given('the engine endpoints ""')
def no_engine_endpoints(context):
    context.picker = relay_fakes.ListPicker([])
    context.scripts = []
    context.resume_from = None


@behave.given('"{name}" generates "{script}"')
def generates(context, name, script):
    context.scripts.append(('generate_scripts', name, script))


@behave.given('"{name}" resumes with "{script}"')
def resumes(context, name, script):
    context.scripts.append(('resume_scripts', name, script))


@behave.given('every engine generates "{script}" {count:d} times')
def all_generate(context, script, count):
    for item in context.picker.endpoints:
        for _ in range(count):
            generates(context, item.endpoint_id, script)


@behave.given('the picker refuses retries with code {code:d}')
def picker_refuses(context, code):
    context.picker.refusal = codes.ResultCode(code)


@behave.given(
    'the caller has {count:d} tokens from stream "{stream}" at "{name}"'
)
def caller_has(context, count, stream, name):
    context.resume_from = (count, stream, name)


def _generation(context, count, deadline_s=60.0, with_tokens=False):
    now_wall_s = time.time()
    body = {'model': 'm', 'prompt': 'p', 'max_tokens': count, 'seed': SEED}
    request = requests.CompletionRequest(
        **body, deadline_wall_s=now_wall_s + deadline_s
    )
    context.count = count
    context.first_index = 0
    sealed = None
    if context.resume_from:
        position, stream, name = context.resume_from
        token_ids = tuple(relay_fakes.expected(SEED, position))
        state = resume.ResumeState(
            *('r-1', 'acc', request.digest(), 'm', 'v1', 'adapter-v1', SEED),
            position,
            digest.digest_of(token_ids),
            0,
            name,
            stream,
            now_wall_s + 60,
        )
        sealed = resume.seal(state, KEY)
        context.first_index = position
        if with_tokens:
            request = requests.CompletionRequest(
                **body,
                deadline_wall_s=request.deadline_wall_s,
                resume_token_ids=token_ids,
            )
    return plan.plan_generation(request, sealed, 'acc', [KEY], now_wall_s)


async def _with_relay(context, limits, work):
    engine = context.engine = relay_fakes.ScriptedEngine()
    for queue, name, script in context.scripts:
        getattr(engine, queue)[name].append(script)
    before = asyncio.all_tasks()
    relayed = relay.Relay(engine, KEY, clock.SystemClock(), limits)
    try:
        context.results = []
        await work(relayed)
        while relayed.tasks:
            await asyncio.sleep(0)
    finally:
        await relayed.close()
    assert engine.open_streams == 0
    assert asyncio.all_tasks() == before
    outstanding = set(context.picker.outstanding.values())
    assert outstanding <= {0}, context.picker.outstanding
    _check_delivered(context)


def _check_delivered(context):
    delivered = [
        item for item in context.results if isinstance(item, results.Delivered)
    ]
    versions = {item.version for _, _, item in context.engine.calls} or {'v1'}
    position = context.first_index
    received = []
    for part in delivered:
        assert part.first_index == position, part
        position += len(part.token_ids)
        received += part.token_ids
        assert part.text == ''.join(f' {item}' for item in part.token_ids)
        state = resume.open_sealed(part.resume_id, [KEY])
        assert state.position == position
        prefix = relay_fakes.expected(SEED, position, state.version)
        assert state.prefix_digest == digest.digest_of(prefix)
    assert any(
        received
        == relay_fakes.expected(SEED, position, item)[context.first_index :]
        for item in versions
    ), received
    context.delivered = delivered
    context.position = position


def _relay(context, generation, limits=LIMITS):
    async def work(relayed):
        stream = relayed.run(generation, context.picker)
        async with contextlib.aclosing(stream):
            async for result in stream:
                context.results.append(result)

    asyncio.run(asyncio.wait_for(_with_relay(context, limits, work), 30))
    ends = [
        item
        for item in context.results
        if isinstance(item, (results.Finished, results.Failed))
    ]
    assert ends == context.results[-1:], ends


@behave.when('an answer of {count:d} tokens is relayed')
def relay_answer(context, count):
    _relay(context, _generation(context, count))


@behave.when(
    'an answer of {count:d} tokens is relayed with at most {limit:d} attempts'
)
def relay_bounded(context, count, limit):
    limits = LIMITS._replace(max_attempts=limit)
    _relay(context, _generation(context, count), limits)


@behave.when(
    'an answer of {count:d} tokens is relayed with a deadline in {limit:g} s'
)
def relay_deadline(context, count, limit):
    _relay(context, _generation(context, count, limit))


@behave.when(
    "an answer of {count:d} tokens is resumed with the caller's tokens"
)
def resume_with_tokens(context, count):
    _relay(context, _generation(context, count, with_tokens=True))


@behave.when(
    "an answer of {count:d} tokens is resumed without the caller's tokens"
)
def resume_without_tokens(context, count):
    _relay(context, _generation(context, count))


@behave.when(
    'the caller disconnects from an answer of {count:d} tokens after '
    '{parts:d} parts'
)
def caller_disconnects(context, count, parts):
    generation = _generation(context, count)

    async def work(relayed):
        stream = relayed.run(generation, context.picker)
        async with contextlib.aclosing(stream):
            async for result in stream:
                context.results.append(result)
                if len(context.results) == parts:
                    return

    asyncio.run(asyncio.wait_for(_with_relay(context, LIMITS, work), 30))


@behave.when('the task that relays an answer of {count:d} tokens is cancelled')
def relay_cancelled(context, count):
    generation = _generation(context, count)

    async def consume(relayed):
        stream = relayed.run(generation, context.picker)
        async with contextlib.aclosing(stream):
            async for result in stream:
                context.results.append(result)

    async def work(relayed):
        task = asyncio.create_task(consume(relayed))
        while len(context.results) < 3:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    asyncio.run(asyncio.wait_for(_with_relay(context, LIMITS, work), 30))


@behave.then('the answer is complete')
def answer_complete(context):
    answer_of_version(context, 'v1')


@behave.then('the answer of version "{version}" is complete')
def answer_of_version(context, version):
    wanted = relay_fakes.expected(SEED, context.count, version)
    assert context.results[-1] == results.Finished(
        context.count, digest.digest_of(wanted), 'length'
    ), context.results[-1]
    assert context.position == context.count


@behave.then('it was delivered in {count:d} parts')
def delivered_parts(context, count):
    assert len(context.delivered) == count, context.delivered


@behave.then('{count:d} tokens were delivered')
def delivered_tokens(context, count):
    assert context.position - context.first_index == count


@behave.then('the answer fails with code {code:d}')
def answer_fails(context, code):
    last = context.results[-1]
    assert isinstance(last, results.Failed), last
    assert last.code == code, last


def _calls(context):
    return '; '.join(
        f'{kind} {name} {len(order.prefix_token_ids)}'
        for kind, name, order in context.engine.calls
    )


@behave.then('the engine calls are "{calls}"')
def engine_calls(context, calls):
    assert _calls(context) == calls, _calls(context)


@behave.then('{count:d} engine calls were made')
def engine_call_count(context, count):
    assert len(context.engine.calls) == count, _calls(context)


@behave.then('all orders have the same seed, adapter and version')
def same_identity(context):
    found = {
        (order.seed, order.adapter, order.version, order.prompt)
        for _, _, order in context.engine.calls
    }
    assert found == {(SEED, 'adapter-v1', 'v1', 'p')}, found
    for _, _, order in context.engine.calls:
        prefix = list(order.prefix_token_ids)
        assert prefix == relay_fakes.expected(SEED, len(prefix))


@behave.then('the attempt numbers grow')
def attempts_grow(context):
    numbers = [order.attempt for _, _, order in context.engine.calls]
    assert numbers == sorted(set(numbers)), numbers
    assert len(numbers) > 1


@behave.then('no stream was cancelled')
def nothing_cancelled(context):
    assert context.engine.cancelled == []


@behave.then('the stream at "{name}" was cancelled')
def stream_cancelled(context, name):
    assert context.engine.cancelled == [(name, f'stream-{name}')]


@behave.then('the picker does not count a loss at "{name}"')
def no_loss_counted(context, name):
    found = [item.outcome for at, item in context.picker.results if at == name]
    assert found == ['abandoned'], found


@behave.then('a heartbeat for the caller was due')
def heartbeat_was_due(context):
    assert results.HeartbeatDue() in context.results
