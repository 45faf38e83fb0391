"""Steps for sound calls that are made beside a flood."""

from __future__ import annotations

import behave


@behave.then('each sound call was answered within {limit_ms:d} ms')
def answered(context, limit_ms):
    taken_s = context.sound_calls.flood_s
    assert None not in taken_s, (taken_s.count(None), len(taken_s))
    assert max(taken_s) * 1000 <= limit_ms, (max(taken_s), len(taken_s))


@behave.then('at least {percent:d} % as many calls were made as without them')
def made(context, percent):
    beside, without = context.sound_calls.rates
    assert beside >= without * percent / 100, (beside, without)
