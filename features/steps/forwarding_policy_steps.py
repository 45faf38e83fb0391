"""Steps for the decision after each attempt."""

from __future__ import annotations

import random

import behave
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.platform import headers
import hypothesis
from hypothesis import strategies

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
_FACTS = headers.read_answer(200, ((b'Request-Id', b'r'),))


def answered(status):
    return exchange.Answered(exchange.AnswerHead(status, (), _FACTS, 0.0), b'')


OUTCOMES = strategies.one_of(
    strategies.just(exchange.NotSent('refused')),
    strategies.just(exchange.Declined(503, None)),
    strategies.just(exchange.Lost('reset')),
    strategies.sampled_from([200, 404, 500, 503]).map(answered),
)
HISTORIES = strategies.lists(OUTCOMES, min_size=8, max_size=8)


def _may_have_run(outcome):
    return isinstance(outcome, exchange.Lost | exchange.Answered)


def decide(outcomes, is_repeatable, max_runs):
    """Return the reply and the outcomes up to the one that ended it."""
    runs = 0
    fallback = None
    for number, outcome in enumerate(outcomes, 1):
        runs += _may_have_run(outcome)
        if isinstance(outcome, exchange.Answered) and not fallback:
            fallback = outcome if outcome.head.status >= 500 else None
        step = policy.after_attempt(
            outcome,
            policy.Progress(
                is_repeatable, number, runs, max_runs, True, True, fallback
            ),
        )
        if isinstance(step, policy.End):
            return step.reply, outcomes[:number]
    raise AssertionError('the policy never ends')


@behave.then(
    'no generated history ends refused after an attempt that may have run'
)
def refusals_are_true(context):
    @SETTINGS
    @hypothesis.given(HISTORIES, strategies.booleans())
    def check(outcomes, is_repeatable):
        reply, used = decide(outcomes, is_repeatable, 3)
        if isinstance(reply, replies.Refusal):
            assert not any(map(_may_have_run, used)), used

    check()


@behave.then(
    'no generated history retries a non-repeatable call that may have run'
)
def non_repeatable_calls_run_once(context):
    @SETTINGS
    @hypothesis.given(HISTORIES)
    def check(outcomes):
        _, used = decide(outcomes, False, 3)
        assert not any(map(_may_have_run, used[:-1])), used

    check()


@behave.then('no generated history exceeds the endpoints of its route')
def runs_are_bounded(context):
    @SETTINGS
    @hypothesis.given(HISTORIES, strategies.integers(1, 5))
    def check(outcomes, max_runs):
        _, used = decide(outcomes, True, max_runs)
        assert sum(map(_may_have_run, used)) <= max_runs

    check()


@behave.when('{count:d} lookups meet endpoints that fail {percent:d} in 100')
def lookups(context, count, percent):
    rng = random.Random(7)
    context.failed_lookups = context.failed_without_retries = 0
    for _ in range(count):
        outcomes = [
            answered(500 if rng.random() < percent / 100 else 200)
            for _ in range(8)
        ]
        reply, _ = decide(outcomes, True, 2)
        context.failed_lookups += reply.head.status >= 500
        context.failed_without_retries += outcomes[0].head.status >= 500
    context.lookups = count


@behave.then('at most {percent:d} in 100 lookups fail')
def few_fail(context, percent):
    assert context.failed_lookups <= context.lookups * percent / 100, (
        context.failed_lookups
    )


@behave.then('a policy without retries fails at least {percent:d} in 100')
def fails_without_retries(context, percent):
    assert context.failed_without_retries >= context.lookups * percent / 100
