"""A small site with a model service and a portal, for demo and tests."""

from __future__ import annotations

import datetime
import hashlib
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from standins import local_site

CREDENTIAL = 'a-long-random-key-of-the-portal-account'
ACCOUNT = 'portal-web'
MODEL = 'summaries'
PORTAL = 'portal'
CALLER_LIMIT_S = 60
FAILURE_DOMAINS = ('fd-1', 'fd-2')


def key_hash(credential: str) -> str:
    """Return the hash that a configuration text lists for a credential."""
    return hashlib.blake2b(credential.encode(), digest_size=32).hexdigest()


def done_by(after_s: float) -> str:
    """Return a future time in the format of the configuration text.

    :param after_s: seconds from now.
    """
    ahead = datetime.timedelta(seconds=after_s)
    return (datetime.datetime.now(datetime.UTC) + ahead).isoformat()


def version(done_by_time: str | None = None, **fields: Any) -> dict[str, Any]:
    """Return a version that discovers its endpoints."""
    return {'discover': True, 'done_by': done_by_time, **fields}


def build_text(
    portal_versions: dict[str, Any],
    model_versions: dict[str, Any] | None = None,
    **limits: Any,
) -> dict[str, Any]:
    """Return a text with two services and one client account."""
    account = {
        'key_hashes': [key_hash(CREDENTIAL)],
        'requests_per_s': 500,
        'tokens_per_s': 500_000,
        'concurrent': 200,
        'priority': 5,
        **limits,
    }
    models = model_versions or {'v1': version(weights='summaries-v1')}
    return {
        'services': {
            MODEL: {'kind': 'model', 'versions': models},
            PORTAL: {
                'kind': 'plain',
                'versions': portal_versions,
                'routes': [
                    {
                        'method': 'POST',
                        'path': '/complaints',
                        'repeatable': False,
                    },
                    {
                        'method': 'GET',
                        'path': '/cases/{case}',
                        'repeatable': True,
                    },
                ],
            },
        },
        'client_accounts': {ACCOUNT: account},
    }


class SmallSite(local_site.LocalSite):
    """Engines and portal replicas in two failure domains."""

    def start(
        self, entries: int = 3, engines: int = 2, *engine_options: str
    ) -> None:
        """Start platform, endpoints and entry instances."""
        self.start_platform()
        self.store_weights('summaries-v1')
        for number in range(1, engines + 1):
            self.start_engine(
                local_site.EndpointSpec(
                    f'engine-{number}', MODEL, 'v1', _domain(number)
                ),
                *engine_options,
            )
        self.start_portal('v1', 2)
        for number in range(1, entries + 1):
            self.start_entry(f'entry-{number}', _domain(number))

    def store_weights(self, name: str) -> None:
        """Add weights to the platform's weight store."""
        local_site.http_json('PUT', f'{self.platform_url}/weights/{name}')

    def start_portal(self, portal_version: str, replicas: int) -> None:
        """Start the replicas of one version of the portal."""
        for number in range(1, replicas + 1):
            name = f'{PORTAL}-{portal_version}-{number}'
            self.start_plain(
                local_site.EndpointSpec(
                    name, PORTAL, portal_version, _domain(number)
                )
            )

    def apply(
        self, text: dict[str, Any], base: int
    ) -> subprocess.CompletedProcess[str]:
        """Apply a configuration text with the operator command."""
        path = self.folder / f'text-{base}.json5'
        path.write_text('// the services of a small site\n' + json.dumps(text))
        return self.run_operator('apply', str(path), '--base', str(base))

    def entry_ids(self) -> list[str]:
        """Return the ids of the entry instances that were started."""
        return [
            member.name
            for member in self.members.values()
            if member.kind == 'entry'
        ]

    def addresses(self) -> list[str]:
        """Return the addresses of all entry instances."""
        return [self.members[name].address for name in self.entry_ids()]

    def start_caller(self, *arguments: str) -> subprocess.Popen[str]:
        """Start the reference caller with the addresses of all entries."""
        address_options = [
            option
            for address in self.addresses()
            for option in ('--address', address)
        ]
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'godwitvalve.caller.main',
                *arguments,
                *address_options,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, 'GODWITVALVE_CREDENTIAL': CREDENTIAL},
        )

    def call(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the reference caller until it exits."""
        caller = self.start_caller(*arguments)
        out, err = caller.communicate(timeout=CALLER_LIMIT_S)
        return subprocess.CompletedProcess(
            arguments, caller.returncode, out, err
        )

    def log(self, name: str) -> Any:
        """Return the log of a stand-in."""
        return local_site.http_json('GET', f'{self.url(name)}/log')


def new_site(folder: str) -> SmallSite:
    """Return a site that stores its files in a folder."""
    return SmallSite(pathlib.Path(folder))


def _domain(number: int) -> str:
    return FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)]
