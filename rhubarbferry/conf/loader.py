"""Read the settings of a process from an INI file and report all problems at once."""

from __future__ import annotations

import configparser
import difflib
from pathlib import Path
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from rhubarbferry.conf.checks import run_checks
from rhubarbferry.conf.problems import Problem, SettingsError
from rhubarbferry.conf.settings import Settings

LIST_SEPARATOR = ","


def load_settings(path: Path) -> Result[Settings, tuple[Problem, ...]]:
    """Read and validate the settings file at ``path``.

    :returns: the settings, or all problems found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem(
            section="", key="", message=f"cannot be read: {exc}", hint="Name a readable INI file"
        )
        return Failure((problem,))
    return parse_settings(text)


def require_settings(path: Path) -> Settings:
    """Return the validated settings of the file at ``path``.

    :raises SettingsError: with all problems, when there are any.
    """
    match load_settings(path):
        case Success(cfg):
            return cfg
        case Failure(problems):
            raise SettingsError(problems)
        case other:
            raise AssertionError(other)


def parse_settings(text: str) -> Result[Settings, tuple[Problem, ...]]:
    """Parse and validate settings from the text of an INI file.

    :returns: the settings, or all problems found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        message = " ".join(str(exc).split())
        hint = "Write [section] lines and key = value lines"
        return Failure((Problem(section="", key="", message=message, hint=hint),))
    problems: list[Problem] = []
    sections = {field.name: field for field in attrs.fields(Settings)}
    values: dict[str, Any] = {}
    for name in parser.sections():
        if name not in sections:
            problems.append(
                _unknown_name_problem("section", name, list(sections), section=name, key="")
            )
            continue
        cls = sections[name].default.factory  # type: ignore[union-attr]
        values[name] = _read_section(cls, name, dict(parser[name]), problems)
    if problems:
        return Failure(tuple(problems))
    cfg = Settings(**values)
    found = run_checks(cfg)
    return Failure(found) if found else Success(cfg)


def _read_section(cls: type, name: str, raw: dict[str, str], problems: list[Problem]) -> Any:
    fields = attrs.fields_dict(cls)
    values: dict[str, Any] = {}
    for key, text in raw.items():
        if key not in fields:
            problems.append(_unknown_name_problem("key", key, list(fields), section=name, key=key))
            continue
        try:
            values[key] = _convert(str(fields[key].type), text)
        except ValueError:
            problems.append(
                Problem(
                    section=name,
                    key=key,
                    message=f"{text!r} is not a valid {fields[key].type}",
                    hint=f"Write it like {fields[key].default!r}",
                )
            )
    return cls(**values)


def _convert(kind: str, text: str) -> Any:
    match kind:
        case "int":
            return int(text)
        case "float":
            return float(text)
        case "bool":
            return _convert_bool(text)
        case "tuple[str, ...]":
            return tuple(part.strip() for part in text.split(LIST_SEPARATOR) if part.strip())
        case _:
            return text


def _convert_bool(text: str) -> bool:
    try:
        return configparser.ConfigParser.BOOLEAN_STATES[text.lower()]
    except KeyError:
        raise ValueError(text) from None


def _unknown_name_problem(
    kind: str, name: str, known: list[str], *, section: str, key: str
) -> Problem:
    close = difflib.get_close_matches(name, known, n=1)
    hint = f"Did you mean {close[0]!r}?" if close else f"Known: {', '.join(known)}"
    return Problem(section=section, key=key, message=f"unknown {kind} {name!r}", hint=hint)
