"""Steps for callers whose keys were withdrawn."""

from __future__ import annotations

import asyncio
import json

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from godwitvalve.fleet import routes
from godwitvalve.platform import configuration as wire_configuration

NO_KEY = 'no key'
EMPTY_KEY = 'an empty key'


@behave.when('the configuration states the client accounts {accounts}')
def stated_accounts(context, accounts):
    its_route = forwarding_site.route(routes.RequestKind.ONCE)
    content = {
        'version': 3,
        'routes': [
            {
                'name': its_route.name,
                'host': its_route.host,
                'prefix': its_route.prefix,
                'kind': 'non_idempotent',
                'timeout_ms': its_route.limit_ms,
                'target_latency_ms': its_route.objective_ms,
                'service': forwarding_site.SERVICE,
            }
        ],
        'services': [{'name': forwarding_site.SERVICE}],
        'tenants': json.loads(accounts),
    }
    context.configuration = wire_configuration.decode(
        json.dumps(content).encode()
    )
    context.route = its_route


def _ask(context, key):
    key_header = {NO_KEY: '', EMPTY_KEY: 'Api-Key:\r\n'}.get(
        key, f'Api-Key: {key.strip(chr(34))}\r\n'
    )

    async def run():
        ingress = ingress_site.IngressSite(context.scripts, context.route)
        async with ingress.running():
            ingress.site.state.install(context.configuration)
            context.result = await ingress.ask(key_header=key_header)
        context.heads = [
            head for each in ingress.scripted for head in each.heads
        ]

    asyncio.run(run())


@behave.then(
    'a caller with {key} gets status 401 and no endpoint gets its request'
)
def refused(context, key):
    _ask(context, key)
    assert context.result.status == 401, context.result
    assert not context.heads, context.heads


@behave.then(
    'a caller with {key} gets status 200 and an endpoint serves "{name}"'
)
def served(context, key, name):
    _ask(context, key)
    assert context.result.status == 200, context.result
    (head,) = context.heads
    assert f'tenant: {name}\r\n' in head, head
