"""Steps for short runs of the soak."""

from __future__ import annotations

import asyncio
import random

import behave
from standins.soak import run


@behave.when('the soak runs seed {seed:d} for {seconds:d} s')
def run_seed(context, seed, seconds):
    context.seed = seed
    context.broken = asyncio.run(run.soak(seed, seconds))


@behave.when('the soak runs a fresh seed for {seconds:d} s')
def run_fresh(context, seconds):
    run_seed(context, random.SystemRandom().randrange(1, 10**6), seconds)


@behave.then('no promise was broken')
def nothing_broken(context):
    assert not context.broken, (context.seed, context.broken)
