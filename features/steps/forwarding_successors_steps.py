"""Steps for the search of restarted endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import time

import behave
from features.doubles import cuttable_link
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from godwitvalve import clock
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import arrivals
from godwitvalve.forwarding import channel
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import liveness
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import pool
from godwitvalve.forwarding import successors
from godwitvalve.parsing import throttle
from godwitvalve.placement import tracker
from godwitvalve.platform import headers
from standins import local_site

REUSE_S = 2.0
# Longer than any search that finds something.
SEARCH_S = 0.6
MEMORY_BYTES = 1024 * 1024
HEALTHY = b'HTTP/1.1 200 OK\r\nInstance-Id: e-9\r\nContent-Length: 0\r\n\r\n'
PAUSE_S = 0.05


async def _search(context, is_listening, clock_s=clock.since_boot_s):
    """Search the successor of an endpoint; keep the ids that are found."""
    address = f'127.0.0.1:{local_site.free_port()}'
    found = []

    async def is_store_reachable():
        return False

    search = successors.SuccessorSearch(
        states.FleetState(),
        lambda endpoint, steady_s: steady_s,
        REUSE_S,
        is_store_reachable,
        lambda each: found.append(each.endpoint_id),
        clock_s,
    )
    lost = endpoints.FleetEndpoint(
        'e-1', 'summaries', address, 'fd-0', 'v1', 8, False, 1
    )
    async with contextlib.AsyncExitStack() as running:
        if is_listening:
            await running.enter_async_context(_other_endpoint(address))
        search.begin(lost, clock_s() - context.seen_before_s)
        if not is_listening:
            await asyncio.sleep(SEARCH_S / 2)
            context.is_suspended = True
            await running.enter_async_context(_other_endpoint(address))
        await asyncio.sleep(SEARCH_S)
        search.stop()
    context.found = found


@contextlib.asynccontextmanager
async def _other_endpoint(address):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEALTHY)
        writer.close()

    host, _, port = address.rpartition(':')
    async with await asyncio.start_server(serve, host, int(port)):
        yield


@behave.given(
    'an endpoint that was seen {seen_s:g} s ago and another one at its address'
)
@behave.given(
    'an endpoint that was seen {seen_s:g} s ago and none at its address'
)
def endpoint_seen(context, seen_s):
    context.seen_before_s = seen_s


@behave.when('its successor is searched while the store is down')
def search_successor(context):
    asyncio.run(_search(context, is_listening=True))


@behave.when(
    'the machine is suspended for {suspended_s:g} s during the search, and '
    'another endpoint starts there'
)
def search_over_suspension(context, suspended_s):
    context.is_suspended = False

    def clock_s():
        return time.monotonic() + suspended_s * context.is_suspended

    asyncio.run(_search(context, is_listening=False, clock_s=clock_s))


@behave.then('the other one is found')
def other_found(context):
    assert context.found == ['e-9'], context.found


@behave.then('no successor is found')
def none_found(context):
    assert not context.found, context.found


def _health(endpoint_id, status=b'200 OK'):
    return b'HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n' % (
        status,
        b'Instance-Id: %s\r\n' % endpoint_id if endpoint_id else b'',
    )


class _SendingEndpoint(scripted_endpoint.ScriptedEndpoint):
    """Notes when it has sent a script and holds up the event loop then.

    :param health: answer to a health probe.
    """

    def __init__(self, script, hold_s=0.0, health=_health(b'e-1')):
        super().__init__(script)
        self._hold_s = hold_s
        self._health = health
        self.probe_count = 0
        self.sent_s = 0.0

    async def _play(self, script, head, *connection):
        if head.startswith(b'GET'):
            self.probe_count += 1
            self.scripts.append(script)
            return await super()._play([self._health], head, *connection)
        is_kept = await super()._play(script, head, *connection)
        self.sent_s = clock.since_boot_s()
        time.sleep(self._hold_s)
        return is_kept


def _paced_events(count):
    """Return the actions that send events, with pauses between them."""
    paced = [
        action
        for number in range(1, count + 1)
        for action in (PAUSE_S, scripted_endpoint.event(number))
    ]
    return [scripted_endpoint.STREAM_HEAD, *paced, 'close']


@behave.given(
    'an endpoint that sends events and holds up the event loop for '
    '{hold_s:g} s and ends'
)
def endpoint_that_holds(context, hold_s):
    context.endpoint = _SendingEndpoint(_paced_events(4), hold_s)
    context.read_after_s = 0.0


@behave.given(
    'an endpoint that sends {size_kb:d} KB at once that are read {late_s:g} s '
    'later and ends'
)
def endpoint_with_long_event(context, size_kb, late_s):
    content = scripted_endpoint.chunk(bytes(size_kb * 1024))
    context.endpoint = _SendingEndpoint(
        [scripted_endpoint.STREAM_HEAD, PAUSE_S, content, 'close']
    )
    context.read_after_s = late_s


@behave.given('an endpoint that sends events for {span_s:g} s and ends')
def endpoint_with_events(context, span_s):
    context.endpoint = _SendingEndpoint(_paced_events(int(span_s / PAUSE_S)))
    context.read_after_s = 0.0


@behave.given(
    'an endpoint that sends events that the network holds up for {held_s:g} s '
    'and ends'
)
def endpoint_behind_cut(context, held_s):
    context.endpoint = _SendingEndpoint(_paced_events(4))
    context.read_after_s = 0.0
    context.held_s = held_s


def _listed(address, endpoint_id='e-1'):
    return endpoints.FleetEndpoint(
        endpoint_id, 'summaries', address, 'fd-0', 'v1', 8, False, 1
    )


def _exchange(listed, record):
    channels = pool.ChannelPool(
        message_memory.MessageMemory(MEMORY_BYTES), throttle.ParsingThrottle()
    )
    return exchange.Exchange(
        listed,
        channels,
        lambda endpoint, head: record.record_answer(endpoint, head.sent_s),
    )


async def _open(sent, request_id):
    facts = headers.CallerFacts(request_id, None, '', 0, 0, 0, '')
    raw = ((b'Host', b'h'), (b'Request-Id', request_id.encode()))
    request = exchange.CallerRequest('POST', '/p/x', raw, b'body', facts)
    return await sent.open(request, headers.SendFacts('e-1', 5000, ''))


@contextlib.asynccontextmanager
async def _probed(record, listed, is_store_down=True, unprobed=()):
    """Probe endpoints, of which the first one has a stream.

    :param unprobed: ids of those that ask for fewer requests.
    """
    state = states.FleetState()
    state.registry.mark_store_available(-100.0)
    for each in listed:
        state.registry.update(each, 1)
    if is_store_down:
        state.registry.mark_store_unavailable()
    running = tracker.EndpointTracker()
    running.stats(listed[0].endpoint_id).streams = 1
    prober = liveness.LivenessProbes(
        state,
        running,
        record,
        lambda endpoint: endpoint.endpoint_id not in unprobed,
    )
    tasks = [
        asyncio.create_task(each)
        for each in (prober.run(), arrivals.PROCESS.run())
    ]
    # The bound of arrivals takes a while to hold.
    await asyncio.sleep(3 * arrivals.POLL_PERIOD_S)
    try:
        yield prober
    finally:
        for task in tasks:
            task.cancel()


@contextlib.contextmanager
def _link(address):
    link = cuttable_link.CuttableLink(address)
    link.start()
    try:
        yield link
    finally:
        link.stop()


async def _hold_up(context, link):
    """Hold up the events of the endpoint until some time after its end."""
    link.cut()
    while not context.endpoint.sent_s:
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(context.held_s)
    link.heal()


async def _read_stream(context, is_store_down):
    await context.endpoint.start()
    record = liveness.LivenessRecord()
    async with contextlib.AsyncExitStack() as running:
        address = context.endpoint.address
        if 'held_s' in context:
            link = running.enter_context(_link(address))
            address = link.address
        listed = _listed(address)
        prober = await running.enter_async_context(
            _probed(record, [listed], is_store_down)
        )
        sent = _exchange(listed, record)
        await _open(sent, 'req-1')
        if 'held_s' in context:
            await _hold_up(context, link)
        await asyncio.sleep(context.read_after_s)
        assert not context.read_after_s or context.endpoint.sent_s
        with contextlib.suppress(channel.ChannelBroken):
            async for _ in sent.chunks():
                pass
        context.seen_s = prober.last_seen_s(listed, sent.steady_s)
    await context.endpoint.stop()


@behave.when('its stream is read to its end')
def read_stream(context):
    asyncio.run(_read_stream(context, False))


@behave.when('its stream is read to its end while the store is down')
def read_stream_in_outage(context):
    asyncio.run(_read_stream(context, True))


@behave.then('it was seen last at most {limit_s:g} s after that sending')
def seen_not_after(context, limit_s):
    after_s = context.seen_s - context.endpoint.sent_s
    assert after_s <= limit_s, after_s


@behave.then('it was seen last at most {limit_s:g} s before that sending')
def seen_not_before(context, limit_s):
    before_s = context.endpoint.sent_s - context.seen_s
    assert 0.0 <= before_s <= limit_s, before_s


@behave.then('it was seen last at least {limit_s:g} s before that sending')
def seen_long_before(context, limit_s):
    before_s = context.endpoint.sent_s - context.seen_s
    assert before_s >= limit_s, before_s


@behave.given(
    'an endpoint that sends events for {span_s:g} s, answers no probe and ends'
)
def endpoint_without_probe_answer(context, span_s):
    context.endpoint = _SendingEndpoint(
        _paced_events(int(span_s / PAUSE_S)),
        health=_health(b'e-1', b'503 Service Unavailable'),
    )
    context.read_after_s = 0.0


@behave.given(
    'a connection on which bytes arrive from 0 s to {until_s:g} s, and from '
    '{from_s:g} s on'
)
def arriving_bytes(context, until_s, from_s):
    context.arrivals_s = [
        tenths / 10
        for tenths in range(31)
        if tenths / 10 <= until_s or tenths / 10 >= from_s
    ]


@behave.then(
    'its endpoint was seen last at {seen_s:g} s until {until_s:g} s, and at '
    '{later_s:g} s then'
)
def seen_after_pause(context, seen_s, until_s, later_s):
    steady = arrivals.SteadyArrivals()
    found = {}
    for arrived_s in context.arrivals_s:
        steady.record(arrived_s)
        found[arrived_s] = steady.last_s
    assert found[seen_s] == found[until_s] == seen_s, found
    assert found[later_s] == later_s, found


PROBE_ANSWERS = {
    'by another one': _health(b'e-9'),
    'with status 503': _health(b'e-1', b'503 Service Unavailable'),
    'without an id': _health(b''),
}


@behave.given(
    'an endpoint with a stream, whose probes are answered {answer_name}'
)
def endpoint_with_probe_answer(context, answer_name):
    health = PROBE_ANSWERS[answer_name]
    context.has_limit = False
    context.probed = [_SendingEndpoint(['hang'], health=health)]


@behave.given('an endpoint with a stream and one without any')
def endpoints_with_and_without(context):
    context.has_limit = False
    context.probed = [_SendingEndpoint(['hang']) for _ in range(2)]


@behave.given(
    'an endpoint with a stream that asked for fewer requests and one without '
    'any'
)
def limited_endpoint(context):
    endpoints_with_and_without(context)
    context.has_limit = True


@behave.when('it is probed for {span_s:g} s while the store is {state}')
@behave.when('they are probed for {span_s:g} s while the store {state}')
def probe_for(context, span_s, state):
    async def probe():
        record = liveness.LivenessRecord()
        for each in context.probed:
            each.probe_count = 0
            await each.start()
        listed = [
            _listed(each.address, f'e-{number}')
            for number, each in enumerate(context.probed, start=1)
        ]
        unprobed = {'e-1'} if context.has_limit else ()
        async with _probed(record, listed, state != 'answers', unprobed):
            await asyncio.sleep(span_s)
        context.seen_s = record.last_seen_s(listed[0])
        for each in context.probed:
            await each.stop()

    asyncio.run(probe())


@behave.then('nothing shows that it lived')
def never_seen(context):
    assert context.seen_s == 0.0, context.seen_s


@behave.then('{least:d} to {most:d} and {other:d} probes arrive')
def probes_between(context, least, most, other):
    first, second = (each.probe_count for each in context.probed)
    assert least <= first <= most, first
    assert second == other, second


@behave.then('{first:d} and {second:d} probes arrive')
def probes_arrive(context, first, second):
    found = [each.probe_count for each in context.probed]
    assert found == [first, second], found


@behave.given('an endpoint that answers 421')
def endpoint_misdirected(context):
    context.endpoint = scripted_endpoint.ScriptedEndpoint(
        [scripted_endpoint.MISDIRECTED]
    )


@behave.when('it is called')
def call_endpoint(context):
    async def call():
        await context.endpoint.start()
        site = forwarding_site.ForwardingSite([context.endpoint])
        listed = site.state.registry.get('e0')
        await site.call(forwarding_site.route(routes.RequestKind.ONCE))
        assert context.endpoint.heads
        context.seen_s = site.context.liveness.last_seen_s(listed)
        await context.endpoint.stop()

    asyncio.run(call())


@behave.given('an endpoint that answers the second request only')
def endpoint_of_second_request(context):
    context.endpoint = scripted_endpoint.ScriptedEndpoint(
        ['close'], [0.3, scripted_endpoint.answer()]
    )


@behave.when('it is sent two requests')
def two_requests(context):
    async def send():
        await context.endpoint.start()
        record = liveness.LivenessRecord()
        listed = _listed(context.endpoint.address)
        unanswered = _exchange(listed, record)
        with contextlib.suppress(channel.ChannelBroken):
            await _open(unanswered, 'req-1')
        context.unanswered_seen_s = record.last_seen_s(listed)
        answered = _exchange(listed, record)
        context.sent_s = clock.since_boot_s()
        await _open(answered, 'req-2')
        context.seen_s = record.last_seen_s(listed)
        answered.abandon()
        await context.endpoint.stop()

    asyncio.run(send())


@behave.then('it was seen last when the second one was sent')
def seen_when_sent(context):
    assert context.unanswered_seen_s == 0.0, context.unanswered_seen_s
    late_s = context.seen_s - context.sent_s
    assert 0.0 <= late_s < 0.1, late_s
