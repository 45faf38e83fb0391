"""Hooks of the behave suites: every scenario ends what it started."""

from __future__ import annotations


def before_scenario(context, scenario):
    """Give each scenario an empty list of clean-up functions."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Run clean-up functions in reverse order, also after a failure."""
    for cleanup in reversed(context.cleanups):
        cleanup()
