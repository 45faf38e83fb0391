"""Steps for names of client accounts."""

from __future__ import annotations

import json

import behave
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import headers

KEY = 'key-1'
CHARACTERS = {r'\r\n': '\r\n', r'\n': '\n', r'\0': '\0', r'\x7f': '\x7f'}


def _decode(name):
    account = {'name': name, 'api_keys': [KEY]}
    content = json.dumps({'version': 1, 'tenants': [account]})
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


@behave.then(
    'a configuration with "{character}" in the name of a client account is '
    'invalid'
)
def account_invalid(context, character):
    for name in (CHARACTERS[character], f'a{CHARACTERS[character]}Tenant: b'):
        try:
            _decode(name)
        except wire_configuration.InvalidConfiguration:
            continue
        raise AssertionError(f'{name!r} is valid')
