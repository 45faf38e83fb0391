"""Steps for resume ids and completion requests."""

from __future__ import annotations

import base64

import behave
import hypothesis
from hypothesis import strategies
import msgpack
import orjson

from godwitvalve.engine import sse
from godwitvalve.generations import digest
from godwitvalve.generations import events
from godwitvalve.generations import plan
from godwitvalve.generations import requests
from godwitvalve.generations import results
from godwitvalve.generations import resume
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome

KEY = b'k' * 32
OLD_KEY = b'o' * 32
NOW_WALL_S = 1_000_000.0
FUZZ = hypothesis.settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)
_SHORT = strategies.text(max_size=20)
_NUMBER = strategies.integers(0, 2**32 - 1)
_STATES = strategies.builds(
    resume.ResumeState,
    request_id=_SHORT,
    client_account=_SHORT,
    request_digest=strategies.binary(min_size=16, max_size=16),
    service=_SHORT,
    version=_SHORT,
    adapter=_SHORT,
    seed=strategies.integers(0, 2**63 - 1),
    position=_NUMBER,
    prefix_digest=strategies.binary(min_size=16, max_size=16),
    resume_epoch=_NUMBER,
    endpoint_id=_SHORT,
    stream_id=_SHORT,
    expires_wall_s=strategies.floats(0, 1e10),
)
INVALID = codes.ResultCode.RESUME_ID_INVALID


@behave.then('random resume states survive sealing and opening')
def sealing_round_trip(context):
    @FUZZ
    @hypothesis.given(_STATES)
    def check(state):
        sealed = resume.seal(state, KEY)
        assert len(sealed) <= resume.MAX_RESUME_ID_CHARACTERS
        assert resume.open_sealed(sealed, [KEY]) == state

    check()


@behave.then(
    'random texts and random changes of a resume id give code {code:d}'
)
def forged_ids(context, code):
    @FUZZ
    @hypothesis.given(strategies.text(max_size=200) | strategies.none())
    def check_text(text):
        assert resume.open_sealed(text or 'A' * 10**6, [KEY]) == code

    @FUZZ
    @hypothesis.given(_STATES, strategies.data())
    def check_change(state, data):
        sealed = resume.seal(state, KEY)
        body = bytearray(base64.urlsafe_b64decode(sealed + '=='))
        at = data.draw(strategies.integers(0, len(body) - 1))
        body[at] ^= data.draw(strategies.integers(1, 255))
        changed = base64.urlsafe_b64encode(body).decode().rstrip('=')
        assert resume.open_sealed(changed, [KEY]) == code
        cut = base64.urlsafe_b64encode(body[:at]).decode().rstrip('=')
        assert resume.open_sealed(cut, [KEY]) == code

    check_text()
    check_change()


@behave.then(
    'random msgpack bodies under the right key give a state or code {code:d}'
)
def random_sealed_bodies(context, code):
    leaves = (
        strategies.none()
        | strategies.integers(-(2**63), 2**64 - 1)
        | strategies.floats()
        | strategies.binary(max_size=20)
        | strategies.text(max_size=5)
    )
    values = strategies.recursive(
        leaves, lambda inner: strategies.lists(inner, max_size=14)
    )
    pairs = strategies.tuples(
        strategies.lists(leaves, min_size=11, max_size=11),
        strategies.tuples(leaves, leaves),
    )

    @FUZZ
    @hypothesis.given(
        strategies.binary(max_size=60)
        | values.map(msgpack.packb)
        | pairs.map(msgpack.packb)
    )
    def check(body):
        mac = resume._new_mac(KEY)
        mac.update(b'\x01' + body)
        sealed = base64.urlsafe_b64encode(b'\x01' + body + mac.digest())
        opened = resume.open_sealed(sealed.decode().rstrip('='), [KEY])
        if isinstance(opened, resume.ResumeState):
            assert 0 <= opened.position < 2**32
        else:
            assert opened == code

    check()


@behave.given('a resume id that was sealed with an older key')
def older_key(context):
    context.state = resume.ResumeState(
        *('r', 'a', b'd' * 16, 's', 'v', '', 1, 2, b'p' * 16, 0, 'e', 't'),
        NOW_WALL_S,
    )
    context.sealed = resume.seal(context.state, OLD_KEY)


@behave.then('it opens with the keys "new, old" and not with the keys "new"')
def opens_with(context):
    assert resume.open_sealed(context.sealed, [KEY, OLD_KEY]) == context.state
    assert resume.open_sealed(context.sealed, [KEY]) == INVALID


@behave.given('a resume id of a request')
def id_of_request(context):
    context.body = {
        'model': 'summaries',
        'prompt': 'diary',
        'max_tokens': 10,
        'seed': 3,
    }
    context.account = 'council'
    context.now_wall_s = NOW_WALL_S
    context.token_ids = [5, 6, 7]
    request = requests.parse(orjson.dumps(context.body))
    context.state = resume.ResumeState(
        'r-1',
        'council',
        request.digest(),
        'summaries',
        'v1',
        'ad',
        3,
        3,
        digest.digest_of(context.token_ids),
        4,
        'e1',
        's1',
        NOW_WALL_S + 60,
    )
    context.sealed = resume.seal(context.state, KEY)


def _repeat(context, sealed):
    request = requests.parse(orjson.dumps(context.body))
    context.planned = plan.plan_generation(
        request, sealed, context.account, [KEY], context.now_wall_s
    )


@behave.when('the request is repeated with another {field}')
def repeated_changed(context, field):
    context.body['resume_token_ids'] = context.token_ids
    match field:
        case 'prompt' | 'model':
            context.body[field] += 'x'
        case 'max_tokens' | 'seed':
            context.body[field] += 1
        case 'client account':
            context.account = 'lab'
        case 'time':
            context.now_wall_s += 61
        case 'token':
            context.token_ids[1] += 1
        case 'number of tokens':
            context.token_ids.pop()
    _repeat(context, context.sealed)


@behave.when('the request is repeated with tokens and no resume id')
def repeated_without_id(context):
    context.body['resume_token_ids'] = context.token_ids
    _repeat(context, None)


@behave.when('the request is repeated with its tokens')
def repeated_unchanged(context):
    context.body['resume_token_ids'] = context.token_ids
    _repeat(context, context.sealed)


@behave.then('the repeated request is refused with code {code:d}')
def repeated_refused(context, code):
    assert isinstance(context.planned, outcome.NotRun), context.planned
    assert context.planned.code == code, context.planned


@behave.then('the generation continues with the sealed state')
def repeated_continues(context):
    generation = context.planned
    assert generation.resume_state == context.state
    assert generation.request_id == 'r-1'
    assert generation.seed == 3
    assert generation.resume_epoch == 5


@behave.then(
    'random bodies give a request within its limits or a "not run" code'
)
def random_bodies(context):
    names = strategies.sampled_from(
        (
            'model',
            'prompt',
            'max_tokens',
            'stream',
            'seed',
            'priority',
            'resume_token_ids',
            'deadline_wall_s',
            'n',
        )
    )
    leaves = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=5)
    )
    values = leaves | strategies.lists(leaves, max_size=4)
    bodies = strategies.dictionaries(names, values).map(
        lambda body: (
            orjson.dumps({'model': 'm', 'prompt': 'p', **body}, default=str)
            if all(_fits(value) for value in body.values())
            else b'{'
        )
    )

    @FUZZ
    @hypothesis.given(
        strategies.binary(max_size=100)
        | bodies
        | strategies.just(b'[' * 100_000)
        | strategies.just(b'{"model":"m","prompt":"\\ud800"}')
    )
    def check(body):
        parsed = requests.parse(body)
        if isinstance(parsed, outcome.NotRun):
            assert len(parsed.detail) < 5000
            return
        assert 1 <= parsed.max_tokens <= requests.MAX_TOKENS
        assert len(parsed.resume_token_ids or ()) <= parsed.max_tokens
        assert parsed.digest() == requests.parse(body).digest()
        assert parsed.prefix_hint()

    check()


def _fits(value):
    items = value if isinstance(value, list) else [value]
    return all(
        not isinstance(item, int) or -(2**63) <= item < 2**64 for item in items
    )


@behave.when("the completion body '{body}' is parsed")
def parse_body(context, body):
    context.parsed = requests.parse(body.encode())


@behave.when('a completion body above the size limit is parsed')
def parse_large(context):
    context.parsed = requests.parse(b' ' * (requests.MAX_BODY_BYTES + 1))


@behave.then('the refusal names "{names}"')
def refusal_names(context, names):
    lines = context.parsed.detail.split('; ')
    found = {line.split(':')[0] for line in lines}
    assert found == set(names.split(', ')), lines


@behave.then('the completion refusal has code {code:d}')
def completion_refused(context, code):
    assert context.parsed.code == code, context.parsed


@behave.then('random texts survive formatting and parsing of events')
def event_round_trip(context):
    @FUZZ
    @hypothesis.given(
        strategies.text(max_size=30),
        strategies.lists(_NUMBER, min_size=1, max_size=4),
        _NUMBER,
    )
    def check(text, token_ids, first):
        formatter = events.EventFormatter('r"\n', 'm\n\n', 'v\r\n')
        chunk = results.Delivered(first, tuple(token_ids), text, 'abc')
        splitter = sse.EventSplitter(10_000)
        (block,) = splitter.feed(formatter.delivered(chunk))
        assert splitter.is_empty
        event = sse.parse_block(block)
        body = orjson.loads(event.data)
        assert event.event_id == 'abc'
        assert body['id'] == 'r"\n'
        assert body['choices'] == [
            {'index': 0, 'text': text, 'finish_reason': None}
        ]
        assert body['godwitvalve'] == {
            'first_index': first,
            'token_ids': token_ids,
            'version': 'v\r\n',
        }

    check()
