"""Completion requests of callers."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Annotated

import msgpack
import pydantic

from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome

MAX_PROMPT_CHARACTERS = 400_000
MAX_TOKENS = 65_536
MAX_SEED = 2**63 - 1
# Fits a prompt of four-byte characters and all token ids of the longest
# answer.
MAX_BODY_BYTES = 4 * MAX_PROMPT_CHARACTERS + 11 * MAX_TOKENS + 4096
MAX_REPORTED_ERRORS = 10
_PREFIX_HINT_CHARACTERS = 256

_TokenId = Annotated[int, pydantic.Field(ge=0, le=2**32 - 1)]


@dataclasses.dataclass(frozen=True)
class CompletionRequest:
    """Body of ``POST /v1/completions``.

    :param model: name of the service.
    :param prompt: text to continue.
    :param max_tokens: length limit of the answer, including resumed tokens.
    :param stream: whether to answer with server-sent events.
    :param seed: sampling seed; chosen at random by the entry if absent.
    :param priority: 0 is the lowest.
    :param resume_token_ids: tokens that the caller already has.
    :param deadline_wall_s: Unix seconds at which the caller stops waiting.
    """

    model: Annotated[str, pydantic.Field(min_length=1, max_length=128)]
    prompt: Annotated[str, pydantic.Field(max_length=MAX_PROMPT_CHARACTERS)]
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=MAX_TOKENS)] = 256
    stream: bool = True
    seed: Annotated[int, pydantic.Field(ge=0, le=MAX_SEED)] | None = None
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    resume_token_ids: (
        Annotated[tuple[_TokenId, ...], pydantic.Field(max_length=MAX_TOKENS)]
        | None
    ) = None
    deadline_wall_s: (
        Annotated[
            float,
            pydantic.Field(ge=0, le=1e11, allow_inf_nan=False, strict=False),
        ]
        | None
    ) = None

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid', strict=True)

    def digest(self) -> bytes:
        """Return the digest that binds a resume id to this request."""
        fields = (
            self.model,
            self.prompt,
            self.max_tokens,
            self.seed,
            self.priority,
        )
        packed = msgpack.packb(fields)
        return hashlib.blake2b(packed, digest_size=16).digest()

    def prefix_hint(self) -> str:
        """Return a short hash shared by prompts with the same beginning."""
        start = f'{self.model}\0{self.prompt[:_PREFIX_HINT_CHARACTERS]}'
        return hashlib.blake2b(start.encode(), digest_size=8).hexdigest()


_ADAPTER = pydantic.TypeAdapter(CompletionRequest)


def _describe_errors(error: pydantic.ValidationError) -> str:
    found = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    lines = [
        f'{".".join(str(step) for step in item["loc"])}: {item["msg"]}'
        for item in found[:MAX_REPORTED_ERRORS]
    ]
    return '; '.join(lines)


def parse(body: bytes) -> CompletionRequest | outcome.NotRun:
    """Return the validated request.

    :param body: JSON body as the caller sent it.
    :returns: a refusal that names the invalid fields.
    """
    if len(body) > MAX_BODY_BYTES:
        return outcome.NotRun(codes.ResultCode.BODY_TOO_LARGE)
    try:
        request = _ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        return outcome.NotRun(
            codes.ResultCode.BAD_REQUEST, _describe_errors(error)
        )
    resumed = request.resume_token_ids
    if resumed is not None and len(resumed) > request.max_tokens:
        return outcome.NotRun(
            codes.ResultCode.BAD_REQUEST,
            'resume_token_ids: longer than max_tokens',
        )
    return request
