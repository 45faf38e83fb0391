"""Steps for real endpoints that are killed by parts of prompts."""

from __future__ import annotations

import asyncio
import collections

import behave
from features.models import prompt_traffic
from standins.fleet import site as fleet_site

from features.steps import ingress_steps

SEED = 7
RATE = 30
EVENTS = 10
PROMPT_MS = 250


@behave.given(
    'a fleet with {entries:d} entries and {endpoints:d} model endpoints that '
    'a part of a prompt kills {stage}'
)
def fleet_that_is_killed(context, entries, endpoints, stage):
    ingress_steps.fleet_with(context, 0, 0, 0)
    context.endpoints = prompt_traffic.Endpoints(
        context.fleet,
        endpoints,
        [
            f'--events={EVENTS}',
            f'--prompt-ms={PROMPT_MS}',
            f'--deadly-part={prompt_traffic.DEADLY_PART}',
            f'--crash-stage={stage}',
        ],
    )
    context.entries = [f'entry-{number}' for number in range(entries)]
    for number, name in enumerate(context.entries):
        context.fleet.start_entry(name, f'fd-{number % 2}')
    for name in context.entries:
        fleet_site.wait_ready(context.fleet, name)


@behave.when(
    '{percent:d} of 100 prompts have that part from {from_s:g} s on, for '
    '{seconds:d} s'
)
def prompts_have_part(context, percent, from_s, seconds):
    context.traffic = prompt_traffic.Traffic(
        context.fleet, context.entries, SEED, percent / 100, from_s
    )
    asyncio.run(context.traffic.run(context.endpoints, RATE, seconds))
    context.runs = context.endpoints.runs()


def _summary(context):
    sent = collections.Counter(
        (each.is_deadly, each.status) for each in context.traffic.sent
    )
    refusals = [
        line
        for name in context.entries
        for line in context.fleet.log(name)
        if 'crashed' in line['message']
        or line.get('code') == 'PROMPT_QUARANTINED'
    ]
    return {
        'crashes': len(context.endpoints.crashes_s),
        'deadly runs': sum(each.is_deadly for each in context.runs),
        'outcomes': dict(sent),
        'log': refusals[:20],
    }


@behave.then(
    'at most {limit:d} of them reach endpoints later than 3 s after a fifth '
    'crash'
)
def at_most_reach(context, limit):
    summary = _summary(context)
    assert summary['crashes'], summary
    late = prompt_traffic.late_deadly_runs(
        context.runs, context.endpoints.crashes_s
    )
    assert len(late) <= limit, (len(late), summary)


@behave.then('half of the other prompts are answered after that')
def others_answered(context):
    late = prompt_traffic.late_sound(
        context.traffic.sent, context.endpoints.crashes_s
    )
    answered = sum(each.status == 200 for each in late)
    assert answered * 2 > len(late) > 0, (answered, len(late))
