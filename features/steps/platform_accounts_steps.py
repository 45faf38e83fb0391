"""Steps for names of client accounts."""

from __future__ import annotations

import ast
import json

import behave
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import headers

KEYS = ('key-1', 'key-2')
KEY = KEYS[0]


def _decode(*names):
    accounts = [
        {'name': name, 'api_keys': [f'key-{number}']}
        for number, name in enumerate(names, 1)
    ]
    content = json.dumps({'version': 1, 'tenants': accounts})
    return wire_configuration.decode(content.encode())


@behave.given('a configuration with the client account "{name}"')
def configuration_with_account(context, name):
    context.account = _decode(name).account(KEY)


@behave.when('a request of it is sent to an endpoint')
def request_sent(context):
    facts = headers.SendFacts('i-1', 1000.0, context.account.name)
    context.headers = dict(headers.to_endpoint([], facts, 0))


@behave.then('the endpoint gets the name "{name}" in UTF-8')
def endpoint_gets_name(context, name):
    assert context.headers[b'Tenant'] == name.encode(), context.headers


@behave.given(
    'a configuration with the client account "{name}" and one named {other}'
)
def configuration_with_two(context, name, other):
    context.configuration = _decode(name, ast.literal_eval(other))


@behave.then(
    'both have a valid key, and the other one is named "{sent}" to endpoints'
)
def other_name(context, sent):
    found = [context.configuration.account(key).name for key in KEYS]
    assert found == ['acme', sent], found


@behave.given('a configuration with the idle limit {limit}')
def configuration_with_limit(context, limit):
    content = f'{{"version": 1, "limits": {{"idle_timeout_ms": {limit}}}}}'
    context.configuration = wire_configuration.decode(content.encode())


@behave.then('it is valid and its idle limit is {used_s:g} s')
def idle_limit(context, used_s):
    found = context.configuration.limits.idle_s
    assert found == used_s, found


@behave.given('a configuration with the client accounts {accounts}')
def configuration_with_accounts(context, accounts):
    content = f'{{"version": 1, "tenants": {accounts}}}'
    context.configuration = wire_configuration.decode(content.encode())


@behave.then('a key is {need}')
def key_is(context, need):
    is_needed = context.configuration.requires_key
    assert is_needed == (need == 'needed'), is_needed


@behave.then('a caller without a key has no client account')
def no_account(context):
    facts = headers.read_caller([(b'Host', b'h.example')])
    found = context.configuration.account(facts.key)
    assert found is None, found
