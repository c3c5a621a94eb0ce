"""Parse the operators' INI configuration of the cell and report all problems at once."""

from __future__ import annotations

import configparser
import difflib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define, field
from returns.result import Failure, Result, Success

from rhubarbferry.conf.problems import Problem
from rhubarbferry.core.cell import Account, Cell, Limits, Objective, PriorityClass, Service, Size

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
BYTE_FACTORS = {"": 1, "k": 2**10, "m": 2**20, "g": 2**30, "t": 2**40}
BYTES_PATTERN = re.compile(r"(\d+)\s*([kmgt]?)i?b?", re.IGNORECASE)
MAX_REGIONS = 64
MAX_KEY_PARTITIONS = 64


class _Invalid(Exception):
    """An invalid value; ``hint`` describes valid values."""

    def __init__(self, message: str, hint: str) -> None:
        super().__init__(message)
        self.hint = hint


Converter = Callable[[str], Any]


def _integer_converter(low: int, high: int = 2**53) -> Converter:
    def convert(text: str) -> int:
        if not re.fullmatch(r"-?\d+", text) or not low <= int(text) <= high:
            raise _Invalid(f"{text!r} is not an integer in range", f"Write one in {low}..{high}.")
        return int(text)

    return convert


def _number_converter(low: float, high: float, *, exclusive_low: bool = False) -> Converter:
    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high or (exclusive_low and value == low):
            limits = f"{'above' if exclusive_low else 'at least'} {low:g} and at most {high:g}"
            raise _Invalid(f"{text!r} is not a number in range", f"Write a number {limits}.")
        return value

    return convert


def _convert_bytes(text: str) -> int:
    match = BYTES_PATTERN.fullmatch(text)
    if match is None:
        raise _Invalid(
            f"{text!r} is not a number of bytes", "Write a number of bytes, 512Mi or 4Gi."
        )
    return int(match[1]) * BYTE_FACTORS[match[2].lower()]


def _convert_priority(text: str) -> PriorityClass:
    try:
        return PriorityClass[text.upper()]
    except KeyError:
        names = ", ".join(c.name.lower() for c in PriorityClass)
        raise _Invalid(f"{text!r} is not a priority", f"Write one of {names}.") from None


def _convert_names(text: str) -> tuple[str, ...]:
    names = tuple(part.strip() for part in text.split(",") if part.strip())
    if not names or len(set(names)) != len(names) or len(names) > MAX_REGIONS:
        raise _Invalid(
            "the list is empty, too long or has a duplicate", "Write each name once: a, b, c."
        )
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            raise _Invalid(
                f"{name!r} is not a valid name", "Use letters, digits, '.', '_' and '-'."
            )
    return names


CELL_KEYS: Mapping[str, Converter] = {
    "regions": _convert_names,
    "key_partitions_per_region": _integer_converter(1, MAX_KEY_PARTITIONS),
}
SERVICE_KEYS: Mapping[str, Converter] = {
    "slots": _integer_converter(1, 10_000),
    "connections": _integer_converter(1, 100_000),
}
ACCOUNT_KEYS: Mapping[str, Converter] = {
    "share": _number_converter(0, 1e6, exclusive_low=True),
    "priority": _convert_priority,
    "max_concurrency": _integer_converter(0),
    "rate_per_s": _number_converter(0, 1e9),
    "max_waiting": _integer_converter(0, 1_000_000),
    "quota_millicores": _integer_converter(0),
    "quota_memory": _convert_bytes,
    "quota_accelerators": _integer_converter(0, 2**31 - 1),
    "objective_wait_ms": _integer_converter(1),
    "objective_target": _number_converter(0, 1, exclusive_low=True),
}


def parse_cell(text: str, revision: int) -> Result[Cell, tuple[Problem, ...]]:
    """Parse a configuration.

    :param text: INI with the sections ``[cell]``, ``[template NAME]``, ``[account NAME]`` and
        ``[service NAME]``.
    :param revision: revision of the returned cell.
    :returns: the cell, or all problems found.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        message = str(exc).replace("\n", " ")
        problem = Problem(section="", key="", message=message, hint="Fix the INI syntax.")
        return Failure((problem,))
    cell_parser = _CellParser(parser=parser)
    cell = cell_parser.parse(revision)
    if cell_parser.problems:
        return Failure(tuple(cell_parser.problems))
    return Success(cell)


@define(kw_only=True)
class _CellParser:
    """Parse the sections of a configuration and collect all problems."""

    parser: configparser.ConfigParser
    problems: list[Problem] = field(factory=list)

    def parse(self, revision: int) -> Cell:
        section_names = self._group_sections()
        cell_values = self._convert_cell_section()
        templates = {
            name: self._convert_section(section, ACCOUNT_KEYS)
            for name, section in section_names["template"].items()
        }
        accounts = {
            name: self._convert_account(name, section, templates)
            for name, section in section_names["account"].items()
        }
        services = {
            name: Service(name=name, **self._convert_section(section, SERVICE_KEYS))
            for name, section in section_names["service"].items()
        }
        return Cell(revision=revision, accounts=accounts, services=services, **cell_values)

    def _convert_cell_section(self) -> dict[str, Any]:
        if not self.parser.has_section("cell"):
            self._add_problem(
                "cell", "", "the section is missing", "Add [cell] with regions = a, b."
            )
            return {}
        if not self.parser.has_option("cell", "regions"):
            self._add_problem("cell", "regions", "the key is missing", "Write regions = a, b, c.")
        return self._convert_section("cell", CELL_KEYS)

    def _group_sections(self) -> dict[str, dict[str, str]]:
        section_names: dict[str, dict[str, str]] = {"template": {}, "account": {}, "service": {}}
        for section in self.parser.sections():
            kind, _, name = section.partition(" ")
            if section == "cell":
                continue
            if kind not in section_names:
                self._add_problem(
                    section, "", "unknown section", _suggestion(kind, ["cell", *section_names])
                )
            elif not NAME_PATTERN.fullmatch(name.strip()):
                hint = "Use letters, digits, '.', '_' and '-', at most 63."
                self._add_problem(section, "", f"{name!r} is not a valid name", hint)
            elif name.strip() in section_names[kind]:
                self._add_problem(section, "", "duplicate section name", "Keep one of them.")
            else:
                section_names[kind][name.strip()] = section
        return section_names

    def _convert_section(
        self, section: str, converters: Mapping[str, Converter], ignored: Iterable[str] = ()
    ) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key, text in self.parser.items(section):
            if key in ignored:
                continue
            converter = converters.get(key)
            if converter is None:
                self._add_problem(
                    section, key, "unknown key", _suggestion(key, [*converters, *ignored])
                )
                continue
            try:
                values[key] = converter(text.strip())
            except _Invalid as exc:
                self._add_problem(section, key, str(exc), exc.hint)
        return values

    def _convert_account(
        self, name: str, section: str, templates: Mapping[str, Mapping[str, Any]]
    ) -> Account:
        template = self.parser.get(section, "template", fallback="").strip()
        if template and template not in templates:
            hint = _suggestion(template, templates) if templates else "Add its [template] section."
            self._add_problem(section, "template", f"no template {template!r}", hint)
        own = self._convert_section(section, ACCOUNT_KEYS, ignored=("template",))
        return _build_account(name, template, {**templates.get(template, {}), **own})

    def _add_problem(self, section: str, key: str, message: str, hint: str) -> None:
        self.problems.append(Problem(section=section, key=key, message=message, hint=hint))


def _build_account(name: str, template: str, values: Mapping[str, Any]) -> Account:
    quota = Size(
        millicores=values.get("quota_millicores", 0),
        memory_bytes=values.get("quota_memory", 0),
        accelerators=values.get("quota_accelerators", 0),
    )
    limits = Limits(quota=quota, **_select(values, "max_concurrency", "rate_per_s", "max_waiting"))
    objective_values = {key.removeprefix("objective_"): value for key, value in values.items()}
    objective = Objective(**_select(objective_values, "wait_ms", "target"))
    return Account(
        name=name,
        template=template,
        limits=limits,
        objective=objective,
        **_select(values, "share", "priority"),
    )


def _select(values: Mapping[str, Any], *keys: str) -> dict[str, Any]:
    return {key: values[key] for key in keys if key in values}


def _suggestion(name: str, known: Iterable[str]) -> str:
    known_names = sorted(known)
    close = difflib.get_close_matches(name, known_names, n=1)
    if close:
        return f"Did you mean {close[0]!r}?"
    return f"Known names: {', '.join(known_names)}."
