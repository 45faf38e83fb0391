"""Steps for odd numbers in headers and events."""

from __future__ import annotations

import math

import behave
from godwitvalve.forwarding import events
from godwitvalve.platform import headers
import hypothesis
from hypothesis import strategies

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
_NUMBERS = {
    'of 5000 digits': '9' * 5000,
    'of 400 digits': '9' * 400,
    'in superscript': '²',
    'below zero': '-1',
    'that is not finite': 'inf',
}
_FORMS = {
    'Token-Usage': '{0},{0}',
    'Server-Load': '{0},1,1',
    'Keep-Alive': 'timeout={0}',
}
_ANSWER_HEADERS = ('Server-Load', 'Keep-Alive', 'Server-Limit')
_CALLER_HEADERS = ('Last-Event-Id', 'Token-Usage', 'Deadline-Ms')


@behave.given('the header "{header}" of {sender} with the number {number}')
def odd_header(context, header, sender, number):
    value = _FORMS.get(header, '{0}').format(_NUMBERS[number])
    context.raw = [(header.encode(), value.encode('latin-1'))]
    context.is_answer = sender == 'an endpoint'


@behave.when('the headers are read')
def read_headers(context):
    context.facts = (
        headers.read_answer(200, context.raw)
        if context.is_answer
        else headers.read_caller(context.raw)
    )


@behave.then('the number counts as not stated')
def not_stated(context):
    expected = (
        headers.read_answer(200, [])
        if context.is_answer
        else headers.read_caller([])
    )
    assert context.facts == expected, context.facts


@behave.given('a stream of an endpoint with an event id of {count:d} digits')
def odd_event(context, count):
    context.content = b'id: ' + b'9' * count + b'\ndata: x\n\n'


@behave.when('the event arrives')
def event_arrives(context):
    fed = events.EventSplitter(0).feed(context.content)
    assert not fed.events, fed
    context.is_damaged = bool(fed.damage)


@behave.then('the stream counts as damaged')
def stream_damaged(context):
    assert context.is_damaged


_IDENTITIES = {
    'is in another alphabet': 'café',
    'has a space': 'i 1',
    'has 5000 characters': 'i' * 5000,
}


@behave.when('an endpoint states an id that {what}')
def odd_identity(context, what):
    value = _IDENTITIES[what].encode('latin-1')
    context.identity = headers.read_identity([(b'Instance-Id', value)])


@behave.then('its id counts as not stated')
def identity_not_stated(context):
    assert context.identity == ''


@behave.then('any headers of callers and endpoints can be read')
def any_headers(context):
    odd_numbers = strategies.one_of(
        strategies.sampled_from(list(_NUMBERS.values())),
        strategies.integers().map(str),
        strategies.floats().map(str),
    )
    values = strategies.one_of(
        strategies.binary(),
        strategies.text('0123456789.,+-_ eé²', max_size=12).map(
            lambda text: text.encode('latin-1')
        ),
        strategies.builds(
            lambda form, number: form.format(number).encode('latin-1'),
            strategies.sampled_from(['{0}', *_FORMS.values()]),
            odd_numbers,
        ),
    )
    names = strategies.sampled_from(
        [each.encode() for each in (*_ANSWER_HEADERS, *_CALLER_HEADERS)]
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.tuples(names, values)))
    def check(raw):
        caller = headers.read_caller(raw)
        assert caller.wait_ms is None or 0 <= caller.wait_ms < 1e9
        assert math.isfinite(caller.prompt_tokens * 1.5)
        answer = headers.read_answer(200, raw)
        if answer.load is not None:
            stated = [each for each in answer.load if each is not None]
            assert math.isfinite(sum(stated) * 1.5)

    check()
