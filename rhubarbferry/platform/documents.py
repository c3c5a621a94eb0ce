"""Decode JSON documents that other programs write, without trusting their contents."""

from __future__ import annotations

import json
from typing import Any

# Largest integer that every JSON implementation represents exactly.
MAX_INTEGER = 2**53 - 1
# What the decoding of a document with missing fields or fields of other types may raise.
DECODE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


class InvalidDocument(ValueError):
    """The value is not JSON, or a field has another type or is out of range."""


def decode_json(value: bytes | str) -> Any:
    """Decode a JSON document.

    :raises InvalidDocument: when the value is not JSON; ``Infinity`` and ``NaN`` are not.
    """
    try:
        return json.loads(value, parse_constant=_refuse_constant)
    except RecursionError as exc:
        raise InvalidDocument("too deeply nested") from exc
    except ValueError as exc:
        raise InvalidDocument(f"not JSON: {exc}") from exc


def _refuse_constant(name: str) -> float:
    raise InvalidDocument(f"{name} is not a JSON number")


def read_text(value: Any) -> str:
    """Return a string that can be encoded as UTF-8.

    :raises InvalidDocument: when the value is not one.
    """
    if not isinstance(value, str):
        raise InvalidDocument(f"not a string: {value!r:.100}")
    try:
        value.encode()
    except UnicodeEncodeError as exc:
        raise InvalidDocument(f"not a text: {value!r:.100}") from exc
    return value


def read_number(value: Any) -> float:
    """Return a number between ``-MAX_INTEGER`` and ``MAX_INTEGER``.

    :raises InvalidDocument: when the value is not one.
    """
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise InvalidDocument(f"not a number: {value!r:.100}")
    # False for NaN as well.
    if not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise InvalidDocument(f"a number out of range: {value!r:.100}")
    return value


def read_integer(value: Any) -> int:
    """Return a whole number between ``-MAX_INTEGER`` and ``MAX_INTEGER``.

    :raises InvalidDocument: when the value is not one.
    """
    number = read_number(value)
    if number != int(number):
        raise InvalidDocument(f"not a whole number: {value!r:.100}")
    return int(number)


def read_size(value: Any) -> int:
    """Return a whole number between 0 and ``MAX_INTEGER``.

    :raises InvalidDocument: when the value is not one.
    """
    size = read_integer(value)
    if size < 0:
        raise InvalidDocument(f"a negative number: {value!r:.100}")
    return size


def read_list(value: Any) -> list[Any]:
    """Return a list.

    :raises InvalidDocument: when the value is not one.
    """
    if not isinstance(value, list):
        raise InvalidDocument(f"not a list: {value!r:.100}")
    return value
