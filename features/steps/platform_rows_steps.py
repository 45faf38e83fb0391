"""Steps for odd rows in the platform's store."""

from __future__ import annotations

import json
import logging

import behave
from godwitvalve.fleet import consumers
from godwitvalve.fleet import state as states
from godwitvalve.placement import choose
from godwitvalve.placement import tracker
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import headers
from godwitvalve.platform import store as stores
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


ODD_ROWS = {
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
    context.consumer.apply_snapshot(context.rows, 3)


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


class _Lines(logging.Handler):
    """Keeps the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@behave.when('the table of endpoints is read {count:d} times')
def read_table_often(context, count):
    context.log = _Lines()
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
