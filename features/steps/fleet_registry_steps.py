"""Steps for the registry of endpoints."""

from __future__ import annotations

import behave
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import registry

_START_MS = 1_000


def endpoint(name, address='', leaving=False, started_ms=_START_MS):
    return endpoints.FleetEndpoint(
        name,
        'summaries',
        address or f'10.0.0.{ord(name)}:80',
        'fd-1',
        'v1',
        8,
        leaving,
        started_ms,
    )


def _write(context, row):
    context.row_version += 1
    context.registry.update(row, context.row_version)


@behave.given('a registry with the endpoints "{names}"')
def registry_with(context, names):
    context.registry = registry.EndpointRegistry()
    context.registry.mark_store_available(-100.0)
    context.row_version = 0
    for name in names.split(', '):
        _write(context, endpoint(name))


@behave.given('an empty registry')
def empty_registry(context):
    context.registry = registry.EndpointRegistry()


@behave.when('"{name}" is reported as restarted')
def reported_restarted(context, name):
    context.registry.add_provisional(endpoint(name))


@behave.when('another entry lists "{names}"')
def peer_lists(context, names):
    context.registry.load_listed(
        [endpoint(each) for each in names.split(', ')]
    )


@behave.given('a registry that started with "{names}" from another entry')
def started_from_peer(context, names):
    context.registry = registry.EndpointRegistry()
    peer_lists(context, names)


@behave.when(
    'the store answers for the first time at {now_s:g} s and lists "{names}"'
)
def first_answer(context, now_s, names):
    context.registry.mark_store_available(now_s)
    rows = {name: (endpoint(name), 1) for name in names.split(', ')}
    context.registry.apply_snapshot(rows, 1, now_s)


@behave.when(
    'the store fails first, then answers at {now_s:g} s and lists "{names}"'
)
def first_answer_after_failure(context, now_s, names):
    context.registry.mark_store_unavailable()
    first_answer(context, now_s, names)


@behave.when('the store is unavailable and returns at {now_s:g} s')
def store_returns(context, now_s):
    context.registry.mark_store_unavailable()
    context.registry.mark_store_available(now_s)


@behave.when('the row of "{name}" is removed at {now_s:g} s')
def row_removed(context, name, now_s):
    context.row_version += 1
    context.registry.remove(name, context.row_version, now_s)


@behave.when('the row of "{name}" does not change')
def row_unchanged(context, name):
    pass


@behave.when('"{name}" is reported to leave')
def another_entry_reports(context, name):
    start_ms = context.registry.get(name).started_wall_ms
    assert context.registry.mark_leaving(name, start_ms)


@behave.when('the row of "{name}" is the one from before it left')
def earlier_row_written(context, name):
    _write(context, endpoint(name))


@behave.when('the row of "{name}" is written again')
def row_written(context, name):
    _write(context, context.registry.get(name) or endpoint(name))


@behave.when('another endpoint answers at the address of "{name}"')
@behave.when(
    'another entry reports that the first start of "{name}" was replaced'
)
def replaced(context, name):
    context.registry.mark_replaced(name, _START_MS)


@behave.when('another entry reports that the first start of "{name}" leaves')
def reported_leaving(context, name):
    context.registry.mark_leaving(name, _START_MS)


@behave.when('"{name}" states in an answer that it leaves at {now_s:g} s')
def states_leaving(context, name, now_s):
    context.registry.record_stated_leaving(context.registry.get(name), now_s)


@behave.when(
    'the first start of "{name}" states in an answer that it leaves at '
    '{now_s:g} s'
)
def first_start_states_leaving(context, name, now_s):
    context.registry.record_stated_leaving(endpoint(name), now_s)


@behave.when('"{name}" is healthy and does not leave')
def does_not_leave(context, name):
    context.registry.withdraw_leaving(context.registry.get(name))


@behave.then('"{names}" are to be asked again at {now_s:g} s')
def asked_again(context, names, now_s):
    due = context.registry.due_confirmations(now_s)
    found = ', '.join(each.endpoint_id for each in due) or 'none'
    assert found == names, found


@behave.then('"{names}" are reported as leaving')
def are_reported_leaving(context, names):
    found = [name for name, _ in context.registry.leaving()] or ['none']
    assert found == names.split(', '), found


@behave.when('the row of "{name}" has a later start')
def later_start(context, name):
    _write(context, endpoint(name, started_ms=_START_MS + 1))


@behave.when('"{new}" is added at the address of "{old}" during an outage')
def provisional(context, new, old):
    context.registry.mark_store_unavailable()
    context.registry.add_provisional(
        endpoint(new, context.registry.get(old).address, started_ms=0)
    )


@behave.when(
    '"{new}" is added at the address of "{old}" while the store answers'
)
def not_provisional(context, new, old):
    context.registry.add_provisional(
        endpoint(new, context.registry.get(old).address, started_ms=0)
    )


@behave.when('the row of "{name}" is marked as leaving')
def row_leaves(context, name):
    _write(context, endpoint(name, leaving=True))


@behave.when('an older row of "{name}" arrives')
def older_row(context, name):
    context.registry.update(endpoint(name), 1)


@behave.then('"{names}" are usable at {now_s:g} s')
def usable(context, names, now_s):
    context.registry.expire(now_s)
    found = {each.endpoint_id for each in context.registry.usable('summaries')}
    assert found == set(names.split(', ')), found


@behave.when('"{name}" announces that it leaves')
def announces_leaving(context, name):
    _write(context, endpoint(name, leaving=True))


@behave.given('the row of "{name}" expires')
def row_expires(context, name):
    context.row_version += 1
    assert context.registry.remove(name, context.row_version, 10.0)


@behave.given('the row of "{name}" expires and comes back in a whole table')
def row_comes_back(context, name):
    rows = [*context.registry.all()]
    row_expires(context, name)
    context.row_version += 1
    version = context.row_version
    context.registry.apply_snapshot(
        {each.endpoint_id: (each, version) for each in rows}, version, 12.0
    )


@behave.when('the store is away from {from_s:g} s until {until_s:g} s')
def store_away(context, from_s, until_s):
    context.registry.expire(from_s)
    context.registry.mark_store_unavailable()
    context.registry.expire(until_s - 0.1)
    context.registry.mark_store_available(until_s)


@behave.then('no endpoint is reported as leaving')
def none_reported(context):
    assert context.registry.leaving() == []


@behave.when('"{name}" announces that it leaves at row version {version:d}')
def announces_leaving_at(context, name, version):
    context.registry.update(endpoint(name, leaving=True), version)


def _restore(context, now_s, rows):
    context.registry.mark_store_restored(now_s)
    context.row_version = 1
    context.registry.apply_snapshot(
        {each.endpoint_id: (each, 1) for each in rows}, 1, now_s
    )


@behave.when('the whole table is read at {now_s:g} s and lists "{names}"')
def table_read(context, now_s, names):
    context.row_version += 1
    version = context.row_version
    context.registry.apply_snapshot(
        {each: (endpoint(each), version) for each in names.split(', ')},
        version,
        now_s,
    )


@behave.when('the store is restored at {now_s:g} s and lists "{names}"')
def store_restored(context, now_s, names):
    _restore(context, now_s, [endpoint(each) for each in names.split(', ')])


@behave.when(
    'the store is restored at {now_s:g} s with another start of "{name}" '
    'beside "{names}"'
)
def lists_other_start(context, now_s, name, names):
    listed = [endpoint(each) for each in names.split(', ')]
    restarted = endpoint(name, started_ms=2 * _START_MS)
    _restore(context, now_s, [*listed, restarted])


@behave.given(
    'a registry with the endpoints "{names}" in which only their service is '
    'known'
)
def registry_with_service(context, names):
    context.registry = registry.EndpointRegistry(
        lambda service: service == 'summaries'
    )
    context.registry.mark_store_available(-100.0)
    context.row_version = 0
    for name in names.split(', '):
        _write(context, endpoint(name))


def _address(name):
    return endpoint(name).address


@behave.when('the row of "{name}" is written with the address of "{other}"')
def written_with_address(context, name, other):
    _write(context, endpoint(name, _address(other)))


@behave.when(
    'the row of "{name}" of another service is written with the address of '
    '"{other}"'
)
def other_service_with_address(context, name, other):
    row = endpoint(name, _address(other))._replace(service='unknown')
    _write(context, row)


@behave.when('"{name}" turns out to be replaced')
def turns_out_replaced(context, name):
    context.registry.mark_replaced(name, _START_MS)
