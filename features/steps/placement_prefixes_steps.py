"""Steps of features/placement/prefixes.feature."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from unittest import mock

from aioprometheus import renderer
import behave
from features.doubles import entry_settings
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.models import prefix_replay
from features.steps import forwarding_steps
from godwitvalve.admission import tables
from godwitvalve.fleet import routes
from godwitvalve.forwarding import cached_prompts
from godwitvalve.forwarding import streams
from godwitvalve.ingress import process
from godwitvalve.placement import prefixes
from godwitvalve.platform import headers
import msgspec

CAPACITY_TOKENS = 88_000
_NAMES = (f'p{number}' for number in itertools.count())


def _segments(text):
    pairs = (each.split() for each in text.split(', '))
    return tuple(
        headers.PromptSegment(name, int(size)) for name, size in pairs
    )


def _demand(text):
    return prefixes.Demand('summaries', _segments(text), CAPACITY_TOKENS)


@behave.when('a caller states the segments "{header}"')
def step_header(context, header):
    raw = [(b'Prompt-Prefix', header.encode())]
    context.facts = headers.read_caller(raw)


@behave.then(
    'the session is "{session}" and the prompt has the segments "{segments}"'
)
def step_segments(context, session, segments):
    expected = () if segments == 'none' else _segments(segments)
    assert context.facts.session == session, context.facts
    assert context.facts.segments == expected, context.facts


@behave.given('the segments "{text}" were read at "{name}"')
def step_read(context, text, name):
    context.now_s = 100.0
    context.prefixes = prefixes.PrefixTable()
    context.prefixes.record(name, _demand(text), 0, context.now_s)


@behave.given('the segments "{text}" were read and answered at "{name}"')
def step_answered(context, text, name):
    step_read(context, text, name)
    context.prefixes.record(name, _demand(text), 1000, context.now_s)


@behave.when('{count:d} streams of {size:d} tokens are placed at "{name}"')
def step_place(context, count, size, name):
    for other in itertools.islice(_NAMES, count):
        demand = _demand(f'{other} {size}')
        context.prefixes.record(name, demand, 0, context.now_s)


@behave.when(
    'other entries report the session "{session}" at "{name}" {count:d} times'
)
def step_report(context, session, name, count):
    for _ in range(count):
        context.now_s += 0.25
        context.prefixes.merge({session: name}, context.now_s)


@behave.when('other entries report {count:d} sessions at "{name}"')
def step_report_many(context, count, name):
    for other in itertools.islice(_NAMES, count):
        context.prefixes.merge({other: name}, context.now_s)


@behave.when('"{name}" is removed')
def step_remove(context, name):
    context.prefixes.forget(name)


@behave.when('{span:d} s without a use pass')
def step_pass(context, span):
    context.now_s += span
    context.prefixes.expire(context.now_s)


@behave.then('"{name}" has {held:d} tokens of "{text}"')
def step_held(context, name, held, text):
    seen = context.prefixes.held_tokens(name, _demand(text), context.now_s)
    assert seen == held, seen


@behave.then('"{name}" has {total:d} tokens of "{text}" but for the last')
def step_held_before(context, name, total, text):
    step_held(context, name, total - _segments(text)[-1].tokens, text)


@behave.then('the table has {count:d} segments')
def step_count(context, count):
    assert len(context.prefixes) == count, len(context.prefixes)


@behave.given("an endpoint that has read a stream's prompt and states {pace}")
def step_endpoint(context, pace):
    context.has_pace = pace == 'a pace'


@behave.when('the endpoint with the prompt {state}')
def step_state(context, state):
    async def run():
        site = forwarding_site.ForwardingSite([])
        found = site.context
        if context.has_pace:
            found.paces.record(forwarding_site.SERVICE, 'e0', 1.0, 0.0)
        route = forwarding_site.route(routes.RequestKind.STREAM)
        routed = site.routed_request(route)
        facts = routed.request.facts._replace(
            session='own', segments=_segments('sh 200, own 8000')
        )
        routed = routed._replace(request=routed.request._replace(facts=facts))
        now_s = asyncio.get_running_loop().time()
        found.prefixes.record('e0', _demand('sh 200, own 8000'), 0, now_s)
        endpoint = prefix_replay.PrefixReplay(1, 'older', 1.0).endpoint('e0')
        if state == 'runs 8 streams':
            site.tracker.stats('e0').streams = endpoint.slots
        if state == 'declined a stream':
            site.tracker.record_full('e0', now_s)
        savings = cached_prompts.CachedPrompt(found, routed).savings()
        context.saving = savings(endpoint) if savings else None

    asyncio.run(run())


@behave.then('its saving is {saving}')
def step_saving(context, saving):
    expected = None if saving == 'none' else float(saving)
    assert context.saving == expected, context.saving


@behave.when('a stream with the segments "{text}" is forwarded twice')
def step_forward(context, text):
    async def run():
        script = forwarding_steps.stream_script('head 1 end')
        endpoint = scripted_endpoint.ScriptedEndpoint(script, script)
        site = forwarding_site.ForwardingSite([await endpoint.start()])
        context.read = mock.Mock(return_value={})
        site.context = dataclasses.replace(
            site.context, remote_placements=context.read
        )
        site.context.paces.record(forwarding_site.SERVICE, 'e0', 1.0, 0.0)
        route = forwarding_site.route(routes.RequestKind.STREAM)
        context.cached = []
        for _ in range(2):
            routed = site.routed_request(route)
            facts = routed.request.facts._replace(segments=_segments(text))
            request = routed.request._replace(facts=facts)
            forwarder = streams.StreamForwarder(
                site.context,
                routed._replace(request=request),
                forwarding_site.Recorder(lambda: None),
            )
            await forwarder.run()
            context.cached.append(forwarder.prompt.cached_tokens)
        await endpoint.stop()
        context.metrics, _ = renderer.render(
            site.context.counters.registry, ['text/plain']
        )

    # Longer than the streams take on a busy machine.
    with mock.patch.object(tables, 'SUM_VALID_S', 60.0):
        asyncio.run(run())


@behave.given('an entry whose endpoints state {pace}')
def step_entry(context, pace):
    async def build():
        settings = entry_settings.without_store('127.0.7.8')
        return process.FleetEntry(settings)

    context.entry = asyncio.run(build())
    if pace == 'a pace':
        context.entry._context.paces.record('summaries', 'e0', 1.0, 0.0)


@behave.when('it merges a record with a session')
def step_merge(context):
    record = context.entry._build_record(1)
    record = msgspec.structs.replace(record, sessions={'own': 'e0'})
    context.entry._merge_record(record, 0.0)
    context.prefixes = context.entry._context.prefixes


@behave.then('the reports of other entries were added up once')
def step_added_up(context):
    assert context.read.call_count == 1, context.read.call_count


@behave.then('the first had {first:d} tokens cached and the second {second:d}')
def step_cached(context, first, second):
    assert context.cached == [first, second], context.cached


@behave.then('the counter of cached tokens is {count:d}')
def step_counter(context, count):
    lines = context.metrics.decode().splitlines()
    assert any(
        line.startswith('godwitvalve_cached_prompt_tokens_total{')
        and line.endswith(f' {count}')
        for line in lines
    ), lines


@behave.when('{rate:d} sessions/s are replayed with the seeds 1 to 3')
def step_replay(context, rate):
    context.runs = {
        rule: [
            prefix_replay.PrefixReplay(seed, rule, rate).run()
            for seed in (1, 2, 3)
        ]
        for rule in ('older', 'always', 'weighed')
    }


def _worst_share(context, rule, part):
    return max(
        seen[part] / other[part]
        for seen, other in zip(context.runs['weighed'], context.runs[rule])
    )


@behave.then(
    'the first event comes after at most {part:g} of the time of the older '
    'rule'
)
def step_sooner(context, part):
    assert _worst_share(context, 'older', 0) <= part, context.runs


@behave.then('at most {part:g} of its tokens are read')
def step_fewer(context, part):
    assert _worst_share(context, 'older', 1) <= part, context.runs


@behave.then('at most {part:g} of the time when always going to the prefix')
def step_not_always(context, part):
    assert _worst_share(context, 'always', 0) <= part, context.runs
