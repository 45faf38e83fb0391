"""Dependencies between services: unknown, retired or circular ones."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from godwitvalve.text import errors
from godwitvalve.text import model


class Dependency(NamedTuple):
    """A service, or one version of it, that another service needs.

    :param version: empty if any version will do.
    """

    service: str
    version: str


def parse(name: str) -> Dependency:
    """Split ``service`` or ``service/version``."""
    service, _, version = name.partition('/')
    return Dependency(service, version)


def _problem(text: model.Text, wanted: Dependency) -> str:
    service = text.services.get(wanted.service)
    if service is None:
        return f'there is no service {wanted.service}'
    if not wanted.version:
        return ''
    version = service.versions.get(wanted.version)
    if version is None:
        return f'{wanted.service} has no version {wanted.version}'
    if version.retire:
        return f'{wanted.service}/{wanted.version} is retired'
    return ''


def _edge_errors(text: model.Text) -> Iterator[errors.TextError]:
    for name, service in text.services.items():
        for index, wanted in enumerate(service.depends_on):
            problem = _problem(text, parse(wanted))
            if problem:
                path = f'services.{name}.depends_on.{index}'
                yield errors.TextError(path, problem)


def _edges(text: model.Text) -> dict[str, list[str]]:
    return {
        name: [
            parse(wanted).service
            for wanted in service.depends_on
            if parse(wanted).service in text.services
        ]
        for name, service in text.services.items()
    }


def _cycle_from(
    start: str, edges: Mapping[str, list[str]], done: set[str]
) -> list[str]:
    """Return one cycle that is reachable from a service, or nothing."""
    path = [start]
    pending = [iter(edges[start])]
    while pending:
        following = next(pending[-1], None)
        if following is None:
            pending.pop()
            done.add(path.pop())
        elif following in path:
            return [*path[path.index(following) :], following]
        elif following not in done:
            path.append(following)
            pending.append(iter(edges[following]))
    return []


def _cycle_errors(text: model.Text) -> Iterator[errors.TextError]:
    edges = _edges(text)
    done: set[str] = set()
    for name in edges:
        if name in done:
            continue
        cycle = _cycle_from(name, edges, done)
        if cycle:
            done.update(cycle)
            message = f'dependencies form a cycle: {" -> ".join(cycle)}'
            path = f'services.{cycle[0]}.depends_on'
            yield errors.TextError(path, message)


def find_errors(text: model.Text) -> list[errors.TextError]:
    """Return an error for each bad dependency and for cycles.

    Each cycle is reported once; a service that is in several cycles is
    reported with one of them.
    """
    return [*_edge_errors(text), *_cycle_errors(text)]
