"""Finds unknown, retired and circular dependencies between services."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from godwitvalve.text import errors
from godwitvalve.text import model


class Dependency(NamedTuple):
    """A service, or one version of it, that another service needs.

    :param version: empty if any version is sufficient.
    """

    service: str
    version: str


def parse(name: str) -> Dependency:
    """Split ``service`` or ``service/version``."""
    service, _, version = name.partition('/')
    return Dependency(service, version)


def _problem(text: model.Text, dependency: Dependency) -> str:
    service = text.services.get(dependency.service)
    if service is None:
        return f'there is no service {dependency.service}'
    if not dependency.version:
        return ''
    version = service.versions.get(dependency.version)
    if version is None:
        return f'{dependency.service} has no version {dependency.version}'
    if version.retire:
        return f'{dependency.service}/{dependency.version} is retired'
    return ''


def _edge_errors(text: model.Text) -> Iterator[errors.TextError]:
    for name, service in text.services.items():
        for index, dependency in enumerate(service.depends_on):
            problem = _problem(text, parse(dependency))
            if problem:
                path = f'services.{name}.depends_on.{index}'
                yield errors.TextError(path, problem)


def _edges(text: model.Text) -> dict[str, list[str]]:
    return {
        name: [
            parse(dependency).service
            for dependency in service.depends_on
            if parse(dependency).service in text.services
        ]
        for name, service in text.services.items()
    }


def _cycle_from(
    start: str, edges: Mapping[str, list[str]], done: set[str]
) -> list[str]:
    """Return a cycle that is reachable from a service, or an empty list."""
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
    """Return the errors for invalid dependencies and for cycles.

    Each cycle is reported once; a service in several cycles is reported with
    one of them.
    """
    return [*_edge_errors(text), *_cycle_errors(text)]
