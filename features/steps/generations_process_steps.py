"""Steps for the relay with stand-in engine processes."""

from __future__ import annotations

import asyncio
import contextlib
import time

import behave
from features.doubles import engine_process
from features.doubles import relay_fakes

from godwitvalve import clock
from godwitvalve.engine import http_adapter
from godwitvalve.generations import digest
from godwitvalve.generations import plan
from godwitvalve.generations import relay
from godwitvalve.generations import requests
from godwitvalve.generations import results
from standins.engine import tokens as engine_tokens

KEY = b'k' * 32
SEED = 21
PROMPT = 'Summarise the diary.'


@behave.given('{count:d} engine processes')
def engine_processes(context, count):
    context.engines = []
    for number in range(count):
        engine = engine_process.EngineProcess(
            f'e{number}', '--token-interval-ms', '5'
        )
        context.cleanups.append(engine.stop)
        context.engines.append(engine)
    context.picker = relay_fakes.ListPicker(
        [engine.endpoint for engine in context.engines]
    )
    context.token_ids = []
    context.max_gap_s = 0.0
    context.final = None


def _generation(count, sealed=None):
    request = requests.CompletionRequest('m', PROMPT, count, seed=SEED)
    return plan.plan_generation(request, sealed, 'a', [KEY], time.time())


async def _relay(context, generation, on_tokens):
    async with http_adapter.new_session() as session:
        engine = http_adapter.HttpEngine(session)
        relayed = relay.Relay(engine, KEY, clock.SystemClock())
        stream = relayed.run(generation, context.picker)
        async with contextlib.aclosing(stream):
            last_s = None
            async for result in stream:
                if isinstance(result, results.Delivered):
                    now_s = time.monotonic()
                    if last_s is not None:
                        gap_s = now_s - last_s
                        context.max_gap_s = max(context.max_gap_s, gap_s)
                    last_s = now_s
                    assert result.first_index == len(context.token_ids)
                    context.token_ids += result.token_ids
                    context.resume_id = result.resume_id
                    if await asyncio.to_thread(on_tokens):
                        return
                elif not isinstance(result, results.HeartbeatDue):
                    context.final = result
        while relayed.tasks:
            await asyncio.sleep(0.01)
        await relayed.close()


def _inject_fault(engine, fault):
    match fault:
        case 'the engine gets SIGKILL':
            engine.send_signal('SIGKILL')
        case 'the engine gets SIGSTOP':
            engine.send_signal('SIGSTOP')
        case 'the engine exits':
            with contextlib.suppress(OSError):
                engine.set_faults(die=True)
        case 'the engine freezes':
            engine.set_faults(freeze=True)
        case 'its connections become idle':
            engine.set_faults(silence_connections=True)
        case 'its streams end early':
            engine.set_faults(end_early=True)
        case 'nothing happens':
            pass
        case _:
            raise AssertionError(fault)


@behave.when(
    'an answer of {count:d} tokens is relayed and after {after:d} tokens '
    '{fault}'
)
def relay_with_fault(context, count, after, fault):
    context.count = count
    injected = []

    def on_tokens():
        if len(context.token_ids) >= after and not injected:
            injected.append(True)
            _inject_fault(context.engines[0], fault)

    asyncio.run(_relay(context, _generation(count), on_tokens))
    assert injected
    if fault == 'the engine gets SIGSTOP':
        context.engines[0].send_signal('SIGCONT')


@behave.when(
    'an answer of {count:d} tokens is relayed and each engine is killed '
    'after {after:d} tokens'
)
def relay_with_kills(context, count, after):
    context.count = count
    killed = []

    def on_tokens():
        index = len(context.token_ids) // after - 1
        if index >= len(killed) and len(killed) < len(context.engines) - 1:
            # The router would exclude an engine that has exited.
            engine = context.engines[len(killed)]
            killed.append(engine)
            context.picker.endpoints.remove(engine.endpoint)
            engine.send_signal('SIGKILL')

    asyncio.run(_relay(context, _generation(count), on_tokens))
    assert len(killed) == len(context.engines) - 1


@behave.when(
    'an answer of {count:d} tokens is interrupted at {after:d} and the '
    'engines are non-deterministic'
)
def relay_diverging(context, count, after):
    def on_tokens():
        return len(context.token_ids) >= after

    asyncio.run(_relay(context, _generation(count), on_tokens))
    context.delivered_before = list(context.token_ids)
    for engine in context.engines:
        engine.set_faults(diverge=True, forget_streams=True)
    # Without the caller's tokens only the digest reveals the difference.
    generation = _generation(count, context.resume_id)
    asyncio.run(_relay(context, generation, on_tokens))


@behave.then('the relayed answer is the expected one')
def expected_answer(context):
    wanted = engine_tokens.expected_tokens(
        'v1', 'adapter-v1', SEED, PROMPT, context.count
    )
    assert context.token_ids == wanted
    assert context.final == results.Finished(
        context.count, digest.digest_of(wanted), 'length'
    ), context.final


@behave.then('no two tokens are more than {limit:g} s apart')
def gap_within(context, limit):
    assert context.max_gap_s < limit, context.max_gap_s


@behave.then(
    'the engines computed at most {extra:d} tokens more than were delivered'
)
def extra_tokens(context, extra):
    computed = 0
    prompt = engine_tokens.prompt_tokens(PROMPT)
    for engine in context.engines:
        with contextlib.suppress(OSError):
            for stream in engine.log()['streams']:
                computed += stream['prefill_tokens']
                computed += stream['generated_tokens']
    # A killed engine cannot be queried; what it computed was delivered.
    assert computed - prompt - len(context.token_ids) <= extra, computed


@behave.then('it ends with code {code:d} and nothing more is delivered')
def ends_with_code(context, code):
    assert isinstance(context.final, results.Failed), context.final
    assert context.final.code == code, context.final
    assert context.token_ids == context.delivered_before
