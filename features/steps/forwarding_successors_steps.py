"""Steps for the search of restarted endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import time

import behave
from features.doubles import scripted_endpoint
from godwitvalve import clock
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import arrivals
from godwitvalve.forwarding import channel
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import pool
from godwitvalve.forwarding import successors
from godwitvalve.parsing import throttle
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


class _SendingEndpoint(scripted_endpoint.ScriptedEndpoint):
    """Notes when it has sent a script and holds up the event loop then."""

    def __init__(self, script, hold_s=0.0):
        super().__init__(script)
        self._hold_s = hold_s
        self.sent_s = 0.0

    async def _play(self, *arguments):
        is_kept = await super()._play(*arguments)
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


@contextlib.asynccontextmanager
async def _arrivals_bounded():
    """Bound arrivals for longer than the bound takes to hold."""
    bounding = asyncio.create_task(arrivals.PROCESS.run())
    await asyncio.sleep(3 * arrivals.POLL_PERIOD_S)
    try:
        yield
    finally:
        bounding.cancel()


def _exchange(address):
    endpoint = endpoints.FleetEndpoint(
        'e-1', 'summaries', address, 'fd-0', 'v1', 8, False, 1
    )
    channels = pool.ChannelPool(
        message_memory.MessageMemory(MEMORY_BYTES), throttle.ParsingThrottle()
    )
    return exchange.Exchange(endpoint, channels)


async def _open(sent, request_id):
    facts = headers.CallerFacts(request_id, None, '', 0, 0, 0, '')
    raw = ((b'Host', b'h'), (b'Request-Id', request_id.encode()))
    request = exchange.CallerRequest('POST', '/p/x', raw, b'body', facts)
    return await sent.open(request, headers.SendFacts('e-1', 5000, ''))


@behave.when('its stream is read to its end')
def read_stream(context):
    async def read():
        await context.endpoint.start()
        sent = _exchange(context.endpoint.address)
        async with _arrivals_bounded():
            await _open(sent, 'req-1')
            await asyncio.sleep(context.read_after_s)
            assert not context.read_after_s or context.endpoint.sent_s
            with contextlib.suppress(channel.ChannelBroken):
                async for _ in sent.chunks():
                    pass
        context.seen_s = sent.last_seen_s
        await context.endpoint.stop()

    asyncio.run(read())


@behave.then('it was seen last at most {limit_s:g} s after that sending')
def seen_not_after(context, limit_s):
    after_s = context.seen_s - context.endpoint.sent_s
    assert after_s <= limit_s, after_s


@behave.then('it was seen last at most {limit_s:g} s before that sending')
def seen_not_before(context, limit_s):
    before_s = context.endpoint.sent_s - context.seen_s
    assert 0.0 <= before_s <= limit_s, before_s


@behave.given('an endpoint that answers the second request only')
def endpoint_of_second_request(context):
    context.endpoint = scripted_endpoint.ScriptedEndpoint(
        ['close'], [0.3, scripted_endpoint.answer()]
    )


@behave.when('it is sent two requests')
def two_requests(context):
    async def send():
        await context.endpoint.start()
        unanswered = _exchange(context.endpoint.address)
        with contextlib.suppress(channel.ChannelBroken):
            await _open(unanswered, 'req-1')
        context.unanswered_seen_s = unanswered.last_seen_s
        answered = _exchange(context.endpoint.address)
        context.sent_s = clock.since_boot_s()
        await _open(answered, 'req-2')
        context.seen_s = answered.last_seen_s
        answered.abandon()
        await context.endpoint.stop()

    asyncio.run(send())


@behave.then('it was seen last when the second one was sent')
def seen_when_sent(context):
    assert context.unanswered_seen_s == 0.0, context.unanswered_seen_s
    late_s = context.seen_s - context.sent_s
    assert 0.0 <= late_s < 0.1, late_s
