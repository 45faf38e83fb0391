"""Configuration texts for tests: an example and random texts."""

from __future__ import annotations

import copy
import json

from godwitvalve.text import model
from hypothesis import strategies

EXAMPLE = {
    'services': {
        'summaries': {
            'kind': 'model',
            'depends_on': ['case-status'],
            'versions': {
                'v1': {
                    'weights': 'sum-v1',
                    'endpoints': [
                        {
                            'endpoint_id': 'e1',
                            'address': '127.0.0.1:7001',
                            'failure_domain': 'fd-1',
                        }
                    ],
                },
                'v2': {
                    'weights': 'sum-v2',
                    'done_by': '2099-12-04T06:00:00Z',
                    'discover': True,
                },
            },
        },
        'case-status': {
            'kind': 'plain',
            'versions': {'v1': {'discover': True}},
            'routes': [
                {'method': 'POST', 'path': '/complaints', 'repeatable': False},
                {'method': 'GET', 'path': '/cases/{id}', 'repeatable': True},
                {'method': 'GET', 'path': '/cases/open', 'repeatable': True},
            ],
        },
    },
    'client_accounts': {
        'portal': {
            'key_hashes': ['0' * 64],
            'requests_per_s': 50,
            'tokens_per_s': 20000,
            'concurrent': 64,
        }
    },
}


def example() -> dict:
    """Return a copy of the example that a test may change."""
    return copy.deepcopy(EXAMPLE)


def set_key(raw: object, path: str, value: object) -> None:
    """Set the key at a path; None removes it from an object."""
    *parents, last = path.split('.')
    for step in parents:
        raw = raw[int(step)] if isinstance(raw, list) else raw[step]
    if isinstance(raw, list):
        raw[int(last)] = value
    elif value is None:
        raw.pop(last, None)
    else:
        raw[last] = value


def to_bytes(raw: object) -> bytes:
    """Return a text in JSON with a comment."""
    return b'// text of a test\n' + json.dumps(raw).encode()


NAMES = strategies.sampled_from([f'n{index}' for index in range(12)])
ENDPOINTS = strategies.builds(
    model.EndpointText,
    endpoint_id=NAMES,
    address=strategies.just('127.0.0.1:7001'),
    failure_domain=NAMES,
)
VERSIONS = strategies.builds(
    model.VersionText,
    weights=NAMES,
    adapter=strategies.sampled_from(['', 'a1']),
    checks_fencing=strategies.booleans(),
    done_by=strategies.sampled_from([None, '2026-12-04T06:00:00Z']),
    endpoints=strategies.lists(ENDPOINTS, max_size=3).map(tuple),
    discover=strategies.booleans(),
    retire=strategies.booleans(),
)
ROUTES = strategies.builds(
    model.RouteText,
    method=strategies.sampled_from(['GET', 'POST']),
    path=strategies.lists(
        strategies.sampled_from(['a', 'b', '{x}', '{y}']), max_size=3
    ).map(lambda segments: '/' + '/'.join(segments)),
    repeatable=strategies.booleans(),
)
SERVICES = strategies.builds(
    model.ServiceText,
    kind=strategies.sampled_from(['model', 'plain']),
    versions=strategies.dictionaries(NAMES, VERSIONS, max_size=3),
    depends_on=strategies.lists(NAMES, max_size=3).map(tuple),
    routes=strategies.lists(ROUTES, max_size=3).map(tuple),
)
ACCOUNTS = strategies.builds(
    model.ClientAccountText,
    key_hashes=strategies.just(('0' * 64,)),
    requests_per_s=strategies.floats(1, 1000),
    tokens_per_s=strategies.floats(1, 1000),
    concurrent=strategies.integers(1, 100),
    priority=strategies.integers(0, 9),
)
TEXTS = strategies.builds(
    model.Text,
    services=strategies.dictionaries(NAMES, SERVICES, max_size=4),
    client_accounts=strategies.dictionaries(
        strategies.sampled_from([f'a{index}' for index in range(99)]),
        ACCOUNTS,
        max_size=6,
    ),
)
