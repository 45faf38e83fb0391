"""Steps for odd messages and rows of other entries."""

from __future__ import annotations

import asyncio
import math
import time
from unittest import mock

import aiohttp
from aiohttp import test_utils
import behave
from godwitvalve.endpoint_limits import node as permit_node
from godwitvalve.fleet import eras
from godwitvalve.fleet import relay as relays
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.gossip import node as gossip_node
from godwitvalve.ingress import membership
from godwitvalve.ingress import peer_tables
from godwitvalve.ingress import shared_states
from godwitvalve.ingress import state_rows
from godwitvalve.placement import sessions
from godwitvalve.platform import store as stores
from godwitvalve.quarantine import reports
from godwitvalve.quarantine import segments
import msgspec

SENDER = ('10.0.0.1', 2)
NESTING = 100_000


def _endpoint(address='10.0.0.9:80', slots=8):
    return ('i', 's', address, 'fd-1', 'v1', slots, False, 1)


_NAMES = {
    'nan': math.nan,
    'inf': math.inf,
    'endpoint': _endpoint,
}
# Fields by message, in their order on the wire; '' stands for no field.
_MESSAGES = {
    'heartbeat': {
        'instance_id': 'peer',
        'started_wall_ms': 1,
        'heartbeat': 1,
        'state': members.SERVING,
        'caller_address': '10.0.0.1:1',
        'peer_address': '10.0.0.1:2',
        'failure_domain': 'fd-1',
        'configuration_version': 1,
        'placements': {},
        'replaced': [],
        'sessions': {},
        'lost': [],
        'provisional': [],
        'speeds': {},
        'rollouts': [],
        'quarantine': ([], []),
        'leaving': [],
        'limits': [],
    },
    'permit request': {
        'tag': 0,
        'number': 1,
        'endpoint_id': 'i',
        'started_wall_ms': 1,
        'requests_per_s': 4.0,
        'is_confirmation': False,
    },
    'permit answer': {'tag': 1, 'number': 1, 'wait_ms': 5},
    'table': {
        'version': 1,
        'age_ms': 1,
        'removals_untrusted_ms': 0,
        'rows': [],
    },
    'state': {'configuration': b'', 'listed': []},
    'stored sessions': {},
    'stored evidence': {'written_wall_ms': 0, 'age_ms': 0},
}
_MESSAGES['stored record'] = _MESSAGES['heartbeat']


def _value(text):
    return eval(text, {'__builtins__': {}}, _NAMES)


def _content(message, fields):
    match message:
        case 'heartbeat':
            return msgspec.msgpack.encode([(0, list(fields.values()))])
        case 'stored record':
            return msgspec.json.encode(list(fields.values()))
        case 'stored evidence':
            crash = ('s', 'i', ['a'], fields['age_ms'], 0)
            return msgspec.json.encode(
                {
                    'written_wall_ms': fields['written_wall_ms'],
                    'report': ([crash], []),
                }
            )
        case 'stored sessions':
            return msgspec.json.encode(fields)
        case _:
            return msgspec.msgpack.encode(list(fields.values()))


def _nested(message, content):
    """Return content with a further field that is nested deeply."""
    if not message.startswith('stored'):
        deep = b'\x91' * NESTING + b'\x90'
        if message == 'heartbeat':
            # One record in a list; its length follows the array mark.
            head, fields = content[:3], content[5:]
            count = int.from_bytes(content[4:5], 'big') + 1
            return head + b'\xdc' + count.to_bytes(2, 'big') + fields + deep
        count = content[0] & 0x0F
        return bytes([0x90 | (count + 1)]) + content[1:] + deep
    deep = b'[' * NESTING + b']' * NESTING
    name = b'' if content.startswith(b'[') else b'"more":'
    comma = b'' if content == b'{}' else b','
    return content[:-1] + comma + name + deep + content[-1:]


@behave.given(
    'an entry that another entry sends a {message} in which "{field}" is '
    '{value}'
)
def odd_message(context, message, field, value):
    fields = dict(_MESSAGES[message])
    context.sound = _content(message, fields)
    if value == 'nested deeply':
        context.odd = _nested(message, context.sound)
    else:
        assert field in fields
        fields[field] = 'REPLACED' if '400' in value else _value(value)
        context.odd = _content(message, fields).replace(
            b'"REPLACED"', b'1' + b'0' * 400
        )


class _Rows:
    """A store that holds one row in each table."""

    def __init__(self, content):
        self._content = content

    async def rows(self, table):
        row = stores.StoredRow('peer', 1, self._content)
        return stores.RowsAnswer([row], 1, False, 0)


def _receive_heartbeat(content):
    used = []
    node = gossip_node.GossipNode(
        members.Members('own', 'fd-1'),
        lambda heartbeat: None,
        [],
        lambda record, age_s: used.append(record),
    )
    node.datagram_received(content, SENDER)
    return used


class _Transport:
    def sendto(self, content, address):
        pass


def _receive_permit(content):
    used = []

    def decide(question):
        used.append(question)

    node = permit_node.PermitNode(1, decide)
    node.connection_made(_Transport())

    class Future:
        def done(self):
            return False

        def set_result(self, answer):
            used.append(answer)

    node._waiting[1] = Future()
    node.datagram_received(content, SENDER)
    return used


class _PeerAnswer:
    """Answers each request of a session with the same body."""

    status = 200

    def __init__(self, body):
        self.content = None
        self._body = body

    def get(self, url, **options):
        self.content = aiohttp.StreamReader(
            mock.Mock(), 1 << 16, loop=asyncio.get_running_loop()
        )
        self.content.feed_data(self._body)
        self.content.feed_eof()
        return self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None

    def close(self):
        """End the answer early."""


async def _read_table(content):
    source = peer_tables.PeerSource('10.0.0.1:3', _PeerAnswer(content))
    try:
        return [await source.rows('servers')]
    except stores.StoreUnavailable:
        return []


def _read_state(content):
    state = states.FleetState()
    used = []

    class Configuration:
        def apply_content(self, content, era, peer):
            used.append(content)

    sync = membership.PeerSync.__new__(membership.PeerSync)
    sync._state = state
    sync._configuration = Configuration()
    sync._apply_state(content, 'peer')
    return used


async def _read_rows(content, state):
    rows = state_rows.StateRows(
        _Rows(content), 'table', 'own', state, eras.StoreEra()
    )
    await rows.read()


async def _read_sessions(content):
    table = sessions.SessionTable()
    state = shared_states.SessionState(table, dict)
    await _read_rows(content, state)
    return list(table._recent)


async def _read_evidence(content):
    used = []

    class Quarantine:
        def merge(self, report, now_s, age_s):
            used.append(report)

    state = shared_states.QuarantineState(Quarantine(), bool)
    await _read_rows(content, state)
    return used


async def _read_record(content):
    known = members.Members('own', 'fd-1')
    rows = membership.MemberRows(
        _Rows(content), known, lambda number: None, eras.StoreEra()
    )
    await rows._read()
    return list(known._records)


async def _receive(message, content):
    match message:
        case 'heartbeat':
            return _receive_heartbeat(content)
        case 'permit request' | 'permit answer':
            return _receive_permit(content)
        case 'table':
            return await _read_table(content)
        case 'state':
            return _read_state(content)
        case 'stored sessions':
            return await _read_sessions(content)
        case 'stored evidence':
            return await _read_evidence(content)
        case 'stored record':
            return await _read_record(content)


@behave.when('the odd {message} is received')
def message_arrives(context, message):
    # Without its odd part the message is used.
    sound = (
        b'{"session":"i"}' if message == 'stored sessions' else context.sound
    )
    assert asyncio.run(_receive(message, sound))
    context.used = asyncio.run(_receive(message, context.odd))


@behave.then('nothing of it is used and the entry goes on')
def nothing_used(context):
    assert not context.used, context.used


@behave.given('evidence in the store that is as old as can be stated')
def old_evidence(context):
    context.quarantine = segments.SegmentQuarantine()
    state = shared_states.QuarantineState(context.quarantine, bool)
    oldest_ms = 10**12
    row = {
        'written_wall_ms': 0,
        'report': ([], [('s', 'a', oldest_ms)]),
    }
    state.merge(msgspec.json.encode(row))


@behave.when('an entry reports it to others')
def report_evidence(context):
    context.report = context.quarantine.report(time.monotonic())


@behave.then('the others can read the report')
def report_readable(context):
    msgspec.msgpack.decode(
        msgspec.msgpack.encode(context.report), type=reports.QuarantineReport
    )


@behave.given('an entry that relays a table')
def relaying_entry(context):
    context.server = peer_tables.RelayServer({'servers': relays.TableRelay()})


@behave.when('another entry asks for it with "{name}" of {value}')
def ask_for_table(context, name, value):
    text = {
        '5000 digits': '9' * 5000,
        '400 digits': '9' * 400,
        'a superscript': '%C2%B2',
    }[value]
    request = test_utils.make_mocked_request(
        'GET', f'/fleet/table?table=servers&{name}={text}'
    )
    answer = asyncio.run(context.server.handle(request))
    context.status = answer.status


@behave.then('it gets status {status:d}')
def gets_status(context, status):
    assert context.status == status, context.status
