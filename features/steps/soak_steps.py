"""Steps for short runs of the soak test."""

from __future__ import annotations

import asyncio
import random

import behave
from standins.soak import run


@behave.when('the soak runs seed {seed:d} for {seconds:d} s')
def run_seed(context, seed, seconds):
    context.seed = seed
    context.violations = asyncio.run(run.soak(seed, seconds))


@behave.when('the soak runs a fresh seed for {seconds:d} s')
def run_fresh_seed(context, seconds):
    run_seed(context, random.SystemRandom().randrange(1, 10**6), seconds)


@behave.then('no guarantee was violated')
def no_violation(context):
    assert not context.violations, (context.seed, context.violations)


@behave.when(
    'the soak runs seed {seed:d} with returns of the store for {seconds:d} s'
)
def run_seed_with_restores(context, seed, seconds):
    context.seed = seed
    context.violations = asyncio.run(run.soak(seed, seconds, True))


@behave.when(
    'the soak runs a fresh seed with returns of the store for {seconds:d} s'
)
def run_fresh_seed_with_restores(context, seconds):
    seed = random.SystemRandom().randrange(1, 10**6)
    run_seed_with_restores(context, seed, seconds)
