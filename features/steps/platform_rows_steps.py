"""Steps for odd rows in the platform's store."""

from __future__ import annotations

import asyncio
import json
import logging

import behave
from features.doubles import log_records
from godwitvalve.fleet import consumers
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.gossip import node as gossip_node
from godwitvalve.placement import choose
from godwitvalve.placement import tracker
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import headers
from godwitvalve.platform import rollouts as wire_rollouts
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import registry as registries
from godwitvalve.rollouts import status_writer
import hypothesis
from hypothesis import strategies
import msgspec

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
NESTED = b'[' * 100_000 + b']' * 100_000
ODD_ID = 'odd'


def _endpoint(**changed):
    return {
        'service': 'desk',
        'address': '10.0.0.9:80',
        'zone': 'fd-1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 4,
        'born': 1_700_000_000_000,
    } | changed


def _with(field, raw):
    """Return a row with the JSON text of one field replaced."""
    row = json.dumps(_endpoint(**{field: 'REPLACED'})).encode()
    return row.replace(b'"REPLACED"', raw)


def _with_port(port):
    row = _endpoint(address=f'10.0.0.9:{port}')
    return json.dumps(row, ensure_ascii=False).encode()


def _with_host(host):
    return json.dumps(_endpoint(address=f'{host}:80')).encode()


def _without(field):
    row = _endpoint()
    del row[field]
    return json.dumps(row).encode()


ODD_ROWS = {
    'lacks its service': _without('service'),
    'lacks its address': _without('address'),
    'lacks its zone': _without('zone'),
    'lacks its version': _without('version'),
    'lacks its slots': _without('slots'),
    'lacks its state': _without('state'),
    'lacks its sequence': _without('sequence'),
    'lacks its time to warm up': _without('cold_remaining_ms'),
    'lacks its start': _without('born'),
    'is nested deeply in an unknown field': _with('more', NESTED),
    'is nested deeply in place of its zone': _with('zone', NESTED),
    'states slots of 400 digits': _with('slots', b'9' * 400),
    'states slots of 5000 digits': _with('slots', b'9' * 5000),
    'states slots of 18 digits': _with('slots', b'9' * 18),
    'states slots below zero': _with('slots', b'-3'),
    'states a start of 40 digits': _with('born', b'9' * 40),
    'states a start before 1970': _with('born', b'-1'),
    'states a sequence of 400 digits': _with('sequence', b'9' * 400),
    'states a sequence that is a text': _with('sequence', b'"4"'),
    'states the port 70000': _with_port('70000'),
    'states the port 0': _with_port('0'),
    'states the port -1': _with_port('-1'),
    'states the port " 80"': _with_port(' 80'),
    'states the port "8_0"': _with_port('8_0'),
    'states the port "+80"': _with_port('+80'),
    'states the port "٨٠"': _with_port('٨٠'),
    'states the port "080"': _with_port('080'),
    'states the port of 5000 digits': _with_port('9' * 5000),
    'states the host 0.0.0.0': _with_host('0.0.0.0'),
    'states the host 255.255.255.255': _with_host('255.255.255.255'),
    'states the host 224.0.0.1': _with_host('224.0.0.1'),
    'states the host localhost': _with_host('localhost'),
    'states a zone of a million characters': _with(
        'zone', b'"' + b'z' * 1_000_000 + b'"'
    ),
    'states a zone that is not UTF-8': _with('zone', b'"\xff"'),
    'states a zone with half a surrogate': _with('zone', b'"\\udc00"'),
    'has been warm for 3 s': _with('cold_remaining_ms', b'-3000.5'),
    'is empty': b'',
    'is not JSON': b'\x00\x01',
    'is a list': b'[]',
    'has a line break in its id': json.dumps(_endpoint()).encode(),
    'has letters of another script in its id': json.dumps(
        _endpoint()
    ).encode(),
}
ODD_IDS = {
    'has a line break in its id': 'i-1\r\nTenant: other',
    'has letters of another script in its id': 'ι-1',
}


@behave.given('rows of the endpoints "{names}"')
def endpoint_rows(context, names):
    context.rows = [
        stores.StoredRow(
            name,
            number,
            json.dumps(_endpoint(address=f'10.0.0.{number}:80')).encode(),
        )
        for number, name in enumerate(names.split(', '), 1)
    ]
    context.state = states.FleetState()
    context.state.registry.mark_store_available(0.0)
    context.consumer = consumers.EndpointConsumer(
        context.state, lambda endpoint_id: None
    )


@behave.given('a row of an endpoint that {what}')
def odd_row(context, what):
    row = stores.StoredRow(ODD_IDS.get(what, ODD_ID), 3, ODD_ROWS[what])
    # Between the others, so that rows before and after it count.
    context.rows.insert(1, row)


@behave.when('the table of endpoints is read')
def read_table(context):
    context.consumer.apply_snapshot(context.rows, stores.StoreRevision(0, 3))


@behave.when('only the changes of the table are read')
def read_changes(context):
    for endpoint_id in list(context.state.registry.ids()):
        context.state.registry.remove(endpoint_id, 3, 1.0)
    context.consumer.apply_changes(context.rows)


@behave.then('"{names}" are the usable endpoints')
def usable_endpoints(context, names):
    usable = context.state.registry.usable('desk')
    found = {each.endpoint_id for each in usable}
    assert found == set(names.split(', ')), found


@behave.when('the table of endpoints is read {count:d} times')
def read_table_often(context, count):
    context.log = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.fleet')
    logger.addHandler(context.log)
    context.cleanups.append(lambda: logger.removeHandler(context.log))
    context.cleanups.append(lambda: logger.setLevel(logging.NOTSET))
    logger.setLevel(logging.INFO)
    for _ in range(count):
        read_table(context)


@behave.then(
    'the log has {count:d} line about it with at most {limit:d} characters'
)
def logged_lines(context, count, limit):
    lines = [
        ''.join(map(str, vars(record).values()))
        for record in context.log.records
        if getattr(record, 'endpoint_id', '') == ODD_ID
    ]
    assert len(lines) == count, len(lines)
    assert all(len(each) <= limit for each in lines), lines


@behave.then(
    'each line about the read of the table states {count:d} invalid row'
)
def stated_invalid(context, count):
    stated = {
        record.invalid
        for record in context.log.records
        if hasattr(record, 'invalid')
    }
    assert stated == {count}, stated


@behave.given('an entry that fails to apply "{endpoint_id}"')
def failing_update(context, endpoint_id):
    update = context.state.registry.update

    def failing(endpoint, row_version):
        if endpoint.endpoint_id == endpoint_id:
            raise LookupError('odd')
        return update(endpoint, row_version)

    context.state.registry.update = failing


@behave.when('all endpoints are removed and an exception follows each removal')
def remove_all(context):
    def fail(endpoint_id):
        raise LookupError('odd')

    context.consumer._on_removed = fail
    context.consumer.apply_changes(
        [
            stores.StoredRow(row.key, row.version + 10, None)
            for row in context.rows
        ]
    )


@behave.then('no endpoint is usable')
def none_usable(context):
    assert not context.state.registry.usable('desk')


def _fail_for(name, applied):
    """Return a function that keeps names and raises for one of them."""

    def apply(applied_name):
        if applied_name == name:
            raise LookupError('odd')
        applied.append(applied_name)

    return apply


@behave.given('roll-out orders for "{names}"')
def rollout_orders(context, names):
    context.rows = [
        stores.StoredRow(
            f'rollout/{name}',
            number,
            json.dumps(
                {'service': name, 'to': 'v2', 'duration_s': 9}
            ).encode(),
        )
        for number, name in enumerate(names.split(', '))
    ]


@behave.when('applying the order for "{name}" raises an exception')
def order_raises(context, name):
    context.applied = []
    apply = _fail_for(name, context.applied)
    consumer = consumers.OrderConsumer(
        lambda order, may_be_copied: apply(order.service)
    )
    consumer.apply_changes(context.rows, 0, False)


@behave.then('the orders for "{names}" are applied')
@behave.then('"{names}" are synchronised')
@behave.then('the records of "{names}" are applied')
def are_applied(context, names):
    assert context.applied == names.split(', '), context.applied


@behave.given('pending roll-outs of "{names}" at the writer of their states')
def pending_rollouts(context, names):
    registry = registries.RolloutRegistry(orders.ExposureLimits(0.1, 50))
    for number, name in enumerate(names.split(', '), 1):
        registry.add_order(orders.RolloutOrder(name, 'v2', 9.0, number), 0.0)
    context.writer = status_writer.StatusWriter(
        None, registry, lambda: 0, lambda: None
    )


@behave.when('synchronising "{name}" raises an exception')
def synchronising_raises(context, name):
    context.applied = []
    apply = _fail_for(name, context.applied)

    async def synchronise(each):
        apply(each.order.service)

    async def run():
        context.writer._is_due = lambda each, now_s: True
        context.writer._synchronise = synchronise
        # Less than two periods.
        await asyncio.wait(
            {asyncio.create_task(context.writer.run())},
            timeout=status_writer.PERIOD_S * 1.5,
        )

    asyncio.run(run())


@behave.given('a datagram with the records of "{names}"')
def datagram(context, names):
    context.datagram = gossip_node.encode(
        [
            members.AgedRecord(
                0,
                members.Record(
                    name,
                    1,
                    1,
                    members.SERVING,
                    '10.0.0.1:1',
                    '10.0.0.1:2',
                    'fd-1',
                    1,
                ),
            )
            for name in names.split(', ')
        ]
    )


@behave.when('applying the record of "{name}" raises an exception')
def record_raises(context, name):
    context.applied = []
    apply = _fail_for(name, context.applied)
    node = gossip_node.GossipNode(
        members.Members('own', 'fd-1'),
        lambda heartbeat: None,
        [],
        lambda record, age_s: apply(record.instance_id),
    )
    node.datagram_received(context.datagram, ('10.0.0.1', 2))


_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(-3, 3),
    strategies.floats(),
    strategies.booleans(),
    strategies.just(10**400),
    strategies.just(2**63),
)
_VALUES = strategies.one_of(
    _NUMBERS,
    strategies.text(),
    strategies.none(),
    strategies.just('10.0.0.9:80'),
    strategies.just('draining'),
    strategies.lists(strategies.integers(), max_size=2),
)


@strategies.composite
def _rows(draw):
    changed = draw(
        strategies.dictionaries(
            strategies.sampled_from([*_endpoint(), 'more']), _VALUES
        )
    )
    row = json.dumps(_endpoint(**changed)).encode()
    start = draw(strategies.integers(0, len(row)))
    # Replaces some bytes, or none.
    inserted = draw(strategies.just(b'') | strategies.binary(max_size=4))
    return row[:start] + inserted + row[start + len(inserted) :]


def _check_usable(endpoint):
    assert msgspec.msgpack.encode(endpoint)
    cost = choose.call_cost(endpoint, tracker.EndpointStats(), '', 0.0)
    assert 0 <= cost < 10, cost
    facts = headers.SendFacts(endpoint.endpoint_id, 1.0, '')
    (instance,) = [
        value
        for name, value in headers.to_endpoint([], facts, 0)
        if name == b'Expected-Instance'
    ]
    assert instance.isascii() and not set(instance) & set(b'\r\n'), instance
    host, _, port = endpoint.address.partition(':')
    assert 0 < int(port) < 65536, endpoint
    assert str(int(port)) == port and host not in ('', '0.0.0.0'), endpoint


@behave.then('any bytes are a usable endpoint or an invalid row')
def any_bytes(context):
    @SETTINGS
    @hypothesis.given(
        strategies.text() | strategies.just('i-1'),
        strategies.binary() | _rows(),
    )
    def check(endpoint_id, content):
        try:
            endpoint = wire_endpoints.decode(endpoint_id, content)
        except wire_endpoints.InvalidRow as error:
            assert len(str(error)) <= 300
            return
        _check_usable(endpoint)

    check()


_STORE_ROWS = {
    'has a value that is cut': b'{"key":"odd","ver":3,"value":"YQ"}',
    'has a value in another alphabet': (
        '{"key":"odd","ver":3,"value":"éé"}'.encode()
    ),
    'has a value that is a number': b'{"key":"odd","ver":3,"value":7}',
    'has a version of 400 digits': (
        b'{"key":"odd","ver":' + b'9' * 400 + b',"value":"YQ=="}'
    ),
    'has a version below zero': b'{"key":"odd","ver":-1,"value":"YQ=="}',
    'has a key that is a number': b'{"key":7,"ver":3,"value":"YQ=="}',
    'has a key that is not UTF-8': (b'{"key":"\xff","ver":3,"value":"YQ=="}'),
    'is a text': b'"odd"',
}


@behave.given(
    'an answer of the store with the rows "a, b" and one that {what}'
)
def store_answer(context, what):
    rows = [
        b'{"key":"a","ver":1,"value":"YQ=="}',
        _STORE_ROWS[what],
        b'{"key":"b","ver":2,"value":"Yg=="}',
    ]
    context.body = (
        b'{"ver":9,"has_more":true,"now_ms":5,"rows":['
        + b','.join(rows)
        + b']}'
    )


@behave.when('the answer is decoded')
def decode_answer(context):
    context.rows_answer = stores._rows_answer(context.body)


@behave.then('it has the values of "a, b", and {rest}')
def answer_values(context, rest):
    expected = {'a': (1, b'a'), 'b': (2, b'b')}
    if rest == 'an empty value':
        expected['odd'] = (3, b'')
    answer = context.rows_answer
    values = {row.key: (row.version, row.value) for row in answer.rows}
    assert values == expected, values
    assert (answer.version, answer.has_more, answer.now_ms) == (9, True, 5)


_JSON = strategies.recursive(
    _NUMBERS | strategies.text(max_size=5) | strategies.none(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['ver', 'rows', 'key', 'value', 'deleted', 'now_ms']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


@behave.then('any bytes are an answer of the store or count as an outage')
def any_store_answer(context):
    @SETTINGS
    @hypothesis.given(
        strategies.binary() | _JSON.map(lambda raw: json.dumps(raw).encode())
    )
    def check(body):
        try:
            answer = stores._rows_answer(body)
        except stores.StoreUnavailable as error:
            assert len(str(error)) <= 300
            return
        # Entries relay the rows to one another.
        assert msgspec.msgpack.encode(answer)

    check()


_CONTENTS = {
    'configuration': {
        'version': 7,
        'routes': {
            'name': 'r',
            'host': 'h.example',
            'prefix': '/a/',
            'kind': 'idempotent',
            'timeout_ms': 2500,
            'target_latency_ms': 300,
            'priority': 1,
            'service': 'desk',
        },
        'tenants': {'name': 'acme', 'api_keys': ['k'], 'priority': 1},
    },
    'order': {'service': 'desk', 'to': 'v2', 'duration_s': 12},
    'status': {'state': 'running', 'to': 'v2', 'order': 3, 'began_ms': 5},
    'settings file': {
        'instance_id': 'entry-0',
        'failure_domain': 'fd-0',
        'ip': '127.0.0.1',
        'caller_address': '127.0.0.1:1',
        'readiness_address': '127.0.0.1:2',
        'directory_address': '127.0.0.1:3',
        'control_address': '127.0.0.1:4',
        'peer_ports': [5, 9],
        'store_address': '127.0.0.1:6',
        'stop_limit_s': 8,
        'memory_mb': 128,
    },
}
_LISTS = ('routes', 'tenants')
_ODD_VALUES = {
    'nested deeply': NESTED,
    'a number too large': b'9' * 400,
    'above 10^300': b'1e301',
    'below zero': b'-1',
    'not UTF-8': b'"\xff"',
    'in another script': '"127.0.0.1:٨٠"'.encode(),
}
_DECODERS = {
    'configuration': (
        wire_configuration.decode,
        wire_configuration.InvalidConfiguration,
    ),
    'order': (
        lambda content: wire_rollouts.decode_order(content, 1),
        wire_rollouts.InvalidRollout,
    ),
    'status': (
        lambda content: wire_rollouts.decode_status(content, 1),
        wire_rollouts.InvalidRollout,
    ),
    'settings file': (wire_settings.decode, wire_settings.SettingsError),
}


def _encode(raw):
    """Encode content; the objects of lists stand alone in it."""
    return json.dumps(
        {
            name: [value] if name in _LISTS else value
            for name, value in raw.items()
        }
    ).encode()


@behave.when('a {kind} in which "{field}" is {value} is decoded')
def decode_odd(context, kind, field, value):
    raw = json.loads(json.dumps(_CONTENTS[kind]))
    decode, error_type = _DECODERS[kind]
    # The content as such is valid.
    decode(_encode(raw))
    *path, last = field.split('.')
    target = raw
    for name in path:
        target = target[name]
    target[int(last) if last.isdigit() else last] = 'REPLACED'
    content = _encode(raw).replace(b'"REPLACED"', _ODD_VALUES[value])
    context.refusal = None
    try:
        decode(content)
    except error_type as error:
        context.refusal = str(error)


@behave.then('it is refused for a reason of at most {limit:d} characters')
def is_refused(context, limit):
    assert context.refusal is not None
    assert len(context.refusal) <= limit, context.refusal


@strategies.composite
def _changed_content(draw, raw):
    changed = dict(raw)
    for name in draw(strategies.sets(strategies.sampled_from(list(raw)))):
        changed[name] = draw(_VALUES)
    for name in set(_LISTS) & set(raw):
        inner = dict(raw[name])
        for field in draw(strategies.sets(strategies.sampled_from([*inner]))):
            inner[field] = draw(_VALUES)
        changed[name] = inner
    return _encode(changed)


@behave.then('any bytes are a {kind} or are refused')
def any_content(context, kind):
    decode, error_type = _DECODERS[kind]

    @SETTINGS
    @hypothesis.given(strategies.binary() | _changed_content(_CONTENTS[kind]))
    def check(content):
        try:
            decode(content)
        except error_type:
            return

    check()
