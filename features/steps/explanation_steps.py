"""Steps of features/explanation."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import types
import urllib.error
import urllib.request

from aioprometheus import renderer
import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import speeds as speed_doubles
from godwitvalve.endpoint_limits import messages
from godwitvalve.endpoint_limits import statements
from godwitvalve.endpoint_limits import view
from godwitvalve.explanation import candidates
from godwitvalve.explanation import model
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import stream_state
from godwitvalve.forwarding import stream_turns
from godwitvalve.ingress import route_explanation
from godwitvalve.operator_cli import main
from godwitvalve.placement import choose
from godwitvalve.placement import speed
from godwitvalve.placement import tracker
from godwitvalve.quarantine import crashes
from standins import local_site
from typer import testing

NOW_S = 100.0
SEGMENTS = (model.Segment('shared', 200), model.Segment('own', 7800))
QUESTION = model.Question(ingress_site.HOST, '/p/x', '', 8000, 1120, SEGMENTS)


@behave.given('these endpoints of a model service')
def step_endpoints(context):
    known = tracker.EndpointTracker()
    rows = {row['id']: row for row in context.table}
    listed = []
    for number, (name, row) in enumerate(rows.items()):
        listed.append(
            endpoints.FleetEndpoint(
                name,
                's',
                f'10.0.0.{number}:1',
                row['domain'],
                'v1',
                8,
                False,
                1,
            )
        )
        stats = known.stats(name)
        stats.streams, stats.starting = (
            int(row['streams']),
            int(row['starting']),
        )
        stats.calls = stats.streams
        if row['state'] in ('ejected', 'down'):
            stats.ejected_until_s = NOW_S + 1
        if row['state'] == 'down':
            stats.down_until_s = NOW_S + 1

    def of(column, *values):
        return [each for each in listed if rows[each[0]][column] in values]

    def ids(*values):
        return {each.endpoint_id for each in of('limit', *values)}

    context.situation = candidates.Situation(
        True,
        NOW_S,
        'fd-a',
        listed,
        {
            each.endpoint_id: rows[each.endpoint_id]['state']
            for each in of('state', 'leaving', 'replaced')
        },
        of('state', 'listed', 'ejected', 'down'),
        of('state', 'canary'),
        known,
        {'a1': choose.Placements(1, 0, 1)},
        view.LimitView(ids('yes', 'spent'), ids('spent')),
        lambda each: float(rows[each.endpoint_id]['work']),
        savings=lambda each: float(rows[each.endpoint_id]['saving']),
    )


@behave.when('a {kind} is explained')
def step_explain(context, kind):
    context.situation = context.situation._replace(is_stream=kind == 'stream')
    context.found = candidates.weigh(context.situation)


@behave.then(
    'the candidates are "{names}" and each cost is the sum of its parts'
)
def step_order(context, names):
    seen = ' '.join(each.endpoint_id for each in context.found)
    assert seen == names, context.found
    for each in context.found:
        cost = each.cost
        parts = cost.load + cost.work + cost.domain + cost.limit - cost.saving
        assert abs(cost.total - parts) < 0.003, each


@behave.then('the choices are those of 200 placements')
def step_choices(context):
    known = context.situation
    rng = random.Random(1)
    common = {'limits': known.limits, 'work': known.work}

    def place():
        where = known.old_version, known.tracker
        rest = set(), known.own_domain, NOW_S, rng
        if not known.is_stream:
            return choose.choose_call(*where, *rest, **common)
        return choose.choose_stream(
            *where, known.placements, *rest, savings=known.savings, **common
        )

    placed = {place().endpoint_id for _ in range(200)}
    seen = {each.endpoint_id for each in context.found if each.is_choice}
    assert seen == placed, (seen, placed)


@behave.then('the others are excluded')
def step_excluded(context):
    seen = [
        (each.endpoint_id, each.reason)
        for each in candidates.excluded(context.situation)
    ]
    assert seen == [tuple(row) for row in context.table], seen


def _in_loop(work):
    """Run a function in an event loop."""

    async def run():
        return work()

    return asyncio.run(run())


@behave.given(
    'an entry whose {count:d} engines each run {streams:d} streams with '
    '{unread:d} unread tokens'
)
def step_entry(context, count, streams, unread):
    scripted = [
        types.SimpleNamespace(address=f'127.0.0.1:{1000 + number}')
        for number in range(count)
    ]
    context.site = site = forwarding_site.ForwardingSite(scripted)
    service = forwarding_site.SERVICE
    its_routes = [
        forwarding_site.route(
            kind, prefix=prefix, limit_ms=25000.0, objective_ms=4500.0
        )
        for kind, prefix in (
            (routes.RequestKind.STREAM, '/p/'),
            (routes.RequestKind.ONCE, '/c/'),
        )
    ]
    engine = routes.EngineConfig(False, 8, 88000, 8)
    site.state.install(
        routes.Configuration(
            2,
            its_routes,
            [routes.ServiceConfig(service, '/', engine)],
            None,
            routes.CallerLimits(1),
            b'',
        )
    )
    site.context.paces.record_service(service)
    site.context.speeds.add_received(
        service, speed_doubles.estimate(0.125, 30.0, 0.125)
    )
    for number in range(count):
        stats = site.tracker.stats(f'e{number}')
        stats.calls, stats.streams = 0, streams
        stats.held_tokens, stats.unread_tokens = streams * 9120, unread
    context.explainer = route_explanation.RouteExplainer(
        site.context, lambda *arguments: True
    )


def _ask(context, question=QUESTION):
    return _in_loop(lambda: context.explainer.explain(question))


@behave.when('it is asked about a stream of 8000 tokens')
def step_ask(context):
    context.answer = _ask(context).services[0]


@behave.then('the outcome is "{words}" with {choices:d} choices')
def step_outcome(context, words, choices):
    outcome = context.answer.outcome
    seen = f'{outcome.action} {outcome.code} {outcome.reason}'.split()
    assert seen == words.split(), outcome
    chosen = sum(each.is_choice for each in context.answer.candidates)
    assert chosen == choices, context.answer.candidates


def _decide(context):
    """Decide on a stream that the entry gets, but for its delay."""

    def work():
        site = context.site
        site.prompt_tokens = QUESTION.prompt_tokens
        its_route = site.state.configuration.route(ingress_site.HOST, '/p/x')
        routed = site.routed_request(its_route, 24.97)
        state = stream_state.StreamState(
            site.context, routed, None, in_flight.RequestInFlight()
        )
        turn = stream_turns.StreamTurn(state)
        return turn, turn.assess()

    return _in_loop(work)


@behave.then('a stream that is decided on gets the same')
def step_same(context):
    decided = type(_decide(context)[1].decision).__name__.lower()
    expected = context.answer.outcome
    if expected.code != 'NO_ENDPOINT':
        assert decided == expected.action, decided


def _limit(context, *ids, is_spent=False):
    limiter = context.site.context.limiter

    def work():
        now_s = asyncio.get_running_loop().time()
        for each in ids:
            endpoint = context.site.state.registry.get(each)
            limiter.observe(endpoint, statements.Limited(1.0), now_s)
            if is_spent:
                denied = messages.PermitAnswer(0, 60_000)
                limiter.apply_answer(endpoint, denied, now_s)

    _in_loop(work)


def _crash(context, *agos_s):
    def work():
        now_s = asyncio.get_running_loop().time()
        for ago_s in agos_s:
            context.site.context.quarantine.record_crash(
                forwarding_site.SERVICE,
                f'x{ago_s}',
                [crashes.Suspect(frozenset(['shared']), now_s - ago_s, True)],
                now_s - ago_s,
            )

    _in_loop(work)


@behave.given(
    'one engine has a limit, and the quarantine of the prompt just ended'
)
def step_limit(context):
    _limit(context, 'e0')
    _crash(context, 100.0, 90.0)


@behave.given('the prompt is quarantined')
def step_quarantined(context):
    _crash(context, 20.0, 10.0)


@behave.given('the limit of each engine is spent')
def step_spent(context):
    _limit(context, 'e0', 'e1', is_spent=True)


@behave.given('it drains')
def step_drains(context):
    context.explainer = route_explanation.RouteExplainer(
        context.site.context, lambda *arguments: False
    )


@behave.given('its streams take longer than the route')
def step_slow(context):
    slow = speed_doubles.estimate(5.0, 900.0, 0.125)
    speeds = speed.SpeedEstimates()
    speeds.add_received(forwarding_site.SERVICE, slow)
    its_context = dataclasses.replace(context.site.context, speeds=speeds)
    context.explainer = route_explanation.RouteExplainer(
        its_context, lambda *arguments: True
    )


def _state_of(value, seen):
    """Return all that a component holds, for a comparison."""
    if id(value) in seen:
        return '...'
    if isinstance(value, random.Random):
        return hash(value.getstate())
    if isinstance(value, dict):
        inner = seen | {id(value)}
        return [(repr(k), _state_of(v, inner)) for k, v in value.items()]
    if isinstance(value, (list, tuple, set)) or hasattr(value, 'popleft'):
        return [_state_of(each, seen | {id(value)}) for each in value]
    if callable(value) or not hasattr(value, '__dict__'):
        return repr(value)
    return type(value).__name__, _state_of(vars(value), seen | {id(value)})


def _fingerprint(context):
    its_context = context.site.context
    parts = {
        field.name: _state_of(getattr(its_context, field.name), frozenset())
        for field in dataclasses.fields(its_context)
        if field.name not in ('counters', 'pool', 'history')
    }
    metrics, _ = renderer.render(its_context.counters.registry, [])
    return parts, metrics


@behave.when('it is asked about streams and calls {count:d} times')
def step_repeat(context, count):
    context.before = _fingerprint(context)
    for _ in range(count):
        for path in ('/p/x', '/c/x'):
            _ask(
                context,
                model.Question(
                    **{
                        **{
                            name: getattr(QUESTION, name)
                            for name in QUESTION.__struct_fields__
                        },
                        'path': path,
                    }
                ),
            )


@behave.then('its state is as before')
def step_unchanged(context):
    before, after = context.before, _fingerprint(context)
    changed = [name for name in before[0] if before[0][name] != after[0][name]]
    assert not changed and before[1] == after[1], changed


@behave.then('a stream that is decided on changes it')
def step_changed(context):
    turn, assessment = _decide(context)
    assert _fingerprint(context)[0] != context.before[0], assessment


@behave.given('an entry at which a declined call waits')
def step_waiting(context):
    step_entry(context, 2, 0, 0)


@behave.when('it is asked about a call')
def step_ask_call(context):
    async def run():
        turns = context.site.context.turns.at(forwarding_site.SERVICE)
        running = [await turns.begin('acme', 1, 1e9) for _ in range(2)]
        waiting = asyncio.create_task(running[0].wait_again())
        await asyncio.sleep(0)
        question = model.Question(ingress_site.HOST, '/c/x')
        context.answer = context.explainer.explain(question).services[0]
        waiting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await waiting

    asyncio.run(run())


def _route(context, entry, options):
    words = ['fleet', 'route', '--entry', entry, *options.split()]
    return testing.CliRunner().invoke(main.app, words)


@behave.then('these questions to entry-0 end so')
def step_questions(context):
    context.control = context.fleet.port_address('entry-0', 3)
    for row in context.table:
        result = _route(context, context.control, row['options'])
        seen = result.exit_code, result.output
        assert seen[0] == int(row['code']) and row['output'] in seen[1], seen
        if seen[0]:
            assert row['output'] in result.stderr and not result.stdout, seen


@behave.then('a question to a port without an entry ends with {code:d}')
def step_no_entry(context, code):
    entry = f'127.0.0.1:{local_site.free_port()}'
    result = _route(context, entry, '--host a --path /')
    assert result.exit_code == code and entry in result.stderr, result


@behave.then('no endpoint ran a request')
def step_no_runs(context):
    assert not any(context.fleet.runs(each) for each in ('m0', 'm1', 'p0'))


@behave.then(
    '"godwitvalve fleet" needs a store and prints what it has, as before'
)
def step_fleet(context):
    def run(*words, **env):
        return testing.CliRunner(env=env).invoke(main.app, ['fleet', *words])

    address = context.fleet.addresses['store']
    given = run('--store', address)
    assert given.exit_code == 0 and 'desk fd-0 p0 ' in given.stdout, given
    result = run('--json', GODWITVALVE_STORE=address)
    assert json.loads(result.stdout)['configuration_version'] == 5, result
    assert run().exit_code == 2


@behave.then('too long or invalid questions are refused with 413 and 400')
def step_refused(context):
    url = f'http://{context.control}{model.PATH}'
    for content, status in (
        (bytes(20_000), 413),
        (b'[' * 9_000, 400),
        (b'{"host": "a", "path": "/", "prompt_tokens": -1}', 400),
    ):
        try:
            urllib.request.urlopen(url, content, timeout=2.0)
        except urllib.error.HTTPError as error:
            assert error.code == status, (content[:40], error.code)
        else:
            raise AssertionError(content[:40])
