"""Finds new moves whose deadline has already passed."""

from __future__ import annotations

from godwitvalve.text import errors
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import versions


def _moves(service: model.ServiceText) -> list[str]:
    """Return the versions that traffic can move to."""
    usable = [
        name
        for name in versions.ordered(service)
        if not service.versions[name].retire
    ]
    return usable[1:]


def find_late_moves(
    text: model.Text, head: text_head.Head, now_wall_s: float
) -> list[errors.TextError]:
    """Return an error for each new move whose deadline has passed.

    :param head: head that would be written with the text.
    :param now_wall_s: Unix seconds, the same as in the head.
    """
    found = []
    for service_name, service in text.services.items():
        for name in _moves(service):
            start = head.version_starts[f'{service_name}/{name}']
            deadline_s = versions.done_by_wall_s(service.versions[name])
            is_new = start.started_wall_s == now_wall_s
            if is_new and deadline_s is not None and deadline_s <= now_wall_s:
                path = f'services.{service_name}.versions.{name}.done_by'
                message = 'the time has passed already'
                found.append(errors.TextError(path, message))
    return found
