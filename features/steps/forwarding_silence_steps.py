"""Steps for streams at endpoints that fall silent."""

from __future__ import annotations

import time

import behave
from features.doubles import forwarding_site
from features.models import silence_simulation
from godwitvalve.endpoint_limits import messages
from godwitvalve.endpoint_limits import statements
from godwitvalve.routing import retry_budget

SEEDS = (5, 11, 77)


def _runs(length_s, others, **settings):
    return [
        silence_simulation.SilenceSimulation(seed, others, **settings).run(
            length_s
        )
        for seed in SEEDS
    ]


@behave.when(
    'streams run for {length_s:d} s at endpoints that fall silent for '
    '{silence_s:g} s while the others are "{others}"'
)
def streams_run(context, length_s, silence_s, others):
    context.results = _runs(length_s, others, silence_s=silence_s)
    context.eager = _runs(length_s, others, silence_s=silence_s, is_eager=True)


@behave.when(
    'streams run for {length_s:d} s beside one endpoint that falls silent '
    'for {silence_s:g} s'
)
def streams_run_beside_one(context, length_s, silence_s):
    context.results = _runs(
        length_s, 'free', silence_s=silence_s, silent_count=1
    )


@behave.then('no stream is cut')
def none_cut(context):
    assert all(
        each.completed > 100 and not each.cut for each in context.results
    ), context.results


@behave.then('streams that leave at once are cut')
def eager_cut(context):
    assert all(each.cut for each in context.eager), context.eager


@behave.then('streams move within {limit_s:g} s of silence')
def move_within(context, limit_s):
    for result in context.results:
        assert result.moved > 5, context.results
        assert result.longest_wait_to_move_s <= limit_s, context.results


def _deny_permits(site, wait_s):
    endpoint = site.state.registry.get('e1')
    limiter = site.context.limiter
    now_s = time.monotonic()
    limiter.observe(endpoint, statements.Limited(100.0), now_s)
    until_s = now_s + wait_s

    def decide(question, now_s):
        wait_ms = max(int((until_s - now_s) * 1000), 0)
        return messages.PermitAnswer(question.number, wait_ms)

    limiter.decide = decide


@behave.given('the successor has {obstacle}')
def successor_has(context, obstacle):
    def prepare(site):
        stats = site.tracker.stats('e1')
        match obstacle:
            case 'no retries':
                site.context.budget.resize(0.0, 0.0)
            case 'no permit':
                _deny_permits(site, 100.0)
            case 'a permit after 0.5 s':
                _deny_permits(site, 0.5)
            case 'no free slot':
                stats.streams = 8
            case 'been declared lost':
                stats.down_until_s = time.monotonic() + 100.0
            case _:
                raise ValueError(obstacle)

    context.prepare = prepare


@behave.given(
    'endpoint 2 is full and endpoint 1 counts as replaced while the stream '
    'runs'
)
def replaced_during_stream(context):
    def mark(site):
        endpoint = site.state.registry.get('e0')
        site.state.registry.mark_replaced('e0', endpoint.started_wall_ms)

    def prepare(site):
        site.tracker.stats('e1').streams = 8
        site.on_started.append(mark)

    context.prepare = prepare


@behave.then('the retry budget is complete')
def budget_complete(context):
    balance = context.site.context.budget.balance(forwarding_site.SERVICE)
    assert balance == retry_budget.BURST_RETRIES, balance


@behave.then('endpoint {number:d} does not count as lost')
def not_lost(context, number):
    now_s = time.monotonic()
    stats = context.site.tracker.stats(f'e{number - 1}')
    assert stats.down_until_s < now_s, stats
    lost = context.site.tracker.recently_lost(now_s)
    assert f'e{number - 1}' not in lost, lost
