"""Checks a text and reports all its errors together."""

from __future__ import annotations

import dataclasses
from typing import Any, TypeAlias

import orjson
import pydantic
import pyjson5

from godwitvalve.text import duplicate_keys
from godwitvalve.text import errors
from godwitvalve.text import model
from godwitvalve.text import parts
from godwitvalve.text import rules

MAX_TEXT_BYTES = 16 * 1024 * 1024
# A text nests 7 levels deep.
_MAX_DEPTH = 16
MAX_ERRORS = 200

_ADAPTER = pydantic.TypeAdapter(model.Text)


@dataclasses.dataclass(frozen=True)
class Valid:
    """The text may be applied."""

    text: model.Text


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The text has errors; the first ``MAX_ERRORS`` are given."""

    errors: tuple[errors.TextError, ...]


CheckOutcome: TypeAlias = Valid | Invalid


def _text_error(message: str) -> Invalid:
    return Invalid((errors.TextError('(text)', message),))


def _limited(found: list[errors.TextError]) -> Invalid:
    return Invalid(tuple(found[:MAX_ERRORS]))


def _schema_errors(error: pydantic.ValidationError) -> list[errors.TextError]:
    return [
        errors.TextError(errors.join_path(item['loc']), item['msg'])
        for item in error.errors(include_url=False, include_input=False)
    ]


def _part_errors(text: model.Text) -> list[errors.TextError]:
    return [
        errors.TextError(
            name, f'part is larger than {parts.MAX_PART_BYTES} bytes'
        )
        for name, part in parts.split(text).items()
        if len(part.body) > parts.MAX_PART_BYTES
    ]


def _decode(body: bytes) -> Any:
    return pyjson5.decode(body.decode(), maxdepth=_MAX_DEPTH)


def check(body: bytes) -> CheckOutcome:
    """Check a text in JSON with comments.

    :param body: contents of the file, in UTF-8.
    :returns: the typed text or the errors that were found.
    """
    if len(body) > MAX_TEXT_BYTES:
        return _text_error(f'larger than {MAX_TEXT_BYTES} bytes')
    try:
        raw = _decode(body)
        plain = orjson.dumps(raw)
    except UnicodeDecodeError as error:
        return _text_error(f'not UTF-8 at byte {error.start}')
    except pyjson5.Json5Exception as error:
        return _text_error(f'not JSON: {error.args[0]}')
    except (TypeError, ValueError, RecursionError) as error:
        return _text_error(f'not JSON: {error}')
    found = duplicate_keys.find(body.decode())
    try:
        text = _ADAPTER.validate_json(plain)
    except pydantic.ValidationError as error:
        return _limited(found + _schema_errors(error))
    found += rules.find_errors(text)
    found += [] if found else _part_errors(text)
    return _limited(found) if found else Valid(text)
