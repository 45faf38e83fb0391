"""Steps for endpoint choice, health and retry budget."""

from __future__ import annotations

import itertools

import behave
from features.variants import routing as variants
from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import codes
from godwitvalve.routing import choose
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import health
from godwitvalve.routing import results
from godwitvalve.routing import retry_budget
from godwitvalve.routing import router
from godwitvalve.routing import subset
from godwitvalve.routing import view
import hypothesis
from hypothesis import strategies

_RESULTS = {
    'unresponsive': results.Unresponsive(),
    'disconnected': results.ConnectionLost(),
    'succeeded': results.Succeeded(),
    'refused': results.ConnectFailed(refused=True),
    'failed': results.Failed(),
}
_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
_REQUEST = choose.RouteRequest('summaries', 'v1')


def _endpoint(endpoint_id, domain='fd-1'):
    return endpoint_model.Endpoint(
        endpoint_id, '127.0.0.1:1', domain, 'summaries', 'v1', True
    )


def _names(text):
    return text.split(', ')


def _report(load=0, state='live'):
    return engine_port.LoadReport(load, 0, state, 'v1', 0.0)


def _set_up(context, near, endpoints):
    context.now_s = 100.0
    context.endpoints = endpoints
    context.router = router.Router('entry-1', near)
    context.router.update_endpoints(endpoints, context.now_s)


def _view(context, endpoint_id):
    return next(
        item
        for item in context.router.views()
        if item.endpoint.endpoint_id == endpoint_id
    )


@strategies.composite
def _views(draw):
    count = draw(strategies.integers(0, 8))
    small = strategies.integers(0, 4)
    return [
        view.EndpointView(
            _endpoint(
                f'e{index}',
                draw(strategies.sampled_from(['fd-1', 'fd-2', 'fd-3'])),
            ),
            last_use=index,
            outstanding=draw(small),
            reported_load=draw(small),
            standing=draw(strategies.sampled_from(list(view.Standing))),
        )
        for index in range(count)
    ]


_IDS = strategies.frozensets(
    strategies.sampled_from([f'e{index}' for index in range(8)])
)


@behave.then(
    'choose agrees with its reference implementation on generated views'
)
def choose_agrees(context):
    @_SETTINGS
    @hypothesis.given(
        _views(),
        _IDS,
        strategies.none() | _IDS,
        strategies.none() | strategies.sampled_from(['e0', 'e1', 'e2']),
    )
    def check(views, tried, allowed, holder):
        request = _REQUEST._replace(tried=tried, allowed=allowed)
        wanted = variants.reference_choose(views, request, 'fd-1', holder)
        chosen = choose.choose(views, request, 'fd-1', holder)
        if wanted is None:
            assert chosen == choose.NoEndpoint(codes.ResultCode.NO_ENDPOINT)
        else:
            assert chosen is wanted, (chosen, wanted)

    check()


_ENDPOINTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 99), strategies.integers(1, 4)
    ).map(lambda pair: _endpoint(f'e{pair[0]}', f'fd-{pair[1]}')),
    max_size=30,
    unique_by=lambda endpoint: endpoint.endpoint_id,
)


@behave.then(
    'subset agrees with its reference implementation on generated endpoints'
)
def subset_agrees(context):
    @_SETTINGS
    @hypothesis.given(
        strategies.integers(0, 50), _ENDPOINTS, strategies.integers(0, 12)
    )
    def check(number, endpoints, size):
        entry_id = f'entry-{number}'
        wanted = variants.reference_subset(entry_id, endpoints, size)
        chosen = subset.subset(entry_id, endpoints, size)
        assert set(chosen) == set(wanted), (chosen, wanted)

    check()


@behave.then('removing an endpoint changes at most two members of a subset')
def subset_is_stable(context):
    @_SETTINGS
    @hypothesis.given(
        strategies.integers(0, 50),
        _ENDPOINTS.filter(bool),
        strategies.integers(0, 12),
    )
    def check(number, endpoints, size):
        entry_id = f'entry-{number}'
        before = set(subset.subset(entry_id, endpoints, size))
        for removed in endpoints:
            remaining = [item for item in endpoints if item != removed]
            after = set(subset.subset(entry_id, remaining, size))
            allowed = 2 if removed in before else 0
            assert len(after - before) <= allowed, (removed, before, after)

    check()


@behave.given('a router near "{near}" with endpoints')
def router_with(context, near):
    endpoints = [
        _endpoint(row['endpoint'], row['domain']) for row in context.table
    ]
    _set_up(context, near, endpoints)


@behave.given(
    'a router with {count:d} endpoints in {domains:d} failure domains'
)
def router_with_count(context, count, domains):
    endpoints = [
        _endpoint(f'e{index}', f'fd-{index % domains + 1}')
        for index in range(count)
    ]
    _set_up(context, 'fd-1', endpoints)


@behave.when('endpoint "{endpoint_id}" reports a load of {load:d}')
def report_load(context, endpoint_id, load):
    context.router.report_load(endpoint_id, _report(load), context.now_s)


def _acquire_ids(context, count, request=_REQUEST):
    return [
        context.router.acquire(request, context.now_s).endpoint_id
        for _ in range(count)
    ]


@behave.then('{count:d} routing requests go to "{names}"')
def requests_go_to(context, count, names):
    chosen = _acquire_ids(context, count)
    assert chosen == _names(names), chosen


@behave.when(
    '{count:d} routers with {endpoints:d} endpoints receive reports that '
    'only "{idle}" is idle'
)
def routers_receive_reports(context, count, endpoints, idle):
    context.routers = []
    for number in range(count):
        tested = router.Router(f'entry-{number}', 'fd-1')
        listed = [_endpoint(f'e{index}') for index in range(endpoints)]
        tested.update_endpoints(listed, 0.0)
        for item in listed:
            load = 0 if item.endpoint_id == idle else 8
            tested.report_load(item.endpoint_id, _report(load), 0.0)
        context.routers.append(tested)


@behave.then('at most {most:d} of their next routing requests go to "{idle}"')
def few_follow(context, most, idle):
    chosen = [item.acquire(_REQUEST, 0.0) for item in context.routers]
    count = sum(item.endpoint_id == idle for item in chosen)
    assert 0 < count <= most, count


@behave.then('comparing all endpoints would send {all_:d} of them to "{idle}"')
def all_follow(context, all_, idle):
    chosen = [
        min(item.views(), key=lambda seen: (seen.reported_load, seen.last_use))
        for item in context.routers
    ]
    count = sum(item.endpoint.endpoint_id == idle for item in chosen)
    assert count == all_, count


@behave.then(
    '{count:d} routing requests with one prefix use one endpoint '
    '{times:d} times first'
)
def prefix_requests(context, count, times):
    request = _REQUEST._replace(prefix_hint='month of May')
    chosen = _acquire_ids(context, count, request)
    assert len(set(chosen[:times])) == 1, chosen
    assert chosen[times] != chosen[0], chosen


@behave.then('a routing request that tried "{names}" goes to "{wanted}"')
def tried_goes_to(context, names, wanted):
    request = _REQUEST._replace(tried=frozenset(_names(names)))
    assert _acquire_ids(context, 1, request) == [wanted]


@behave.then(
    'a routing request that tried "{names}" is refused with NO_ENDPOINT'
)
def tried_refused(context, names):
    request = _REQUEST._replace(tried=frozenset(_names(names)))
    answer = context.router.acquire(request, context.now_s)
    assert answer is codes.ResultCode.NO_ENDPOINT, answer


@behave.then('a routing request is refused with NO_ENDPOINT')
def request_refused(context):
    answer = context.router.acquire(_REQUEST, context.now_s)
    assert answer is codes.ResultCode.NO_ENDPOINT, answer


@behave.when('{count:d} routing requests are in flight')
def in_flight(context, count):
    _acquire_ids(context, count)


@behave.when(
    'the routing list shrinks to "{fewer}" and then names "{names}" again'
)
def list_flaps(context, fewer, names):
    for listed in (_names(fewer), _names(names)):
        endpoints = [_endpoint(name) for name in listed]
        context.router.update_endpoints(endpoints, context.now_s)


@behave.then(
    'endpoint "{endpoint_id}" has {count:d} routing requests in flight'
)
def has_in_flight(context, endpoint_id, count):
    assert _view(context, endpoint_id).outstanding == count


def _end_request(context, endpoint_id, result):
    context.router.release(endpoint_id, result, context.now_s)


@behave.when('a routing request at "{endpoint_id}" ends {result}')
def request_ends(context, endpoint_id, result):
    _end_request(context, endpoint_id, _RESULTS[result])


@behave.when('{count:d} routing requests at "{endpoint_id}" end {result}')
def requests_end(context, count, endpoint_id, result):
    for _ in range(count):
        _end_request(context, endpoint_id, _RESULTS[result])


@behave.when('every endpoint disconnects {count:d} routing requests')
def all_disconnect(context, count):
    for endpoint, _ in itertools.product(context.endpoints, range(count)):
        _end_request(context, endpoint.endpoint_id, results.ConnectionLost())


@behave.when('endpoints "{names}" each disconnect {count:d} routing requests')
def some_disconnect(context, names, count):
    for name, _ in itertools.product(_names(names), range(count)):
        _end_request(context, name, results.ConnectionLost())


@behave.when('every endpoint refuses a connection')
def all_refuse(context):
    for endpoint in context.endpoints:
        _end_request(context, endpoint.endpoint_id, _RESULTS['refused'])


@behave.when('endpoints "{names}" refuse a connection')
def some_refuse(context, names):
    for name in _names(names):
        _end_request(context, name, _RESULTS['refused'])


@behave.when('the probe of "{endpoint_id}" succeeds')
def probe_succeeds(context, endpoint_id):
    context.router.record_probe(endpoint_id, _report(), context.now_s)


@behave.when('the probe of "{endpoint_id}" gets no response')
def probe_unresponsive(context, endpoint_id):
    context.router.record_probe(
        endpoint_id, results.Unresponsive(), context.now_s
    )


@behave.then('endpoint "{endpoint_id}" is due for a probe')
def due_for_probe(context, endpoint_id):
    due = context.router.endpoints_to_probe(context.now_s)
    assert endpoint_id in {item.endpoint_id for item in due}, due


@behave.then('endpoint "{endpoint_id}" is {condition:w}')
def condition_is(context, endpoint_id, condition):
    seen = _view(context, endpoint_id).health.condition
    assert seen is health.Condition(condition), seen


def _chosen_ids(context, count):
    return set(_acquire_ids(context, count))


@behave.then('endpoint "{endpoint_id}" gets no new work')
def no_new_work(context, endpoint_id):
    assert endpoint_id not in _chosen_ids(context, 100)
    others = {item.endpoint_id for item in context.endpoints}
    only = _REQUEST._replace(tried=frozenset(others - {endpoint_id}))
    answer = context.router.acquire(only, context.now_s)
    assert answer is codes.ResultCode.NO_ENDPOINT, answer


@behave.then(
    'endpoint "{endpoint_id}" gets no new work while others can take it'
)
def avoided(context, endpoint_id):
    assert endpoint_id not in _chosen_ids(context, 100)
    others = {item.endpoint_id for item in context.endpoints}
    only = _REQUEST._replace(tried=frozenset(others - {endpoint_id}))
    assert _acquire_ids(context, 1, only) == [endpoint_id]


@behave.then('its failing probes are due after {times} seconds')
def probes_after(context, times):
    wanted = [float(text) for text in _names(times)]
    seen = []
    for _ in wanted:
        ejected_s = context.now_s
        while not context.router.endpoints_to_probe(context.now_s):
            context.now_s += 0.25
        seen.append(context.now_s - ejected_s)
        probe_unresponsive(context, 'e0')
    assert seen == wanted, seen


@behave.then('{count:d} routing endpoints take new work')
def take_new_work(context, count):
    chosen = _chosen_ids(context, 200)
    assert len(chosen) == count, chosen
    assert context.router.usable_count('summaries', 'v1') == count


@behave.then('without the cap {count:d} routing endpoints take new work')
def take_without_cap(context, count):
    views = context.router.views()
    variants.standings_without_cap(views)
    usable = [v for v in views if v.standing is not view.Standing.OUT]
    assert len(usable) == count, usable


@behave.then('all {count:d} routing endpoints are probed within {limit_s:f} s')
def probed_within(context, count, limit_s):
    end_s = context.now_s + limit_s
    seen = set()
    while context.now_s <= end_s:
        due = context.router.endpoints_to_probe(context.now_s)
        seen |= {item.endpoint_id for item in due}
        context.now_s += 0.1
    assert len(seen) == count, seen


@behave.when('endpoint "{endpoint_id}" is found leaving by load report')
def leaving_by_report(context, endpoint_id):
    report = _report(state='leaving')
    context.router.report_load(endpoint_id, report, context.now_s)


@behave.when('endpoint "{endpoint_id}" is found leaving by refusal')
def leaving_by_refusal(context, endpoint_id):
    _end_request(context, endpoint_id, results.Leaving())


@behave.when('the lagging routing list still marks all endpoints as live')
def list_lags(context):
    context.router.update_endpoints(context.endpoints, context.now_s)


@behave.when('the routing list marks "{endpoint_id}" as leaving')
def list_leaving(context, endpoint_id):
    context.router.update_endpoints(
        context.endpoints, context.now_s, frozenset({endpoint_id})
    )


@behave.when('endpoint "{endpoint_id}" reports live {later_s:d} s later')
def reports_live(context, endpoint_id, later_s):
    context.now_s += later_s
    context.router.report_load(endpoint_id, _report(), context.now_s)


def _attempts(budget, requests, retries):
    attempts = 0
    for _ in range(requests):
        budget.record_first_attempt('summaries')
        attempts += 1
        for _ in range(retries):
            attempts += budget.try_retry('summaries')
    return attempts


@behave.when('{requests:d} requests each want {retries:d} retries')
def want_retries(context, requests, retries):
    context.requests = requests
    context.attempts = _attempts(retry_budget.RetryBudget(), requests, retries)
    context.unbounded = _attempts(
        variants.UnboundedRetries(), requests, retries
    )


@behave.then('at most {limit:f} attempts per request were made')
def attempts_at_most(context, limit):
    allowed = limit * context.requests + retry_budget.BURST_RETRIES
    assert context.attempts <= allowed, context.attempts
    assert context.attempts > context.requests


@behave.then('without the budget {rate:f} attempts per request were made')
def attempts_without(context, rate):
    assert context.unbounded == rate * context.requests


@behave.when(
    '{count:d} generations are interrupted at once after {requests:d} requests'
)
def generations_interrupted(context, count, requests):
    context.budget = retry_budget.RetryBudget()
    for _ in range(requests):
        context.budget.record_first_attempt('summaries')
    context.allowed = sum(
        context.budget.try_retry('summaries', for_resume=True)
        for _ in range(count)
    )


@behave.then('all {count:d} resumes are allowed')
def resumes_allowed(context, count):
    assert context.allowed == count, context.allowed


@behave.then('the retry budget refuses other retries until the debt is repaid')
def debt_is_repaid(context):
    debt = -context.budget.balance('summaries')
    requests = 0
    while not context.budget.try_retry('summaries'):
        context.budget.record_first_attempt('summaries')
        requests += 1
    earned = requests * retry_budget.EARNED_PER_FIRST_ATTEMPT
    assert abs(earned - debt - 1.0) < 0.11, (earned, debt)
