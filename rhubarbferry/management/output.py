"""Print results as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Literal

import attrs

Format = Literal["table", "json"]
COLUMN_SEPARATOR = "  "


def print_rows(rows: Sequence[Any], *, kind: type, format: Format) -> None:
    """Print attrs objects of one class, one row for each.

    :param kind: class of the objects; its fields are the columns, also without rows.
    """
    if format == "json":
        print(json.dumps([attrs.asdict(row) for row in rows], default=str))
        return
    print(format_table(rows, kind=kind))


def format_table(rows: Sequence[Any], *, kind: type) -> str:
    """Return attrs objects of one class as a table."""
    columns = [field.name for field in attrs.fields(kind)]
    table = [[name.upper().replace("_", " ") for name in columns]]
    table += [[_format_cell(getattr(row, name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    padded = [
        COLUMN_SEPARATOR.join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in table
    ]
    return "\n".join(line.rstrip() for line in padded)


def print_record(value: Any, *, format: Format) -> None:
    """Print one attrs object, one line for each field."""
    if format == "json":
        print(json.dumps(attrs.asdict(value), default=str))
        return
    for field in attrs.fields(type(value)):
        print(f"{field.name.replace('_', ' ')}: {_format_cell(getattr(value, field.name))}")


def _format_cell(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}"
        case list() | tuple():
            return ", ".join(str(part) for part in value)
        case _:
            return str(value)
