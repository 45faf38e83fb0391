"""Speeds of streams with prompts of a usual size."""

from __future__ import annotations

from godwitvalve.placement import prompt_times
from godwitvalve.placement import speed

PROMPT_TOKENS = 8000
MAX_OUTPUT_TOKENS = 1000


def observation(
    token_ms,
    event_ms,
    events_per_token,
    prompt_tokens=PROMPT_TOKENS,
    max_output_tokens=MAX_OUTPUT_TOKENS,
):
    """Return what a stream with a prompt of a usual size shows."""
    prompt = prompt_times.PromptTime(prompt_tokens, token_ms * prompt_tokens)
    return speed.SpeedObservation(
        prompt, event_ms, events_per_token, max_output_tokens
    )


def estimate(token_ms, event_ms, events_per_token):
    """Return an estimate from streams with prompts of a usual size."""
    observed = observation(token_ms, event_ms, events_per_token)
    return speed.SpeedEstimate((observed.prompt,), *observed[1:3])
