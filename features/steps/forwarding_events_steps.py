"""Steps for the splitting of event streams."""

from __future__ import annotations

import behave
from godwitvalve.forwarding import events
import hypothesis
from hypothesis import strategies

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def _bytes(text):
    return text.replace('|', '\n').encode()


@behave.then(
    'generated splits of a stream of {count:d} events give {complete:d} '
    'complete events'
)
def any_split(context, count, complete):
    stream = b''.join(
        b'id: %d\r\ndata: token %d\r\n\r\n' % (number, number)
        for number in range(1, count + 1)
    )

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(stream)), max_size=20)
    )
    def check(splits):
        splitter = events.EventSplitter(0)
        edges = [0, *sorted(splits), len(stream)]
        found = [
            event
            for begin, end in zip(edges, edges[1:])
            for event in splitter.feed(stream[begin:end]).events
        ]
        assert [event.event_id for event in found] == [*range(1, complete + 1)]
        assert b''.join(event.content for event in found) == stream
        assert not splitter.has_partial

    check()


@behave.given('a splitter after event {last:d}')
def splitter_after(context, last):
    context.splitter = events.EventSplitter(last)
    context.returned = []


@behave.when('it reads the bytes "{text}"')
def reads(context, text):
    context.returned += context.splitter.feed(_bytes(text)).events


@behave.when('the attempt is lost and it reads "{text}"')
def reads_after_loss(context, text):
    context.splitter.discard_partial()
    context.returned += context.splitter.feed(_bytes(text)).events


DAMAGES = {
    'an event without an id': b'data: c\n\n',
    'event 4': b'id: 4\ndata: d\n\n',
    '1100 comments': b': open\n\n' * 1100,
    'an event of over 1 MB': b'id: 3\ndata: ' + bytes(1 << 20),
}


@behave.when('it reads the bytes "{text}" and then {damage}')
def reads_damage(context, text, damage):
    fed = context.splitter.feed(_bytes(text) + DAMAGES[damage])
    context.returned += fed.events
    context.damage = fed.damage


@behave.then('the stream is damaged: {reason}')
def stream_damaged(context, reason):
    assert context.damage == reason, context.damage


@behave.then('it returned the events "{numbers}"')
def returned(context, numbers):
    found = [event.event_id for event in context.returned]
    assert found == [int(each) for each in numbers.split(', ')], found


@behave.then('the bytes "{text}" damage the stream')
def damaged(context, text):
    fed = context.splitter.feed(_bytes(text))
    assert fed.damage and not fed.events, fed
