"""Steps for the lifecycle of an entry instance."""

from __future__ import annotations

import behave
from godwitvalve.lifecycle import lifecycle


def _build(context, peer_answer_lifetime_s=0.0):
    context.instance = lifecycle.Lifecycle(peer_answer_lifetime_s)
    context.states = []
    context.instance.on_change(context.states.append)


@behave.given('a starting instance')
def starting(context):
    _build(context)


@behave.given('a serving instance')
def serving(context):
    _build(context)
    context.instance.begin_serving()
    assert context.instance.is_advertised()
    assert context.instance.accepts_requests(0.0)


@behave.given(
    'a serving instance that other entries may advertise for {time_s:d} s'
)
def serving_advertised_by_others(context, time_s):
    _build(context, float(time_s))
    context.instance.begin_serving()


@behave.when('an address answer valid until {until_s:d} s names the instance')
def answer_given(context, until_s):
    context.instance.record_address_answer(float(until_s))


@behave.when('the instance begins to drain at {now_s:d} s')
def begins_to_drain(context, now_s):
    context.instance.begin_drain(float(now_s))


@behave.when('the instance becomes ready')
def becomes_ready(context):
    context.instance.begin_serving()


@behave.when('{count:d} requests of the instance start')
def requests_start(context, count):
    for _ in range(count):
        context.instance.request_started()


@behave.when('{count:d} requests of the instance finish')
def requests_finish(context, count):
    for _ in range(count):
        context.instance.request_finished()


@behave.then(
    'the instance is not advertised and accepts requests at {now_s:d} s'
)
def accepts(context, now_s):
    assert not context.instance.is_advertised()
    assert context.instance.accepts_requests(float(now_s))


@behave.then(
    'the instance is not advertised and rejects requests at {now_s:d} s'
)
def rejects(context, now_s):
    assert not context.instance.is_advertised()
    assert not context.instance.accepts_requests(float(now_s))


@behave.then('the instance cannot stop at {now_s:d} s')
def cannot_stop(context, now_s):
    assert not context.instance.is_drained(float(now_s))
    assert not context.instance.stop(float(now_s))


@behave.then('the instance stops at {now_s:d} s')
def stops(context, now_s):
    assert context.instance.is_drained(float(now_s))
    assert context.instance.stop(float(now_s))
    assert context.instance.state == lifecycle.STOPPED


@behave.then('the listeners got "{states}"')
def listeners_got(context, states):
    assert context.states == states.split(', '), context.states
