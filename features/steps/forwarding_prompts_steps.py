"""Steps for streams with prompts of different sizes."""

from __future__ import annotations

import asyncio

import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.steps import forwarding_steps
from godwitvalve.forwarding import replies

LEFT_S = 10.0
# A token of output for an event, or somewhat less.
MAX_OUTPUT_TOKENS = 60


@behave.given(
    'stream endpoints that take {first_s:g} s to their first of {count:d} '
    'events'
)
def endpoint_with_events(context, first_s, count):
    context.script = [
        first_s,
        scripted_endpoint.STREAM_HEAD,
        *(scripted_endpoint.event(each) for each in range(1, count + 1)),
        scripted_endpoint.STREAM_END,
    ]
    context.prompts = []


@behave.when('a stream of {tokens:d} prompt tokens is made')
def add_prompt(context, tokens):
    context.prompts.append(tokens)


@behave.then(
    'the callers of both get the events {first:d} to {last:d} and the end'
)
def both_complete(context, first, last):
    async def run():
        endpoint = scripted_endpoint.ScriptedEndpoint(
            *(context.script for _ in context.prompts)
        )
        await endpoint.start()
        site = forwarding_site.ForwardingSite([endpoint])
        site.max_output_tokens = MAX_OUTPUT_TOKENS
        found = []
        for number, tokens in enumerate(context.prompts):
            site.prompt_tokens = tokens
            found.append(
                await site.stream(
                    forwarding_steps.STREAM, LEFT_S, request_id=f'r-{number}'
                )
            )
        await endpoint.stop()
        return found

    expected = forwarding_steps.events_between(first, last)
    for reply, sink in asyncio.run(run()):
        assert reply == replies.Streamed(True), reply
        assert sink.content == expected, sink.content
