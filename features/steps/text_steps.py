"""Steps for the configuration text."""

from __future__ import annotations

import dataclasses
import itertools
import json
import pathlib
import re

import behave
from features.doubles import texts
from godwitvalve.text import check
from godwitvalve.text import dependencies
from godwitvalve.text import diff
from godwitvalve.text import duplicate_keys
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import schedule
import hypothesis
from hypothesis import strategies

FIXED = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(['services', 'versions', 'a', '1']), inner
        )
    ),
    max_leaves=20,
)


@behave.given('the example text')
def example_text(context):
    context.raw = texts.example()


@behave.given('its text key "{path}" is set to {value}')
def set_text_key(context, path, value):
    texts.set_key(context.raw, path, json.loads(value))


@behave.given('the text bytes {body}')
def text_bytes(context, body):
    context.body = body.encode()


def _check(context):
    if 'body' in context:
        return check.check(context.body)
    return check.check(texts.to_bytes(context.raw))


@behave.then('the text is valid')
def text_is_valid(context):
    outcome = _check(context)
    assert isinstance(outcome, check.Valid), outcome


@behave.then('the text has errors at exactly')
def text_errors_at(context):
    paths = sorted(error.path for error in _check(context).errors)
    assert paths == sorted(row['path'] for row in context.table), paths


@behave.then('the text has an error at "{path}" that says "{message}"')
def text_error_says(context, path, message):
    errors = _check(context).errors
    assert any(
        error.path == path and message in error.message for error in errors
    ), errors


def _assert_outcome(body):
    outcome = check.check(body)
    assert isinstance(outcome, check.Valid) or outcome.errors


@behave.then('the text check returns an outcome for arbitrary bytes')
def check_arbitrary_bytes(context):
    @FIXED
    @hypothesis.given(strategies.binary(max_size=200))
    def run(body):
        _assert_outcome(body)

    run()


@behave.then('the text check returns an outcome for arbitrary JSON')
def check_arbitrary_json(context):
    @FIXED
    @hypothesis.given(JSON)
    def run(raw):
        _assert_outcome(json.dumps(raw).encode())

    run()


def _paths(raw, prefix=''):
    items = (
        raw.items()
        if isinstance(raw, dict)
        else enumerate(raw)
        if isinstance(raw, list)
        else ()
    )
    for key, value in items:
        yield f'{prefix}{key}'
        yield from _paths(value, f'{prefix}{key}.')


@behave.then(
    'the text check returns an outcome for the example with any key replaced'
)
def check_mutated_example(context):
    @FIXED
    @hypothesis.given(
        strategies.sampled_from(list(_paths(texts.EXAMPLE))), JSON
    )
    def run(path, value):
        raw = texts.example()
        texts.set_key(raw, path, value)
        _assert_outcome(texts.to_bytes(raw))

    run()


def _reaches_itself(edges):
    reached = {name: set(targets) for name, targets in edges.items()}
    for middle, start in itertools.product(edges, edges):
        if middle in reached[start]:
            reached[start] |= reached[middle]
    return any(name in targets for name, targets in reached.items())


@behave.then(
    'cycles are reported for arbitrary dependencies if and only if '
    'a service reaches itself'
)
def cycles_agree(context):
    names = [f's{index}' for index in range(6)]
    edges = strategies.fixed_dictionaries(
        {
            name: strategies.lists(strategies.sampled_from(names))
            for name in names
        }
    )

    @FIXED
    @hypothesis.given(edges)
    def run(edges):
        text = model.Text(
            {
                name: model.ServiceText('plain', {}, tuple(targets))
                for name, targets in edges.items()
            }
        )
        found = bool(dependencies.find_errors(text))
        assert found == _reaches_itself(edges)

    run()


def _dump(raw):
    """Return JSON of a value.

    Objects are given as tuples of pairs, so that keys may repeat.
    """
    if isinstance(raw, tuple):
        pairs = (f'{json.dumps(key)}: {_dump(item)}' for key, item in raw)
        return '{' + ', '.join(pairs) + '}'
    if isinstance(raw, list):
        return '[' + ', '.join(map(_dump, raw)) + ']'
    return json.dumps(raw)


@behave.then('repeated keys are found in arbitrary JSON as by its parser')
def repeated_keys_agree(context):
    keys = strategies.sampled_from(['a', 'b', '"', '\\', '//', '{:,'])
    raw = strategies.recursive(
        strategies.integers() | keys,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.lists(strategies.tuples(keys, inner), max_size=3).map(
                tuple
            )
        ),
        max_leaves=10,
    )

    @FIXED
    @hypothesis.given(raw)
    def run(raw):
        repeats = []

        def count_repeats(pairs):
            repeats.append(len(pairs) - len(dict(pairs)))
            return dict(pairs)

        text = _dump(raw)
        json.loads(text, object_pairs_hook=count_repeats)
        assert len(duplicate_keys.find(text)) == sum(repeats), text

    run()


@behave.then('splitting and joining restores any text')
def split_join(context):
    @FIXED
    @hypothesis.given(texts.TEXTS)
    def run(text):
        split = parts.split(text)
        hashes = {name: part.content_hash for name, part in split.items()}
        bodies = {part.content_hash: part.body for part in split.values()}
        assert parts.join_serialized(hashes, bodies) == text

    run()


def _reversed_keys(raw):
    if isinstance(raw, dict):
        return {key: _reversed_keys(raw[key]) for key in reversed(raw)}
    return raw


@behave.then('the parts of a text do not depend on the order of its keys')
def parts_ignore_order(context):
    one = check.check(texts.to_bytes(texts.EXAMPLE)).text
    two = check.check(texts.to_bytes(_reversed_keys(texts.EXAMPLE))).text
    assert parts.split(one) == parts.split(two)


@behave.then('changing one service of any text changes only its own part')
def one_part_changes(context):
    @FIXED
    @hypothesis.given(texts.TEXTS, texts.SERVICES)
    def run(text, service):
        hypothesis.assume(text.services)
        name = min(text.services)
        hypothesis.assume(text.services[name] != service)
        changed = dataclasses.replace(
            text, services=text.services | {name: service}
        )
        before, after = parts.split(text), parts.split(changed)
        differing = {
            part
            for part in before.keys() | after.keys()
            if before.get(part) != after.get(part)
        }
        assert differing == {parts.service_part(name)}

    run()


@behave.given('the parts of the example text')
def example_parts(context):
    text = check.check(texts.to_bytes(texts.EXAMPLE)).text
    context.parts = list(parts.split(text).values())


def _is_rejected(name, part_hash, body):
    try:
        parts.parse(name, part_hash, body)
    except parts.PartError:
        return True
    return False


@behave.then('each part is rejected if any of its bytes is changed')
def damaged_parts(context):
    for part in context.parts:
        assert not _is_rejected(*part)
        for index in range(len(part.body)):
            body = bytearray(part.body)
            body[index] ^= 1
            assert _is_rejected(part.name, part.content_hash, bytes(body))


@behave.then('each part is rejected under the name of another')
def renamed_parts(context):
    for one, other in itertools.permutations(context.parts, 2):
        assert _is_rejected(other.name, one.content_hash, one.body)


HASHES = strategies.binary(min_size=32, max_size=32).map(bytes.hex)
HEADS = strategies.builds(
    text_head.Head,
    revision=strategies.integers(1, 2**40),
    accepted_wall_s=strategies.floats(0, 1e10),
    nonces=strategies.lists(strategies.text(), min_size=1).map(tuple),
    parts=strategies.dictionaries(strategies.text(), HASHES),
    version_starts=strategies.dictionaries(
        strategies.text(),
        strategies.builds(
            text_head.VersionStart,
            strategies.binary(max_size=16).map(bytes.hex),
            strategies.floats(0, 1e10),
        ),
    ),
)


@behave.then('any head is decoded as it was encoded')
def head_round_trip(context):
    @FIXED
    @hypothesis.given(HEADS)
    def run(head):
        assert text_head.decode(text_head.encode(head)) == head

    run()


@behave.then('arbitrary bytes are either a head or rejected as malformed')
def head_arbitrary(context):
    encoded = HEADS.map(text_head.encode)

    @FIXED
    @hypothesis.given(
        strategies.binary() | encoded,
        strategies.integers(0, 2000),
        strategies.integers(0, 255),
    )
    def run(value, index, byte):
        damaged = bytearray(value)
        damaged[index : index + 1] = bytes([byte])
        try:
            text_head.decode(bytes(damaged))
        except text_head.HeadError:
            pass

    run()


def _accept(context, now_wall_s):
    context.old_text = getattr(context, 'text_value', None)
    context.text_value = check.check(texts.to_bytes(context.raw)).text
    context.head = text_head.next_head(
        getattr(context, 'head', None),
        context.text_value,
        parts.split(context.text_value),
        f'nonce-{now_wall_s}',
        now_wall_s,
    )
    context.now_wall_s = now_wall_s


@behave.given('the example text accepted at {now_wall_s:g}')
def accepted_at(context, now_wall_s):
    context.raw = texts.example()
    _accept(context, now_wall_s)
    context.first_text = context.text_value


@behave.when('the text key "{path}" becomes {value} at {now_wall_s:g}')
def key_becomes(context, path, value, now_wall_s):
    texts.set_key(context.raw, path, json.loads(value))
    _accept(context, now_wall_s)


@behave.then('the move to "{name}" started at {started_wall_s:g}')
def move_started(context, name, started_wall_s):
    start = context.head.version_starts[name]
    assert start.started_wall_s == started_wall_s


@behave.then('the head contains {count:d} nonces')
def head_nonces(context, count):
    assert len(context.head.nonces) == count


@behave.then('the late moves are "{paths}"')
@behave.then('the late moves are ""')
def late_moves(context, paths=''):
    found = schedule.find_late_moves(
        context.text_value, context.head, context.now_wall_s
    )
    assert ', '.join(error.path for error in found) == paths, found


@behave.then('the text changes are')
def text_changes(context):
    changes = diff.diff(context.first_text, context.text_value)
    sentences = [change.sentence for change in changes]
    assert sentences == [row['sentence'] for row in context.table], sentences


@behave.then(
    'the difference of any two texts is empty if and only if they are equal'
)
def diff_is_complete(context):
    @FIXED
    @hypothesis.given(texts.TEXTS, texts.TEXTS, strategies.booleans())
    def run(one, other, use_same):
        other = one if use_same else other
        assert (not diff.diff(one, other)) == (one == other)

    run()

    # Two random texts differ in many fields, so each single field is also
    # changed alone.
    @FIXED
    @hypothesis.given(texts.TEXTS, texts.VERSIONS, texts.ACCOUNTS)
    def run_single(text, version, account):
        for other in _single_changes(text, version, account):
            assert (not diff.diff(text, other)) == (text == other)

    run_single()


def _with_each_field(old, new):
    """Yield copies of the old value with one field of the new one each."""
    for field in dataclasses.fields(new):
        value = getattr(new, field.name)
        yield dataclasses.replace(old, **{field.name: value})


def _single_changes(text, version, account):
    for name, service in text.services.items():
        for label, old in service.versions.items():
            for new in _with_each_field(old, version):
                changed = dataclasses.replace(
                    service, versions=service.versions | {label: new}
                )
                services = text.services | {name: changed}
                yield dataclasses.replace(text, services=services)
    for name, old in text.client_accounts.items():
        for new in _with_each_field(old, account):
            accounts = text.client_accounts | {name: new}
            yield dataclasses.replace(text, client_accounts=accounts)


@behave.then('the example of docs/operators.md passes the check')
def documented_example(context):
    page = pathlib.Path(__file__).parents[2] / 'docs' / 'operators.md'
    [example] = re.findall(r'```json5\n(.*?)```', page.read_text(), re.DOTALL)
    outcome = check.check(example.encode())
    assert isinstance(outcome, check.Valid), outcome
