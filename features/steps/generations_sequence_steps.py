"""Steps for the token sequence and the rolling digest."""

from __future__ import annotations

import collections
import sys

import behave
from features.models import naive_sequence
import hypothesis
from hypothesis import strategies

from godwitvalve.engine import port
from godwitvalve.generations import digest
from godwitvalve.generations import sequence
from godwitvalve.generations import verdicts

REQUEST = 'r-1'
IDENTITY = sequence.Identity('v1', 'ad', 7)


def _tokens_event(attempt, first, letters, request=REQUEST):
    ids = tuple(ord(letter) for letter in letters)
    return port.Tokens(request, attempt, first, ids, tuple(letters))


@behave.given('the answer "{answer}" with at most {count:d} tokens')
def answer_known(context, answer, count):
    context.answer = answer.split()
    context.max_tokens = count
    context.given_prefix = ()


@behave.given(
    'the caller already has "{prefix}", which the events "{script}" continue'
)  # noqa: E501
def resumed_events(context, prefix, script):
    context.given_prefix = tuple(prefix.split())
    context.script = script.split('; ')


@behave.given('the events "{script}"')
def events_given(context, script):
    context.script = script.split('; ')


def _apply_script(tokens, script):
    """Return the delivered letters with their index, and the end."""
    delivered = []
    finished = None
    attempt = previous = 0
    for entry in script:
        match entry.split():
            case ['begin' | 'recompute' as kind]:
                previous = attempt
                attempt = tokens.begin_attempt(IDENTITY, kind == 'recompute')
                continue
            case ['start', first]:
                event = port.StreamStarted(
                    REQUEST, attempt, 's', *IDENTITY, int(first), 0
                )
            case ['mismatched', 'start', first]:
                event = port.StreamStarted(
                    REQUEST, attempt, 's', 'v2', 'ad', 7, int(first), 0
                )
            case ['end', count]:
                event = port.StreamEnded(
                    REQUEST, attempt, 'length', int(count)
                )
            case ['old', first, *letters]:
                event = _tokens_event(previous, int(first), letters)
            case ['other', first, *letters]:
                event = _tokens_event(attempt, int(first), letters, 'r-2')
            case [first, *letters]:
                event = _tokens_event(attempt, int(first), letters)
        verdict = tokens.accept(event)
        if isinstance(verdict, verdicts.Deliver):
            delivered.append((verdict.first_index, verdict.pieces))
        if isinstance(verdict, verdicts.Finished):
            finished = verdict
    return delivered, finished


def _is_correct(context, delivered, finished):
    """Return whether all delivered letters belong to the answer."""
    received = list(context.given_prefix)
    for first, letters in delivered:
        if first != len(received):
            return False
        received += letters
    if received != context.answer[: len(received)]:
        return False
    return finished is None or received == context.answer


def _new(context, kind):
    prefix = [ord(letter) for letter in context.given_prefix]
    return kind(
        REQUEST,
        context.max_tokens,
        0,
        len(prefix),
        digest.digest_of(prefix),
    )


@behave.when('the events go to the sequence')
def apply_real(context):
    context.tokens = _new(context, sequence.GenerationSequence)
    context.real = _apply_script(context.tokens, context.script)


@behave.when(
    'the events go to the sequence and to one without the "{guard}" check'
)
def apply_both(context, guard):
    apply_real(context)
    variant = _new(context, naive_sequence.VARIANTS[guard])
    context.variant = _apply_script(variant, context.script)


@behave.then('only the variant without the check delivers a wrong answer')
def only_variant_wrong(context):
    assert _is_correct(context, *context.real), context.real
    assert not _is_correct(context, *context.variant), context.variant


@behave.then('an attempt with another version, adapter or seed cannot begin')
def identity_pinned(context):
    for other in (('v2', 'ad', 7), ('v1', '', 7), ('v1', 'ad', 8)):
        try:
            context.tokens.begin_attempt(sequence.Identity(*other))
        except ValueError:
            continue
        raise AssertionError(other)


_INDEX = strategies.integers(0, 9)
_TOKENS = strategies.tuples(
    strategies.just('tokens'),
    strategies.sampled_from((0, 0, 0, 0, 1, 2)),
    strategies.sampled_from((0, 0, 0, 0, 0, -1, -2, -3, 1)),
    strategies.integers(1, 4),
    strategies.sampled_from((0, 0, 0, 0, 0, 1)),
)
_BEGIN = strategies.tuples(
    strategies.just('begin'),
    strategies.booleans(),
    strategies.sampled_from((True, True, True, True, False)),
)
_RARE = strategies.one_of(
    strategies.tuples(
        strategies.just('start'), strategies.integers(-1, 1), _INDEX
    ),
    strategies.tuples(
        strategies.just('end'),
        strategies.integers(0, 1),
        strategies.integers(-1, 1),
    ),
    strategies.just(('heartbeat',)),
)
# Most events carry tokens, so that histories make progress.
_EVENTS = strategies.integers(0, 9).flatmap(
    lambda kind: _TOKENS if kind < 6 else _BEGIN if kind < 8 else _RARE
)


class _History:
    """Turns random choices into events that are often valid."""

    def __init__(self, answer, position, knows_prefix):
        prefix = answer[:position]
        arguments = (
            REQUEST,
            len(answer),
            3,
            position,
            digest.digest_of(prefix),
            prefix if knows_prefix else (),
        )
        self.answer = answer
        self.real = sequence.GenerationSequence(*arguments)
        self.naive = naive_sequence.NaiveSequence(*arguments)
        self.numbers = []
        self.seen = collections.Counter()
        self.cursor = position
        self.start = position

    def apply(self, choice):
        match choice:
            case ('begin', from_start, is_announced):
                self.begin(from_start)
                if is_announced:
                    self.send_started(self.start)
            case ('heartbeat',):
                self.send(port.Heartbeat())
            case ('start', shift, index):
                first = self.start if index < 8 else self.start + shift
                self.send_started(max(0, first))
            case ('tokens', age, shift, count, wrong):
                self.send_tokens(age, shift, count, wrong)
            case ('end', age, shift):
                count = self.naive.position + (shift if age else 0)
                self.send(
                    port.StreamEnded(
                        REQUEST, self.number(age), 'length', max(0, count)
                    )
                )

    def begin(self, from_start):
        number = self.real.begin_attempt(IDENTITY, from_start)
        assert number == self.naive.begin_attempt(IDENTITY, from_start)
        self.numbers.append(number)
        self.start = self.cursor = 0 if from_start else self.naive.position

    def number(self, age):
        return self.numbers[-1 - min(age, len(self.numbers) - 1)]

    def send_started(self, first):
        self.send(
            port.StreamStarted(
                REQUEST, self.numbers[-1], 's', *IDENTITY, first, 0
            )
        )

    def send_tokens(self, age, shift, count, wrong):
        first = max(0, self.cursor + shift)
        ids = [token + wrong for token in self.answer[first : first + count]]
        if not ids:
            return
        pieces = tuple(str(token) for token in ids)
        attempt = self.number(max(0, age - 1))
        self.send(port.Tokens(REQUEST, attempt, first, tuple(ids), pieces))
        if attempt == self.numbers[-1]:
            self.cursor = max(self.cursor, first + len(ids))

    def send(self, event):
        actual = self.real.accept(event)
        expected = self.naive.accept(event)
        assert actual == expected, (event, actual, expected)
        assert type(actual) is type(expected), (event, actual, expected)
        self.seen[type(actual).__name__] += 1
        assert self.real.position == self.naive.position
        assert self.real.digest == self.naive.answer_digest()


@behave.then(
    'the sequence and the reference agree on {count:d} random histories'
)
def differential(context, count):
    seen = collections.Counter()

    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 3), min_size=4, max_size=10),
        _INDEX,
        strategies.booleans(),
        strategies.lists(_EVENTS, min_size=12, max_size=30),
    )
    def compare(answer, position, knows_prefix, choices):
        history = _History(answer, min(position, len(answer)), knows_prefix)
        history.begin(not knows_prefix)
        history.send_started(history.start)
        for choice in choices:
            history.apply(choice)
        seen.update(history.seen)

    compare()
    for kind in ('Deliver', 'Ignored', 'Finished', 'Lost', 'Inconsistent'):
        assert seen[kind] >= 20, seen


@behave.then(
    'a sequence of {count:d} tokens holds less than {limit:d} bytes of prefix'
)
def compact_prefix(context, count, limit):
    tokens = sequence.GenerationSequence(REQUEST, count)
    attempt = tokens.begin_attempt(IDENTITY)
    tokens.accept(port.StreamStarted(REQUEST, attempt, 's', *IDENTITY, 0, 0))
    for first in range(0, count, 100):
        ids = tuple(range(first, first + 100))
        tokens.accept(port.Tokens(REQUEST, attempt, first, ids, ('x',) * 100))
    held = sum(sys.getsizeof(value) for value in vars(tokens).values())
    assert tokens.position == count
    assert held < limit, held


@behave.then(
    'random splits of token ids give equal digests and other ids do not'
)
def digest_splits(context):
    ids = strategies.lists(
        strategies.integers(0, 2**32 - 1), min_size=1, max_size=20
    )

    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(ids, strategies.data())
    def check(token_ids, data):
        cut = data.draw(strategies.integers(0, len(token_ids)))
        head = digest.digest_of(token_ids[:cut])
        assert digest.extend(head, token_ids[cut:]) == digest.digest_of(
            token_ids
        )
        changed = list(token_ids)
        changed[cut - 1] ^= 1
        assert digest.digest_of(changed) != digest.digest_of(token_ids)
        assert digest.digest_of(token_ids[:-1]) != digest.digest_of(token_ids)

    check()
