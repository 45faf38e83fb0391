"""Steps for requests whose configuration changes on the way."""

from __future__ import annotations

import asyncio

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from godwitvalve.fleet import routes

# Within the pause of an endpoint, after the request was sent to it.
CHANGE_AFTER_S = 0.05


def _without(part, its_route):
    """Return a configuration that lacks a part of the installed one."""
    found = ingress_site.configuration(
        3,
        [] if part == 'route' else [its_route],
        ('k-2',) if part == 'account' else (ingress_site.KEY,),
    )
    if part == 'service':
        found.services.clear()
    return found


def _remove_endpoints(site):
    for number in range(len(site.scripted)):
        site.state.registry.remove(f'e{number}', 2, 0.0)


def _ask(context, kind, state, change):
    its_route = forwarding_site.route(
        routes.RequestKind(kind), is_public=False
    )

    async def run():
        ingress = ingress_site.IngressSite(context.scripts, its_route)
        async with ingress.running():
            asyncio.get_running_loop().call_later(
                CHANGE_AFTER_S, change, ingress.site, its_route
            )
            body_after_s = 2 * CHANGE_AFTER_S if state == 'is read' else 0.0
            context.result = await ingress.ask(body_after_s=body_after_s)
            await asyncio.sleep(0.05)
        context.reasons = ingress.incomplete_reasons()

    asyncio.run(run())


@behave.when(
    'a {kind} request is sent and a configuration without its {part} is '
    'installed while it {state}'
)
def configuration_changes(context, kind, part, state):
    def change(site, its_route):
        site.state.install(_without(part, its_route))

    _ask(context, kind, state, change)


@behave.when(
    'a {kind} request is sent and the endpoints of its service are removed '
    'while it {state}'
)
def endpoints_removed(context, kind, state):
    _ask(context, kind, state, lambda site, _: _remove_endpoints(site))


@behave.given(
    'endpoint {number:d} is listed again {time_ms:d} ms after all endpoints '
    'were removed'
)
def listed_again(context, number, time_ms):
    def remove(site):
        registry = site.state.registry
        endpoint = registry.get(f'e{number - 1}')
        _remove_endpoints(site)
        asyncio.get_running_loop().call_later(
            time_ms / 1000,
            registry.update,
            endpoint._replace(endpoint_id='e9'),
            3,
        )

    context.prepare = lambda site: site.on_started.append(remove)
