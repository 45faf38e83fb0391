"""Steps for the codec, the frames and the handshake between peers."""

from __future__ import annotations

import behave
from godwitvalve.peers import envelopes
from godwitvalve.peers import framing
from godwitvalve.peers import handshake
from godwitvalve.peers import messages
import hypothesis
from hypothesis import strategies
import msgpack

KEY = b'f' * 32
MAX_TEST_FRAME = 4096
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None, database=None
)
_TEXT = strategies.text(max_size=20)
_INT = strategies.integers(0, 2**63)
_FLOAT = strategies.floats(allow_nan=False, allow_infinity=False)
_BYTES = strategies.binary(max_size=30)


def _pairs(second):
    pair = strategies.tuples(_TEXT, second)
    return strategies.lists(pair, max_size=3).map(tuple)


SAMPLES = strategies.one_of(
    strategies.builds(messages.Heartbeat, _FLOAT, _FLOAT),
    strategies.builds(messages.HeadAnnounced, _INT, _BYTES),
    strategies.builds(
        messages.PartsRequest, strategies.lists(_TEXT, max_size=3).map(tuple)
    ),
    strategies.builds(messages.PartsResponse, _pairs(_BYTES)),
    strategies.builds(messages.EvidenceReport, _TEXT, _INT, _INT, _BYTES),
    strategies.builds(messages.VerdictAnnounced, _TEXT, _BYTES),
    strategies.builds(messages.DemandReport, _TEXT, _INT, _INT, _BYTES),
    strategies.builds(
        messages.MemberFact, _TEXT, _INT, _TEXT, _TEXT, _TEXT, _TEXT
    ),
    strategies.builds(messages.Freshness, _TEXT, _INT, _FLOAT),
    strategies.builds(
        messages.LastSeenAges,
        _INT,
        _FLOAT,
        _FLOAT,
        _INT,
        _BYTES,
        strategies.booleans(),
        _BYTES,
        _BYTES,
        strategies.lists(_TEXT, max_size=3).map(tuple),
    ),
    strategies.builds(
        messages.ForwardCall,
        _INT,
        _TEXT,
        _TEXT,
        _TEXT,
        _TEXT,
        _TEXT,
        _pairs(_TEXT),
        _BYTES,
        _FLOAT,
    ),
    strategies.builds(messages.ForwardAnswer, _BYTES, strategies.booleans()),
    strategies.builds(messages.PruneReports, _TEXT),
    strategies.builds(messages.RestoreReports, strategies.booleans()),
)
ENVELOPES = strategies.one_of(
    strategies.builds(envelopes.Direct, SAMPLES),
    strategies.builds(
        envelopes.Flooded,
        _TEXT,
        _INT,
        _INT,
        strategies.sampled_from(envelopes.Spread),
        _INT,
        SAMPLES,
    ),
    strategies.builds(envelopes.Request, _INT, SAMPLES),
    strategies.builds(envelopes.Answer, _INT, SAMPLES | strategies.none()),
)
_LEAF = _TEXT | _BYTES | _INT | _FLOAT | strategies.booleans()
VALUES = strategies.recursive(
    _LEAF | strategies.none(),
    lambda inner: strategies.lists(inner, max_size=5),
    max_leaves=20,
)


def _round_trip(envelope):
    assert envelopes.decode(envelopes.encode(envelope)) == envelope


@behave.then('each type of message is decoded as it was encoded')
def messages_round_trip(context):
    SETTINGS(hypothesis.given(ENVELOPES)(_round_trip))()
    kinds = set()
    collect = hypothesis.given(SAMPLES)(lambda m: kinds.add(type(m)))
    SETTINGS(collect)()
    assert kinds == set(messages.TAGS.values()), kinds


def _decode_any(payload):
    try:
        envelope = envelopes.decode(payload)
    except messages.MessageError:
        return
    assert isinstance(
        envelope,
        (
            envelopes.Direct,
            envelopes.Flooded,
            envelopes.Request,
            envelopes.Answer,
        ),
    )


def _tagged(case):
    kind, tag, fields = case
    return msgpack.packb([kind, [tag, *fields]])


@behave.then('random payloads give a message or a message error')
def random_payloads(context):
    raw = strategies.binary(max_size=200)
    values = VALUES.map(msgpack.packb)
    tagged = strategies.tuples(
        strategies.integers(0, 5),
        strategies.integers(0, 14),
        strategies.lists(VALUES, max_size=10),
    ).map(_tagged)
    check = hypothesis.given(raw | values | tagged)(_decode_any)
    SETTINGS(check)()
    _decode_any(b'\x91' * 100_000)
    _decode_any(b'\xdd\xff\xff\xff\xff')
    _decode_any(b'\xc6\xff\xff\xff\xff')


def _feed_random(chunks):
    opener = framing.FrameOpener(KEY, MAX_TEST_FRAME)
    try:
        for chunk in chunks:
            assert opener.feed(chunk) == []
            assert opener.buffered_bytes <= MAX_TEST_FRAME + len(chunk) + 4
    except framing.FrameError:
        pass


def _feed_altered(payload, position, flip):
    frame = bytearray(framing.FrameSealer(KEY).seal(payload))
    frame[position % len(frame)] ^= flip
    opener = framing.FrameOpener(KEY, MAX_TEST_FRAME)
    try:
        assert opener.feed(bytes(frame)) == []
    except framing.FrameError:
        pass


@behave.then('random and altered frames are rejected within bounded memory')
def random_frames(context):
    chunks = strategies.lists(strategies.binary(max_size=2000), max_size=10)
    SETTINGS(hypothesis.given(chunks)(_feed_random))()
    altered = hypothesis.given(
        _BYTES, strategies.integers(0, 100), strategies.integers(1, 255)
    )(_feed_altered)
    SETTINGS(altered)()


def _feed_in_order(order):
    sealer = framing.FrameSealer(KEY)
    frames = [sealer.seal(b'%d' % number) for number in range(4)]
    opener = framing.FrameOpener(KEY)
    accepted = []
    try:
        for number in order:
            accepted += opener.feed(frames[number])
    except framing.FrameError:
        pass
    valid = 0
    while valid < len(order) and order[valid] == valid:
        valid += 1
    assert accepted == [b'%d' % number for number in range(valid)], order


@behave.then('frames are accepted in their order only')
def frames_in_order(context):
    orders = strategies.lists(strategies.integers(0, 3), max_size=6)
    SETTINGS(hypothesis.given(orders)(_feed_in_order))()


def _unpack_hello(data):
    try:
        hello = handshake.unpack(data)
    except handshake.HandshakeError:
        return
    assert len(hello.challenge) == handshake.CHALLENGE_BYTES


@behave.then('random hellos give a hello or a handshake error')
def random_hellos(context):
    raw = strategies.binary(max_size=100)
    near = strategies.lists(VALUES, min_size=4, max_size=4).map(
        lambda rest: msgpack.packb([1, *rest])
    )
    SETTINGS(hypothesis.given(raw | near)(_unpack_hello))()


@behave.then('the proof of one end is rejected as the proof of the other')
def proofs_not_reflected(context):
    caller = handshake.new_hello('a', 1, True)
    called = handshake.new_hello('b', 1, True)
    proof = handshake.prove(KEY, True, caller, called)
    handshake.check_proof(proof, KEY, True, caller, called)
    wrong = (
        (proof, KEY, False, caller, called),
        (proof, KEY, True, called, caller),
        (proof, b'other' * 8, True, caller, called),
        (proof, KEY, True, caller, handshake.new_hello('b', 1, True)),
    )
    for case in wrong:
        try:
            handshake.check_proof(*case)
        except handshake.HandshakeError:
            continue
        raise AssertionError(case)
