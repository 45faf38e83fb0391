"""Finds the route of a request path."""

from __future__ import annotations

from collections.abc import Iterable

from godwitvalve.text import model


def _segments(path: str) -> list[str]:
    return path.split('/')


def _is_variable(segment: str) -> bool:
    return segment.startswith('{') and segment.endswith('}')


def _matches(pattern: list[str], segments: list[str]) -> bool:
    return len(pattern) == len(segments) and all(
        bool(given) if _is_variable(wanted) else wanted == given
        for wanted, given in zip(pattern, segments)
    )


class RouteTable:
    """Routes of a service; fixed paths take precedence over variable ones."""

    def __init__(self, listed: Iterable[model.RouteText]) -> None:
        self._fixed: dict[tuple[str, str], model.RouteText] = {}
        self._variable: list[tuple[list[str], model.RouteText]] = []
        for route in listed:
            pattern = _segments(route.path)
            if any(map(_is_variable, pattern)):
                self._variable.append((pattern, route))
            else:
                self._fixed[route.method, route.path] = route

    def find(self, method: str, path: str) -> model.RouteText | None:
        """Return the first matching route, or None."""
        fixed = self._fixed.get((method, path))
        if fixed is not None:
            return fixed
        segments = _segments(path)
        return next(
            (
                route
                for pattern, route in self._variable
                if route.method == method and _matches(pattern, segments)
            ),
            None,
        )
