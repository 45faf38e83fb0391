"""Steps for the hosts and targets of requests."""

from __future__ import annotations

import asyncio

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes

CALL = forwarding_site.route(routes.RequestKind.ONCE)


def _ask(context, host, target, its_route=CALL):
    async def run():
        script = [scripted_endpoint.answer()]
        ingress = ingress_site.IngressSite([[script]], its_route)
        async with ingress.running():
            context.result = await ingress.ask(host=host, target=target)
        (context.endpoint,) = ingress.scripted

    asyncio.run(run())


@behave.when('a caller asks host "{host}" for "{target}"')
def ask_host(context, host, target):
    _ask(context, host, target)


@behave.when('a route of host "{configured}" is called at host "{host}"')
def ask_configured(context, configured, host):
    _ask(context, host, '', CALL._replace(host=configured))


@behave.then('the caller of the target gets status {status:d}')
def target_status(context, status):
    assert context.result.status == status, context.result


@behave.then('the endpoint got the path "{path}" and the host "{host}"')
def got_path(context, path, host):
    (head,) = context.endpoint.heads
    assert head.startswith(f'post {path} http/1.1\r\n'), head
    hosts = [
        line.partition(':')[2].strip()
        for line in head.splitlines()
        if line.startswith('host:')
    ]
    assert hosts == [host], head
