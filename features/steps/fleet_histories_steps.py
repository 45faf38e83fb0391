"""Steps for random histories of configurations."""

from __future__ import annotations

import behave
from features.models import configuration_history


@behave.given(
    '{count:d} histories with an operator who raises the version each time'
)
def play_histories(context, count):
    context.without_newest = {}
    context.went_back = {}
    for seed in range(count):
        history = configuration_history.History(seed)
        context.without_newest[seed] = history.run()
        context.went_back[seed] = history.went_back


def _failed(results):
    return {seed: found for seed, found in results.items() if found}


@behave.then('no entry went back to an older configuration')
def none_went_back(context):
    assert not _failed(context.went_back), _failed(context.went_back)


@behave.then('all entries have the newest configuration at the end')
def all_have_newest(context):
    failed = _failed(context.without_newest)
    assert not failed, failed
