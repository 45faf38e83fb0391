"""Steps for idempotency keys, claims and the at-most-once model."""

from __future__ import annotations

import asyncio
import pathlib
import time

import behave
from features.doubles import aio
from features.doubles import site as site_double
from features.doubles import takeover
from features.models import at_most_once_model
from features.models import naive_ledger
from godwitvalve.idempotency import claim_record
from godwitvalve.idempotency import forwarding
from godwitvalve.idempotency import keys
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome
from godwitvalve.peers import messages
import hypothesis
from hypothesis import strategies
import minicheck
import msgpack

FEATURE_DIRECTORY = pathlib.Path(__file__).resolve().parents[1] / 'idempotency'
MAX_STATES = 400_000
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def _parse_code(text):
    return codes.ResultCode[text]


_parse_code.pattern = r'[A-Z][A-Z_]+'
behave.register_type(Code=_parse_code)


def _new_site(context, **options):
    async def build():
        return site_double.Site(**options)

    context.site = aio.run(context, build())
    context.answers = []


@behave.given('a site of entries "A", "B" and "C" with one endpoint')
def site_of_entries(context):
    _new_site(context)


@behave.given('a site whose ledgers hold at most {count:d} keys')
def site_with_small_ledgers(context, count):
    _new_site(context, max_keys=count)


@behave.given('a site whose claims are taken over from unresponsive owners')
def site_without_guard(context):
    _new_site(context, claim_store=takeover.TakeoverClaimStore)


@behave.given('a call with {kind} key of entry "{name}"')
def call_with_key(context, kind, name):
    _make_call(context, kind, name, 5.0)


@behave.given(
    'a call with {kind} key of entry "{name}" and {limit_s:f} s '
    'to its deadline'
)
def call_with_deadline(context, kind, name, limit_s):
    _make_call(context, kind, name, limit_s)


def _make_call(context, kind, name, limit_s):
    key = f'chosen-by-client-{time.monotonic_ns()}'
    if kind == 'an issued':
        key = context.site.entries[name].executor.issue_key('portal')
    context.call = context.site.make_call(key, limit_s=limit_s)


@behave.given('the endpoint runs calls and loses their answers')
def endpoint_loses(context):
    context.site.endpoint.mode = 'lose'


@behave.given('the endpoint refuses connections')
def endpoint_refuses(context):
    context.site.endpoint.mode = 'refuse'


@behave.when('the endpoint answers again')
def endpoint_answers(context):
    context.site.endpoint.mode = 'answer'


@behave.given('the endpoint holds calls before they run')
def endpoint_holds(context):
    context.site.endpoint.unblocked.clear()


@behave.when('the endpoint runs the held calls')
def endpoint_runs_held(context):
    async def release():
        context.site.endpoint.unblocked.set()

    aio.run(context, release())


async def _execute(context, name, call):
    answer = await context.site.execute(name, call)
    # Lets the background task write the outcome to the claim row.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return answer


def _send(context, name, call):
    context.answers.append(aio.run(context, _execute(context, name, call)))


@behave.when('the call is sent to entry "{name}"')
def send_call(context, name):
    _send(context, name, context.call)


@behave.when('the call is sent to entry "{name}" with another body')
def send_other_body(context, name):
    request = context.call.request._replace(body=b'another')
    _send(context, name, context.call._replace(request=request))


@behave.when('the call is sent to entry "{name}" by another client account')
def send_other_account(context, name):
    _send(context, name, context.call._replace(client_account='other'))


@behave.when('the call is sent to entry "{name}" and its handler is cancelled')
def send_and_cancel(context, name):
    async def cancel():
        handler = asyncio.create_task(context.site.execute(name, context.call))
        await aio.until(lambda: context.site.endpoint.attempts)
        handler.cancel()
        await asyncio.gather(handler, return_exceptions=True)
        assert handler.cancelled()

    aio.run(context, cancel())


@behave.when('the call is sent to entries {names} at once')
def send_at_once(context, names):
    async def send_all():
        sends = [
            asyncio.create_task(context.site.execute(name, context.call))
            for name in names.replace('"', '').replace(' and', ',').split(', ')
        ]
        await aio.until(lambda: context.site.endpoint.attempts)
        for _ in range(20):
            await asyncio.sleep(0)
        context.site.endpoint.unblocked.set()
        return await asyncio.gather(*sends)

    context.answers = aio.run(context, send_all())


@behave.when('the wall clock moves by {shift_s:d} s and another key is used')
def clock_moves(context, shift_s):
    context.site.clock.shift_s += shift_s
    issued = context.site.entries['A'].executor.issue_key('portal')
    _send(context, 'A', context.site.make_call(issued))
    request = context.call.request._replace(
        deadline_wall_s=context.site.clock.wall_s() + 5.0
    )
    context.call = context.call._replace(request=request)
    context.site.endpoint.executed_keys.remove(issued)


@behave.when('{count:d} other issued keys are used at entry "{name}"')
def use_other_keys(context, count, name):
    for _ in range(count):
        issued = context.site.entries[name].executor.issue_key('portal')
        _send(context, name, context.site.make_call(issued))


@behave.when('entry "{name}" crashes')
def entry_crashes(context, name):
    context.site.entries[name].is_reachable = False


@behave.when('entry "{name}" is replaced')
def entry_replaced(context, name):
    incarnation = context.site.entries[name].incarnation + 1
    context.site.start(name, incarnation)


@behave.when(
    'entry "{name}" pauses before the send and the call is repeated '
    'at "{other}"'
)
def owner_pauses(context, name, other):
    site = context.site

    async def pause():
        site.endpoint.unblocked.clear()
        first = asyncio.create_task(site.execute(name, context.call))
        await aio.until(lambda: site.endpoint.attempts)
        site.start(name, 2)
        repeat = asyncio.create_task(site.execute(other, context.call))
        await aio.until(lambda: repeat.done() or site.endpoint.attempts == 2)
        site.endpoint.unblocked.set()
        await first
        return await repeat

    context.answers.append(aio.run(context, pause()))


@behave.given('the table service is down')
@behave.when('the table service goes down')
def store_down(context):
    context.site.tables.is_down = True


@behave.given('the table service loses the answer of {count:d} write')
def store_loses(context, count):
    context.site.tables.lose_answers = count


@behave.given('the table service delays {count:d} write')
def store_delays(context, count):
    context.site.tables.delay_writes = count


@behave.when('the delayed write is applied')
def delayed_write_applied(context):
    assert context.site.tables.delayed_writes
    context.site.tables.deliver_delayed()


@behave.when('the claim budget of entry "{name}" is exhausted')
def budget_exhausted(context, name):
    budget = context.site.entries[name].budget
    budget.set_rate(0.0)
    while budget.take(time.monotonic()):
        pass


@behave.then('the last outcome is complete and replayed')
def outcome_replayed(context):
    answer = context.answers[-1]
    assert isinstance(answer.outcome, outcome.Completed), answer
    assert answer.replayed, answer


@behave.then('the last outcome is complete')
def outcome_complete(context):
    answer = context.answers[-1]
    assert isinstance(answer.outcome, outcome.Completed), answer


@behave.then('the last outcome is {code:Code}')
def outcome_has_code(context, code):
    answer = context.answers[-1]
    assert answer.outcome.code is code, answer


@behave.then('all outcomes are the same complete one')
def outcomes_same(context):
    found = {answer.outcome for answer in context.answers}
    assert len(context.answers) == 3
    assert len(found) == 1, found
    assert isinstance(found.pop(), outcome.Completed)
    assert sum(not answer.replayed for answer in context.answers) == 1


@behave.then('the endpoint ran the call {count:d} times')
def endpoint_ran(context, count):
    log = context.site.endpoint.executed_keys
    assert log.count(context.call.key) == count, log


@behave.then('ledger and naive ledger agree on random events')
def ledgers_agree(context):
    run = hypothesis.given(naive_ledger.EVENTS)(naive_ledger.compare)
    SETTINGS(run)()


def _check_altered(issued, position, character):
    text = issued[:position] + character + issued[position + 1 :]
    parsed = keys.parse(text, 'portal', (site_double.SEALING_KEY,))
    if text != issued:
        assert not isinstance(parsed, keys.IssuedKey), text


def _check_random(text):
    parsed = keys.parse(text, 'portal', (site_double.SEALING_KEY,))
    match parsed:
        case keys.ClientKey(key):
            assert 8 <= len(key) <= 128
            assert key.isascii()
        case _:
            assert parsed is codes.ResultCode.KEY_INVALID


@behave.then('random and altered keys are never accepted')
def keys_refused(context):
    issued = keys.issue('A', 1, 'portal', 1e10, site_double.SEALING_KEY)
    accepted = keys.parse(issued, 'portal', (site_double.SEALING_KEY,))
    assert isinstance(accepted, keys.IssuedKey)
    alter = hypothesis.given(
        strategies.just(issued),
        strategies.integers(len(keys.ISSUED_PREFIX), len(issued) - 1),
        strategies.characters(),
    )(_check_altered)
    SETTINGS(alter)()
    texts = strategies.text(max_size=300)
    prefixed = texts.map(lambda text: keys.ISSUED_PREFIX + text)
    guess = hypothesis.given(texts | prefixed)(_check_random)
    SETTINGS(guess)()


def _read_row(data):
    try:
        record = claim_record.unpack(data)
    except ValueError:
        return
    assert claim_record.unpack(claim_record.pack(record)) == record


def _read_answer(data):
    answer = forwarding.read_answer(messages.ForwardAnswer(data, False))
    assert isinstance(
        answer.outcome, (outcome.Completed, outcome.NotRun, outcome.Unknown)
    )


@behave.then(
    'random claim rows and forwarded answers cause no undocumented error'
)
def random_rows(context):
    leaf = strategies.one_of(
        strategies.none(),
        strategies.integers(-5, 6000),
        strategies.text(max_size=5),
        strategies.binary(max_size=5),
        strategies.floats(),
    )
    values = strategies.recursive(
        leaf, lambda inner: strategies.lists(inner, max_size=6)
    )
    outcomes = strategies.tuples(
        strategies.integers(0, 4),
        strategies.sampled_from([2010, 3000, 200]),
        values,
        values,
    )
    rows = strategies.tuples(
        strategies.text(max_size=3),
        strategies.integers(0, 9),
        strategies.binary(max_size=3),
        strategies.text(max_size=3),
        strategies.floats(0, 10),
        outcomes | values,
    )
    raw = strategies.binary(max_size=60)
    packed = (rows | outcomes | values).map(msgpack.packb)
    SETTINGS(hypothesis.given(raw | packed)(_read_row))()
    SETTINGS(hypothesis.given(raw | packed)(_read_answer))()


@behave.given(
    'the model of {kind} keys with {requests:d} requests, {losses:d} lost '
    'answers, {crashes:d} crashes, {outages:d} outages'
)
def model_of_keys(context, kind, requests, losses, crashes, outages):
    context.kind = kind
    context.start = at_most_once_model.initial(
        requests, losses, crashes, outages
    )


def _check(context, guards):
    model = at_most_once_model.protocol(context.kind, guards, context.start)
    return minicheck.check_safety(model, max_states=MAX_STATES)


@behave.then('every reachable state runs the call at most once')
def model_holds(context):
    report = _check(context, at_most_once_model.Guards())
    print(f'{context.kind}: {report["reachable_states"]} states')
    assert report['exhaustive'], report
    for name, verdict in report['properties'].items():
        assert verdict['holds'] is True, (name, verdict)


@behave.then('without the guard "{guard}" there is a counterexample')
def guard_matters(context, guard):
    guards = at_most_once_model.Guards()._replace(**{guard: False})
    report = _check(context, guards)
    counterexamples = [
        verdict['counterexample']
        for verdict in report['properties'].values()
        if verdict['holds'] is False
    ]
    print(f'{guard}: {report["reachable_states"]} states')
    assert counterexamples, f'{guard} is removed without a counterexample'
    labels = [step['label'] for step in counterexamples[0][1:]]
    print(f'{guard}: {", ".join(labels)}')


@behave.then('the outline above names each guard of the model')
def guards_named(context):
    text = (FEATURE_DIRECTORY / 'model.feature').read_text()
    named = {
        line.split('|')[2].strip()
        for line in text.splitlines()
        if line.strip().startswith(('| issued', '| client'))
    }
    assert set(at_most_once_model.Guards._fields) <= named
