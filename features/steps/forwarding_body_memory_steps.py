"""Steps for the memory of request bodies."""

from __future__ import annotations

import asyncio
import hashlib
import itertools

import behave
from features.doubles import body_endpoint
from features.doubles import forwarding_site
from godwitvalve.fleet import routes
from godwitvalve.forwarding import body_memory
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import uploads
from godwitvalve.ingress import body_room

MB = 1024 * 1024
CALL = forwarding_site.route(routes.RequestKind.ONCE)
# Bytes of one body that arrive at a time.
ARRIVAL_BYTES = 65536
FIRST = 'first'


class _Callers:
    """Replays callers that send bodies at once to a memory.

    Time goes on in ms; in each, a caller that need not wait sends a part.
    """

    def __init__(self, memory, count, size, is_chunked):
        self._memory = memory
        self._size = size
        self._is_chunked = is_chunked
        self._waits_ms = dict.fromkeys(range(count), 0)
        self._read = dict.fromkeys(range(count), 0)
        self._reserved = dict.fromkeys(range(count), 0)
        self._waiting = set()
        self._left_ms = {}
        self.sent_on = []
        self.refused = []
        self.longest_wait_ms = 0
        self.peak_bytes = 0

    def _refuse(self, caller):
        self._memory.release(caller)
        self._waiting.discard(caller)
        del self._read[caller]
        self.refused.append(caller)

    def _ask(self, caller, size):
        def decide(has_room):
            self._waiting.discard(caller)
            if has_room:
                self._reserved[caller] = size
            else:
                self._refuse(caller)

        self._waiting.add(caller)
        match self._memory.ask(caller, size, decide):
            case body_memory.Answer.GRANTED:
                decide(True)
            case body_memory.Answer.REFUSED:
                decide(False)

    def _advance(self, caller):
        needed = self._size
        if self._is_chunked:
            needed = min(self._read[caller] + ARRIVAL_BYTES, self._size)
        if self._reserved[caller] < needed:
            self._ask(caller, needed)
        if caller not in self._read or caller in self._waiting:
            return
        self._read[caller] = min(
            self._read[caller] + ARRIVAL_BYTES, self._size
        )

    def play(self, work_ms):
        """Replay until each body was sent on or refused."""
        while self._read:
            for caller in list(self._read):
                if caller not in self._read:
                    continue
                if caller in self._waiting:
                    self._wait(caller)
                elif self._read[caller] < self._size:
                    self._advance(caller)
                else:
                    self._work(caller, work_ms)
                self.peak_bytes = max(
                    self.peak_bytes, self._memory.total_bytes
                )

    def _wait(self, caller):
        self._waits_ms[caller] += 1
        self.longest_wait_ms = max(
            self.longest_wait_ms, self._waits_ms[caller]
        )
        if self._waits_ms[caller] >= body_room.WAIT_LIMIT_S * 1000:
            self._refuse(caller)

    def _work(self, caller, work_ms):
        left_ms = self._left_ms.setdefault(caller, work_ms)
        self._left_ms[caller] = left_ms - 1
        if left_ms <= 0:
            self._memory.release(caller)
            del self._read[caller]
            self.sent_on.append(caller)


@behave.given('the memory for bodies of a machine of {memory_mb:d} MB')
def machine_memory(context, memory_mb):
    context.memory = message_memory.for_machine(memory_mb).bodies


@behave.when(
    '{count:d} callers send a body of {size:d} bytes {framing} at once'
)
def burst(context, count, size, framing):
    context.count = count
    context.callers = _Callers(
        context.memory, count, size, framing == 'in chunks'
    )


@behave.when('each body in memory is sent on after {work_ms:d} ms')
def sent_on_after(context, work_ms):
    context.callers.play(work_ms)


@behave.then('the bodies never took more than {limit_mb:g} MB')
def never_more(context, limit_mb):
    assert 0 < context.callers.peak_bytes <= limit_mb * MB, (
        context.callers.peak_bytes
    )
    assert context.memory.total_bytes == 0, context.memory.total_bytes


@behave.then(
    'each request was either sent on or refused within {limit_ms:d} ms of '
    'waiting'
)
def all_ended(context, limit_ms):
    ended = [*context.callers.sent_on, *context.callers.refused]
    assert sorted(ended) == list(range(context.count)), ended
    assert context.callers.longest_wait_ms <= limit_ms


@behave.then('at least {count:d} bodies were sent on')
def enough_sent_on(context, count):
    assert len(context.callers.sent_on) >= count, context.callers.sent_on


@behave.when(
    '{count:d} bodies grow by {step:d} bytes in turn up to {size:d} bytes'
)
def grow_in_turn(context, count, step, size):
    assert step == ARRIVAL_BYTES
    context.waiting_at_once = 0

    class Watched(_Callers):
        def _wait(self, caller):
            super()._wait(caller)
            context.waiting_at_once = max(
                context.waiting_at_once,
                sum(self._read[each] > 0 for each in self._waiting),
            )

    context.callers = Watched(context.memory, count, size, True)
    context.callers.play(30)


@behave.then('the oldest body is complete')
def oldest_complete(context):
    assert 0 in context.callers.sent_on, context.callers.sent_on


@behave.then('at most one body waited at a time')
def one_waited(context):
    assert context.waiting_at_once <= 1, context.waiting_at_once


@behave.given(
    'memory for bodies of {limit:d} bytes that one of {size:d} bytes uses'
)
def used_memory(context, limit, size):
    context.memory = body_memory.BodyMemory(limit)
    context.decided = []
    context.answers = {}
    answer = context.memory.ask(FIRST, size, context.decided.append)
    assert answer is body_memory.Answer.GRANTED


@behave.when('bodies of {sizes} bytes arrive')
def bodies_arrive(context, sizes):
    for size in map(int, sizes.replace(' and', ',').split(',')):
        context.answers[size] = context.memory.ask(
            size,
            size,
            lambda has_room, size=size: context.decided.append(
                (size, has_room)
            ),
        )


@behave.when('a body of {size:d} bytes arrives')
def body_arrives(context, size):
    bodies_arrive(context, str(size))


@behave.then('{count:d} bodies wait')
def bodies_wait(context, count):
    waiting = list(context.answers.values())
    assert waiting == [body_memory.Answer.WAIT] * count, waiting
    assert not context.decided, context.decided


@behave.when('the first body is sent on')
def first_ends(context):
    context.memory.release(FIRST)


@behave.when('the caller of the body of {size:d} bytes leaves')
def caller_leaves(context, size):
    context.memory.release(size)


@behave.then(
    'the bodies of {first:d} and {second:d} bytes got room, in this order'
)
def got_room_in_order(context, first, second):
    assert context.decided == [(first, True), (second, True)], context.decided


@behave.then('the body of {size:d} bytes got room at once')
def got_room_at_once(context, size):
    assert context.answers[size] is body_memory.Answer.GRANTED


@behave.then('the body of {size:d} bytes got room')
def got_room(context, size):
    assert context.decided == [(size, True)], context.decided


@behave.then('it is refused at once')
def refused_at_once(context):
    (answer,) = context.answers.values()
    assert answer is body_memory.Answer.REFUSED, answer


class _EarlyEndpoint:
    """Answers before it reads a body, and reads on 0.3 s later."""

    def __init__(self, reads_on):
        self._reads_on = reads_on
        self._server = None
        self.digests = []
        self.lost = []
        self.tasks = set()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=ARRIVAL_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        self._server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if not self._reads_on:
                    await asyncio.sleep(60)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
                    b'Request-Id: %s\r\nContent-Length: 4\r\n\r\nfine'
                    % body_endpoint.field(head, b'request-id')
                )
                await asyncio.sleep(0.3)
                length = int(body_endpoint.field(head, b'content-length'))
                body = await reader.readexactly(length)
                self.digests.append(hashlib.sha256(body).hexdigest())
        except (OSError, asyncio.IncompleteReadError) as error:
            partial = getattr(error, 'partial', b'')
            if partial or not isinstance(error, asyncio.IncompleteReadError):
                self.lost.append(error)
        finally:
            writer.close()


@behave.given(
    'an endpoint that answers {position:d} bytes into a body of {size:d} bytes'
)
def early_endpoint(context, position, size):
    context.endpoint = _EarlyEndpoint(True)
    context.size = size


@behave.given('an endpoint that does not read a body of {size:d} bytes')
def reading_nothing(context, size):
    context.endpoint = _EarlyEndpoint(False)
    context.size = size


def _body(size, number):
    return bytes([number]) * size


async def _call(site, size, number):
    routed = site.routed_request(CALL, 1.0, 0, f'r-{number}')
    request = routed.request._replace(body=_body(size, number))
    return await forwarding_site.calls.CallForwarder(
        site.context, routed._replace(request=request)
    ).run()


@behave.when('a call is made, and another one after its answer')
def two_calls(context):
    async def run():
        endpoint = context.endpoint
        await endpoint.start()
        site = forwarding_site.ForwardingSite([endpoint])
        context.replies = [
            await _call(site, context.size, number) for number in (1, 2)
        ]
        await asyncio.sleep(1.2)
        await endpoint.stop()

    asyncio.run(run())


@behave.then('both calls are answered within 1 s')
def both_answered(context):
    bodies = [bytes(reply.body) for reply in context.replies]
    assert bodies == [b'fine', b'fine'], context.replies


@behave.then('the endpoint gets each body whole')
def bodies_whole(context):
    expected = [
        hashlib.sha256(_body(context.size, number)).hexdigest()
        for number in (1, 2)
    ]
    assert sorted(context.endpoint.digests) == sorted(expected), (
        context.endpoint.digests,
        context.endpoint.lost,
    )


@behave.when('a call is sent to it')
def call_sent(context):
    async def run():
        endpoint = context.endpoint
        await endpoint.start()
        site = forwarding_site.ForwardingSite([endpoint])
        made = []
        acquire = site.context.pool.acquire

        async def watch(*arguments):
            made.append(await acquire(*arguments))
            return made[-1]

        site.context.pool.acquire = watch
        calling = asyncio.create_task(_call(site, context.size, 1))
        await asyncio.sleep(0.3)
        (channel,) = made
        context.buffered_bytes = channel._transport.get_write_buffer_size()
        await calling
        await endpoint.stop()

    asyncio.run(run())


@behave.then('its connection buffers at most {limit:d} bytes and the head')
def buffered(context, limit):
    assert 0 < context.buffered_bytes <= limit + 1024, context.buffered_bytes


@behave.when('the limit becomes {limit:d} bytes')
def limit_becomes(context, limit):
    context.memory.resize(limit)


@behave.given('free memory for bodies of {limit:d} bytes')
def free_memory(context, limit):
    context.memory = body_memory.BodyMemory(limit)


@behave.when('a body grows by {step:d} bytes at a time up to {size:d} bytes')
def body_grows(context, step, size):
    room = body_room.BodyRoom(context.memory, 'growing', 1.0)

    async def grow():
        for received in range(step, size, step):
            await room.grow(received, size * 10)
        await room.grow(size, size * 10)
        room.shrink(size)

    asyncio.run(grow())
    context.size = size


@behave.then('it is complete')
def is_complete(context):
    held = context.memory.total_bytes
    assert held == body_memory.counted(context.size), held


class _Answer:
    is_given_up = False

    def abort_for_memory(self):
        self.is_given_up = True


@behave.given(
    'answers of {size:d} bytes that {count:d} callers do not read, of at most '
    '{limit_mb:d} MB'
)
def unread_answers(context, size, count, limit_mb):
    context.memory = message_memory.MessageMemory(limit_mb * 1024 * 1024)
    context.unread = [_Answer() for _ in range(count)]
    for each in context.unread:
        context.memory.hold(each, size)


@behave.when('an answer of {size:d} bytes arrives')
def answer_arrives(context, size):
    context.read = _Answer()
    context.memory.hold(context.read, size)


@behave.then('the oldest of the unread answers is given up')
def oldest_given_up(context):
    assert not context.read.is_given_up
    states = [each.is_given_up for each in context.unread]
    assert states == [True, False, False, False], states


@behave.given('memory for bodies of {limit:d} bytes')
def memory_for_bodies(context, limit):
    context.memory = body_memory.BodyMemory(limit)
    context.uploads = {}


def _begin_upload(context, size, limit_s):
    holder = len(context.uploads)
    answer = context.memory.ask(holder, size, lambda has_room: None)
    assert answer is body_memory.Answer.GRANTED
    upload = context.uploads[holder] = uploads.Upload(size, limit_s, 0.0)
    context.memory.add_upload(holder, upload)
    return upload


@behave.given(
    '{count:d} uploads of {size:d} bytes each with {limit_s:d} s that send '
    '1 MB and stall at 1 s'
)
def uploads_that_stall(context, count, size, limit_s):
    for _ in range(count):
        _begin_upload(context, size, limit_s).record(MB, 1.0)


@behave.given(
    'an upload of {size:d} bytes with {limit_s:d} s that keeps its pace'
)
def upload_with_pace(context, size, limit_s):
    upload = _begin_upload(context, size, limit_s)
    for step in range(1, 14):
        upload.record(step * size // (10 * limit_s), step / 10)


@behave.when('a body of {size:d} bytes asks for room at {now_s:g} s')
def body_asks(context, size, now_s):
    context.decided = []
    answer = context.memory.ask(FIRST, size, context.decided.append)
    assert answer is body_memory.Answer.WAIT, answer
    context.memory.reclaim(now_s)


@behave.then('it waits, and gets room at {now_s:g} s')
def gets_room_later(context, now_s):
    assert context.decided == [], context.decided
    context.memory.reclaim(now_s)
    assert context.decided == [True], context.decided


@behave.then(
    'the stalled uploads hold what arrived, and the other its whole room'
)
def uploads_hold(context):
    *stalled, other = context.uploads.values()
    assert all(MB <= each.room_bytes < 1.1 * MB for each in stalled)
    assert other.room_bytes == 600_000, other.room_bytes


class _CountedUpload(uploads.Upload):
    judged = 0

    def is_stalled(self, now_s):
        self.judged += 1
        return False


@behave.given(
    '{count:d} uploads of {size:d} bytes each that count how often they are '
    'judged'
)
def counted_uploads(context, count, size):
    for holder in range(count):
        context.memory.ask(holder, size, lambda has_room: None)
        upload = _CountedUpload(size, 4.0, 0.0)
        context.uploads[holder] = upload
        context.memory.add_upload(holder, upload)


@behave.when('{count:d} bodies of {size:d} bytes wait for {wait_s:g} s')
def many_bodies_wait(context, count, size, wait_s):
    for number in range(count):
        answer = context.memory.ask(
            ('waits', number), size, lambda has_room: None
        )
        assert answer is body_memory.Answer.WAIT, answer
    steps = round(wait_s / body_memory.RECLAIM_PERIOD_S)
    for step, number in itertools.product(range(steps), range(count)):
        now_s = (step + number / count) * body_memory.RECLAIM_PERIOD_S
        context.memory.reclaim(now_s)


@behave.then('each upload is judged at most {count:d} times')
def judged_at_most(context, count):
    seen = max(each.judged for each in context.uploads.values())
    assert 1 <= seen <= count, seen


@behave.given(
    'the entry is frozen for {pause_s:g} s and then reads {size:d} bytes of it'
)
def entry_frozen(context, pause_s, size):
    [upload] = context.uploads.values()
    # The last read of an upload that keeps its pace was at 1.3 s.
    upload.record(upload.arrived_bytes + size, 1.3 + pause_s)


@behave.then('the upload holds its room of {size:d} bytes')
def upload_holds(context, size):
    [upload] = context.uploads.values()
    assert upload.room_bytes == size, upload.room_bytes


@behave.given(
    'an upload of {size:d} bytes with {limit_s:d} s that sends a byte each '
    '{pause_s:g} s'
)
def upload_of_bytes(context, size, limit_s, pause_s):
    context.pause_s = pause_s
    upload = _begin_upload(context, size, limit_s)
    for number in range(1, 5):
        upload.record(number, number * pause_s)


@behave.when(
    'a body of {size:d} bytes asks for room, for which it waits {wait_s:g} s'
)
def body_asks_and_waits(context, size, wait_s):
    [upload] = context.uploads.values()
    began_s = 4 * context.pause_s
    body_asks(context, size, began_s)
    next_s = began_s + context.pause_s
    for step in range(1, round(wait_s / body_memory.RECLAIM_PERIOD_S) + 1):
        now_s = began_s + step * body_memory.RECLAIM_PERIOD_S + 0.001
        if now_s >= next_s:
            upload.record(upload.arrived_bytes + 1, next_s)
            next_s += context.pause_s
        context.memory.reclaim(now_s)


@behave.then('the upload holds its room of {size:d} bytes and what arrived')
def upload_holds_rest(context, size):
    [upload] = context.uploads.values()
    assert size <= upload.room_bytes <= size + 10, upload.room_bytes
