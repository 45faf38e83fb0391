"""Steps for the admission of streams."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import time
from unittest import mock

import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.doubles import speeds as speed_doubles
from features.models import overload_simulation
from features.steps import forwarding_steps
from features.steps import gossip_members_steps
from godwitvalve.admission import decision
from godwitvalve.admission import lengths
from godwitvalve.admission import returns
from godwitvalve.admission import room
from godwitvalve.admission import stream_queue
from godwitvalve.admission import tables
from godwitvalve.fleet import routes
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import stream_turns
from godwitvalve.gossip import members
from godwitvalve.placement import choose
from godwitvalve.placement import prefixes
from godwitvalve.platform import configuration
from godwitvalve.platform import headers

CAPACITY = room.Capacity(16, 88_000)
DEMAND = room.Demand(8_000, 9_000)
SPEED = room.Speed(0.125, 4.0)
USES = {
    'nothing': room.Use(),
    'full memory': room.Use(9, 81_000, 0),
}
SEEDS = (1, 2, 3)
ROUTE = forwarding_site.route(routes.RequestKind.STREAM)


@behave.given(
    'an objective of 4 s, a deadline of 20 s and prompts of {read_s:g} s'
)
def a_decision(context, read_s):
    context.rooms = []
    context.demand = room.Demand(int(read_s * 8_000), 9_000)


@behave.given('{count:d} engines with {state}')
def engines_with(context, count, state):
    use = USES.get(state)
    if use is None:
        prompts = int(state.partition(' ')[0])
        use = room.Use(prompts, 0, prompts * DEMAND.prompt_tokens)
    context.rooms = [
        room.endpoint_room(f'e{number}', CAPACITY, use, context.demand, SPEED)
        for number in range(count)
    ]


@behave.given(
    '{count:d} idle engines, of which {slow:d} need {factor:g} times as long'
)
def uneven_engines(context, count, slow, factor):
    context.rooms = [
        room.endpoint_room(
            f'e{number}',
            CAPACITY,
            room.Use(),
            context.demand,
            SPEED,
            factor if number < slow else 1.0,
        )
        for number in range(count)
    ]
    context.slow_ids = {f'e{number}' for number in range(slow)}


@behave.when('{count:d} streams are decided on')
def decide_often(context, count):
    rng = random.Random(1)
    request = decision.Request(4.0, 4.0, 0.0, 20.0, 4.0)
    context.offers = [
        decision.decide(request, context.rooms, 0, 0, 1.0, rng).endpoint_ids
        for _ in range(count)
    ]


@behave.then('at most {share:d} in 100 are offered slow engines only')
def offered_slow_only(context, share):
    slow_only = sum(each <= context.slow_ids for each in context.offers)
    assert slow_only * 100 <= share * len(context.offers), slow_only


@behave.when(
    'a stream that waited {waited_s:g} s is decided on with {ahead:d} ahead'
)
def decide(context, waited_s, ahead):
    request = decision.Request(4.0, 4.0, waited_s, 20.0 - waited_s, 4.0)
    context.decided = decision.decide(
        request,
        context.rooms,
        ahead,
        ahead,
        room.service_rate(context.rooms),
        random.Random(1),
    )


@behave.then('a caller with {left_s:g} s left is told the third of them')
def told_longest(context, left_s):
    told_s = returns.ReturnSchedule().retry_after_s(
        100.0, context.decided.free_in_s, 1.0, left_s
    )
    assert abs(told_s - left_s / 3) < 1e-6, told_s


@behave.then('the decision is {text}')
def decision_is(context, text):
    match context.decided:
        case decision.Send(ids):
            described = f'send to {len(ids)}'
        case decision.Wait():
            described = 'wait'
        case decision.Refuse(reason):
            described = f'refuse {reason.value}'
    assert described == text, context.decided


@behave.then(
    'an idle engine of {most:d} tokens has space for {tokens:d} tokens'
)
def idle_has_space(context, most, tokens):
    demand = room.Demand(tokens, tokens)
    capacity = room.Capacity(16, most)
    assert room.endpoint_room(
        'e', capacity, room.Use(), demand, SPEED
    ).has_space


@behave.given(
    'a queue where account "{account}" has {count:d} running streams'
)
def queue_with_running(context, account, count):
    context.queue = stream_queue.StreamQueue()
    for _ in range(count):
        context.queue.begin(account)


@behave.given(
    'a queue where account "{low}" had {sent:d} of {total:d} streams sent and '
    '"{high}" {others:d}'
)
def queue_with_outcomes(context, low, sent, total, high, others):
    context.queue = stream_queue.StreamQueue()
    for number in range(total):
        context.queue.record_outcome(low, number < sent, 0.0)
        context.queue.record_outcome(high, number < others, 0.0)


@behave.when('these streams wait')
def streams_wait(context):
    context.waiting = {
        row['name']: stream_queue.Waiting(
            row['name'],
            row['account'],
            int(row['priority']),
            float(row['by_s']),
            row.get('returned') == 'yes',
        )
        for row in context.table
    }
    for each in context.waiting.values():
        context.queue.add(each)


@behave.then('their order is "{names}"')
def order_is(context, names):
    order = sorted(context.waiting, key=_ahead_of(context))
    assert order == names.split(', '), order


def _ahead_of(context):
    return lambda name: context.queue.ahead_of(context.waiting[name], 0.0)


@behave.then('{count:d} streams are ahead of "{name}"')
def ahead_of(context, count, name):
    assert _ahead_of(context)(name) == count


@behave.then(
    'with {resuming:d} streams that resume, {count:d} are ahead of "{name}"'
)
def ahead_with_resuming(context, resuming, count, name):
    for _ in range(resuming):
        context.queue.begin_resume()
    ahead_of(context, count, name)


@behave.given('a queue that saw urgent streams with an objective of 4 s')
def queue_with_kinds(context):
    context.queue = stream_queue.StreamQueue()
    context.queue.bound_s('a', 0, 4.0, 0.0)
    context.now_s = 0.0


@behave.then(
    'a less urgent stream with an objective of {objective_s:g} s is bound by '
    '{bound_s:g} s'
)
def bound_by(context, objective_s, bound_s):
    context.objective_s = objective_s
    found = context.queue.bound_s('a', 1, objective_s, context.now_s)
    assert abs(found - bound_s) < 1e-6, found


@behave.then('{later_s:g} s later it is bound by {bound_s:g} s')
def later_bound_by(context, later_s, bound_s):
    context.now_s += later_s
    bound_by(context, context.objective_s, bound_s)


@behave.given('a schedule at {rate:g} streams/s with room in {free_s:g} s')
def schedule(context, rate, free_s):
    context.schedule = functools.partial(
        returns.ReturnSchedule().retry_after_s, 100.0, free_s, rate
    )


@behave.then('callers with {left_s:g} s left are told "{times}"')
def callers_told(context, left_s, times):
    told = [context.schedule(left_s) for _ in times.split(', ')]
    assert told == [float(each) for each in times.split(', ')], told


@behave.when(
    '{count:d} streams with a hint of {hint:d} tokens have {tokens:d}'
)
def streams_have(context, count, hint, tokens):
    context.lengths = lengths.OutputLengths()
    for _ in range(count):
        context.lengths.observe('s', hint, tokens)


@behave.then('a hint of {hint:d} tokens counts as {least:d} to {most:d}')
def hint_counts(context, hint, least, most, maximum=0):
    found = context.lengths.expected('s', hint, maximum)
    assert least <= found <= most, found


@behave.then(
    'a hint of {hint:d} tokens with a maximum of {maximum:d} counts as '
    '{least:d} to {most:d}'
)
def bounded_hint_counts(context, hint, maximum, least, most):
    hint_counts(context, hint, least, most, maximum)


def _replay(**settings):
    return [
        overload_simulation.OverloadSimulation(seed, **settings).run()
        for seed in SEEDS
    ]


@behave.when('the overload is replayed with seeds 1 to 3')
def replay(context):
    replay_surge(context, 4)


@behave.when('the overload of {surge:d} times the demand is replayed')
def replay_surge(context, surge):
    context.before = _replay(has_admission=False, surge=surge)
    context.after = _replay(has_admission=True, surge=surge)


@behave.then('with admission {percent:d} in 100 streams more are on time')
def more_on_time(context, percent):
    gain = sum(
        after.on_time - before.on_time
        for before, after in zip(context.before, context.after)
    ) / len(SEEDS)
    assert gain >= percent / 100, (context.before, context.after)


@behave.then('at most {percent:d} in 100 as many tokens are read in vain')
def fewer_in_vain(context, percent):
    before = sum(each.vain_tokens for each in context.before)
    after = sum(each.vain_tokens for each in context.after)
    assert after <= before * percent / 100, (context.before, context.after)


@behave.when(
    'the overload of {surge:d} times the demand is replayed with returns'
)
def replay_returns(context, surge):
    settings = {'has_admission': True, 'returns_allowed': 20, 'surge': surge}
    context.before = _replay(has_schedule=False, **settings)
    context.after = _replay(**settings)


@behave.then('with a schedule at most a third as many are refused twice')
def fewer_refused_twice(context):
    before = sum(each.refused_twice for each in context.before)
    after = sum(each.refused_twice for each in context.after)
    assert after <= before / 3, (context.before, context.after)


@behave.given(
    'an entry that reports {held:d} held and {unread:d} unread tokens and '
    '{waiting:d} waiting'
)
def entry_reports(context, held, unread, waiting):
    record = gossip_members_steps.record('e1')
    tokens = {each: (held, unread) for each in record.placements}
    changed = members.msgspec.structs.replace(
        record, placement_tokens=tokens, waiting_streams={'s': waiting}
    )
    context.members = members.Members('own', 'fd-1')
    context.members.merge(changed, 10.0)


@behave.then(
    'others count {held:d} held and {unread:d} unread tokens and '
    '{waiting:d} waiting'
)
def others_count(context, held, unread, waiting):
    alive = context.members.alive(10.1)
    (placed,) = members.total_placements(alive).values()
    assert (placed.held_tokens, placed.unread_tokens) == (held, unread)
    assert members.total_waiting(alive) == {'s': waiting}


@behave.then('after {gone_s:g} s without its heartbeat they count nothing')
def others_count_nothing(context, gone_s):
    alive = context.members.alive(10.0 + gone_s)
    assert not members.total_placements(alive)
    assert not members.total_waiting(alive)


@behave.given('stream endpoints that play "{script}"')
def one_endpoint(context, script):
    context.script = forwarding_steps.stream_script(script)


@behave.given('admission of streams at the site with {state}')
def admission_with(context, state):
    context.state = state


@behave.when('a stream with a prompt of {tokens:d} tokens {kind}')
def stream_with_prompt(context, tokens, kind):
    async def run():
        endpoint = await scripted_endpoint.ScriptedEndpoint(
            context.script
        ).start()
        site = forwarding_site.ForwardingSite([endpoint])
        _prepare(site, context.state)
        context.site = site
        site.prompt_tokens = tokens
        try:
            return await site.stream(ROUTE, last_event=int(kind == 'resumes'))
        finally:
            await endpoint.stop()

    context.reply, _ = asyncio.run(run())
    now_s = time.monotonic()
    use = context.site.context.account_use
    # A report of the use by accounts follows a refusal, and only that.
    assert use.is_full(forwarding_site.SERVICE, now_s) == isinstance(
        context.reply, replies.Refusal
    )


def _prepare(site, state):
    service = forwarding_site.SERVICE
    engine = routes.EngineConfig(True, 16, 88_000, 8)
    if state == 'no stated capacity':
        engine = routes.EngineConfig(True)
    if state == 'no stated stride':
        engine = routes.EngineConfig(True, 16, 88_000)
    facts = routes.ServiceConfig(service, '/healthz', engine)
    limits = routes.CallerLimits(1 << 20)
    site.state.install(routes.Configuration(2, [], [facts], {}, limits, b''))
    full = {'e0': choose.Placements(16, 1, 0, 88_000, 8_000)}
    if state in ('a free engine', 'a report of far slower ones'):
        full = {}
    if state == 'a new engine':
        full = {'before-its-restart': full['e0']}
    site.context = dataclasses.replace(
        site.context, remote_placements=lambda: full
    )
    if state != 'no stated pace':
        site.context.paces.record_service(service)
    if state == 'a report of far slower ones':
        slow = speed_doubles.estimate(500.0, 28.0, 0.1)
        site.context.speeds.add_received(service, slow)
    elif state != 'no known speed':
        site.context.speeds.observe(
            service, speed_doubles.observation(0.125, 28.0, 0.1)
        )


@behave.then('the stream was {result}')
def stream_was(context, result):
    match context.reply:
        case replies.Streamed(True):
            described = 'complete'
        case replies.Refusal(_, retry_after_s, True) if retry_after_s > 0:
            described = 'refused with a time'
        case other:
            described = str(other)
    assert described == result, described


@behave.given('two stream endpoints with "{first}", "{second}"')
def two_endpoints(context, first, second):
    context.scripts = [first, second]


@behave.when(
    'a stream of a service with a pace and {cached:d} cached tokens is made'
)
def stream_of_speed(context, cached):
    async def run():
        endpoints = [
            await scripted_endpoint.ScriptedEndpoint(
                forwarding_steps.stream_script(each)
            ).start()
            for each in context.scripts
        ]
        site = forwarding_site.ForwardingSite(endpoints)
        # Without copies a stream that goes on has its prompt read again.
        facts = routes.ServiceConfig(
            forwarding_site.SERVICE, '/healthz', routes.EngineConfig(False)
        )
        limits = routes.CallerLimits(1 << 20)
        site.state.install(
            routes.Configuration(2, [], [facts], {}, limits, b'')
        )
        site.context.paces.record_service(forwarding_site.SERVICE)
        site.prompt_tokens, site.max_output_tokens = 1000, 11
        held = mock.patch.object(
            prefixes.PrefixTable, 'held_tokens', return_value=cached
        )
        try:
            with held:
                context.reply, _ = await site.stream(ROUTE)
        finally:
            for each in endpoints:
                await each.stop()
        context.speeds = site.context.speeds.all()

    asyncio.run(run())


@behave.then('its speed {state} known')
def speed_is_known(context, state):
    assert context.reply == replies.Streamed(True), context.reply
    assert bool(context.speeds) == (state == 'is'), context.speeds


@behave.given('it is observed whether new streams wait')
def observe_resumes(context):
    def prepare(site, before=context.prepare):
        before(site)
        queue = site.context.admission.queue(forwarding_site.SERVICE)
        context.begin_resume = mock.Mock(side_effect=queue.begin_resume)
        queue.begin_resume = context.begin_resume

    context.prepare = prepare


@behave.then('no new stream had to wait')
def none_had_to_wait(context):
    context.begin_resume.assert_not_called()


@behave.when(
    'a caller of a session is refused and comes back with another request'
)
def caller_returns(context):
    async def run():
        endpoint = await scripted_endpoint.ScriptedEndpoint(
            context.script
        ).start()
        site = forwarding_site.ForwardingSite([endpoint])
        _prepare(site, context.state)
        site.prompt_tokens = 1000
        counters = site.context.counters
        try:
            with mock.patch.object(counters, 'count_return') as count_return:
                await site.stream(ROUTE, request_id='1')
                context.first_returns = count_return.call_count
                await site.stream(ROUTE, request_id='2')
                context.returns = count_return.call_count
        finally:
            await endpoint.stop()

    asyncio.run(run())


@behave.then('only the second request counts as a return')
def one_return(context):
    assert (context.first_returns, context.returns) == (0, 1), context.returns


@behave.given('a site with {count:d} free engines where {state}')
def site_where(context, count, state):
    context.offered = []
    begin = stream_turns.StreamTurn.begin

    async def recorded(turn):
        refusal = await begin(turn)
        context.offered.append(len(turn.endpoint_ids))
        return refusal

    async def run():
        endpoints = [
            await scripted_endpoint.ScriptedEndpoint(
                forwarding_steps.stream_script('head 1 2 end')
            ).start()
            for _ in range(count)
        ]
        site = forwarding_site.ForwardingSite(endpoints)
        _prepare(site, 'a free engine')
        service = forwarding_site.SERVICE
        if state == 'a stream waits':
            now_s = asyncio.get_running_loop().time()
            site.context.account_use.mark_full(service, now_s)
        if state == 'a stream waits at another entry':
            site.context.admission.others = lambda: tables.Others(
                2, {service: 1}
            )
        site.prompt_tokens = 1000
        try:
            with mock.patch.object(stream_turns.StreamTurn, 'begin', recorded):
                await site.stream(ROUTE)
        finally:
            for each in endpoints:
                await each.stop()

    asyncio.run(run())


@behave.then('a new stream is offered {count:d} endpoints')
def offered(context, count):
    assert context.offered == [count], context.offered


@behave.given('2 engines of which one is full and the other counts as down')
def engine_down(context):
    context.tried = []

    async def run():
        endpoints = [
            await scripted_endpoint.ScriptedEndpoint(
                forwarding_steps.stream_script('head 1 2 end')
            ).start()
            for _ in range(2)
        ]
        site = forwarding_site.ForwardingSite(endpoints)
        _prepare(site, 'an engine full of others')
        down = site.tracker.stats('e1')
        down.streams = 0
        down.down_until_s = asyncio.get_running_loop().time() + 9.0
        site.prompt_tokens = 1000
        try:
            context.reply, _ = await site.stream(ROUTE)
        finally:
            for each in endpoints:
                context.tried.append(len(each.heads))
                await each.stop()

    asyncio.run(run())


@behave.then('a new stream is not sent to the one that is down')
def not_sent_down(context):
    assert isinstance(context.reply, replies.Refusal), context.reply
    assert context.tried == [0, 0], context.tried


@behave.then(
    'the length hints "{first}", "{second}" and "" are read as "{read}"'
)
def hints_read(context, first, second, read):
    found = [
        headers.read_caller([(b'Length-Hint', each.encode())]).length_hint
        for each in (first, second, '')
    ]
    assert found == [int(each) for each in read.split(', ')], found


@behave.then('an engine block with {block} states the capacity {capacity}')
def engine_block(context, block, capacity):
    content = (
        '{"version": 1, "services": [{"name": "s", "engine": {%s}}]}' % block
    )
    engine = configuration.decode(content.encode()).services['s'].engine
    stated = f'{engine.slots}, {engine.kv_capacity_tokens}'
    assert stated == capacity, stated
