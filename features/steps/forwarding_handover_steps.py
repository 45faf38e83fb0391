"""Steps for streams that are offered to a second endpoint."""

from __future__ import annotations

from unittest import mock

import behave
from features.doubles import forwarding_site
from features.models import handover_replay
from features.steps import forwarding_steps
from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import handover
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import silence
from godwitvalve.placement import tracker

SEED = 11
LOOK_S = 10.0
STATES = {
    'connecting': handover.Connecting(),
    'sent': handover.Sent(0.25),
    'accepted': handover.Accepted(),
    'failed': handover.Failed(),
}


@behave.given('the time with two endpoints is limited to {limit_s:g} s')
def overlap_limited(context, limit_s):
    patch = mock.patch.object(handover, 'OVERLAP_S', limit_s)
    patch.start()
    context.cleanups.append(patch.stop)


@behave.given('the successor refuses connections')
def successor_refuses(context):
    context.prepare = lambda site: site.scripted[1].refuse()


@behave.given('the caller takes {delay_s:g} s for event 2')
def slow_caller(context, delay_s):
    def prepare(site):
        site.send_delays_s = (0.0, delay_s)

    context.prepare = prepare


@behave.when('the caller of an attempt leaves as its first event is passed on')
def caller_leaves(context):
    endpoint = endpoints.FleetEndpoint(
        'e0', 's', 'h:1', 'fd', 'v', 8, False, 1
    )
    found = attempts.StreamAttempt(endpoint, None, '', 0.0)
    context.tracker = tracker.EndpointTracker()
    counted = attempts.CountedAttempt(
        mock.Mock(endpoint_tracker=context.tracker), found
    )
    with counted:
        # As for each first event, before it is passed on.
        found.first_event_s = 1.0
        context.tracker.stats('e0').starting -= 1


@behave.then('no attempt seems to begin at its endpoint')
def none_begins(context):
    stats = context.tracker.stats('e0')
    assert (stats.starting, stats.streams) == (0, 0), stats


@behave.then('no attempt is counted any more')
def none_counted(context):
    # The set-up makes the second endpoint look busy.
    expected = forwarding_site.INITIAL_STREAMS
    for number in range(len(context.scripted)):
        stats = context.site.tracker.stats(f'e{number}')
        assert stats.streams == number * expected, (number, stats)
        assert not stats.starting, (number, stats)
        assert not stats.backups, (number, stats)


@behave.then(
    'endpoint {left:d} was left within {limit_s:g} s after endpoint '
    '{taker:d} had the request'
)
def left_after_request(context, left, limit_s, taker):
    (closed_s,) = context.scripted[left - 1].closed_s
    received_s = context.scripted[taker - 1].received_s[0]
    assert closed_s - received_s <= limit_s, closed_s - received_s


@behave.then(
    'endpoint {left:d} was left within {limit_s:g} s after event {event:d} '
    'of endpoint {sender:d}'
)
def left_after_event(context, left, limit_s, event, sender):
    assert event == 2, event
    closed_s = context.scripted[left - 1].closed_s
    # Event 2 follows a silence.
    sent_s = (
        context.scripted[sender - 1].received_s[0] + forwarding_steps.SILENCE_S
    )
    assert closed_s and closed_s[0] - sent_s <= limit_s, (closed_s, sent_s)
    assert closed_s[0] >= sent_s, (closed_s, sent_s)


@behave.then('its caller gets the event {number:d} and the reason "{reason}"')
def gets_reason(context, number, reason):
    expected = replies.Streamed(False, replies.IncompleteReason(reason))
    assert context.reply == expected, context.reply
    content = forwarding_steps.events_between(number, number)
    assert context.sink.content == content, context.sink.content


@behave.then(
    'endpoint {number:d} was asked for a copy in these requests: "{counts}"'
)
def asked_for_copy(context, number, counts):
    heads = context.scripted[number - 1].heads
    found = ' '.join(str(head.count('kv-from: ')) for head in heads)
    assert found == counts, heads


@behave.then(
    'endpoint 1 received one request and endpoint 2 at most {limit:d}'
)
def received_at_most(context, limit):
    first, second = (len(each.heads) for each in context.scripted)
    assert first == 1, first
    assert 1 <= second <= limit, second


def _endpoint(number):
    return endpoints.FleetEndpoint(
        f'e{number}', 's', f'127.0.0.1:{number}', 'a', 'v', 4, False, 1
    )


@behave.given('endpoints in the states "{states}" beside a silent one')
def endpoints_in_states(context, states):
    context.tracker = tracker.EndpointTracker()
    context.endpoints = [_endpoint(0)]
    for number, state in enumerate(states.split(), 1):
        context.endpoints.append(_endpoint(number))
        stats = context.tracker.stats(f'e{number}')
        match state:
            case 'full':
                stats.full_until_s = LOOK_S + 1.0
            case 'lost':
                stats.down_until_s = LOOK_S + 1.0
            case 'taken':
                stats.streams = 4
            case 'room':
                pass
            case _:
                raise ValueError(state)


@behave.when(
    'a stream that may ask full endpoints from {from_s:g} s on looks at 10 s'
)
def stream_looks(context, from_s):
    context.successors = silence.successors(
        context.endpoints, 'e0', context.tracker, {}, LOOK_S, from_s
    )


@behave.then('it may go on at the endpoints "{numbers}"')
@behave.then('it may go on at the endpoints ""')
def may_go_on_at(context, numbers=''):
    found = ' '.join(each.endpoint_id[1:] for each in context.successors)
    assert found == numbers, found


@behave.given('a successor in the state "{state}" of a stream')
def successor_in_state(context, state):
    context.successor = STATES[state]


@behave.when('the silent endpoint {does} at {now_s:g} s of 0.25 s with both')
def silent_endpoint_does(context, does, now_s):
    has_new_event = {'stays silent': False, 'sends an event': True}[does]
    context.step = handover.decide(context.successor, has_new_event, now_s)


@behave.then('the stream is to {step}')
def stream_is_to(context, step):
    assert context.step is handover.Step[step.upper()], context.step


@behave.when('{count:d} handovers with events at random times are replayed')
def handovers_replayed(context, count):
    context.outcomes = handover_replay.replays(count, SEED)


@behave.then('each stream goes on at one endpoint')
def each_goes_on(context):
    steps = {each.step for each in context.outcomes}
    assert steps == {handover.Step.STAY, handover.Step.MOVE}, steps


@behave.then(
    'no silent endpoint keeps a request for over {limit_s:g} s beside a '
    'successor'
)
def overlap_bounded(context, limit_s):
    longest = max(context.outcomes, key=lambda each: each.overlap_s)
    assert 0.2 < longest.overlap_s <= limit_s, longest


@behave.then('no stream goes on at a successor that failed')
def none_at_failed(context):
    wrong = [
        each
        for each in context.outcomes
        if each.step is handover.Step.MOVE
        and not each.offer.is_accepted
        and each.decided_s >= each.offer.answered_s
    ]
    assert not wrong, wrong


@behave.then('a stream whose silent endpoint sent first stays there')
def first_event_stays(context):
    first = [
        each
        for each in context.outcomes
        if each.offer.event_s < min(each.offer.answered_s, handover.OVERLAP_S)
    ]
    assert len(first) > 100, len(first)
    assert all(each.step is handover.Step.STAY for each in first), first
