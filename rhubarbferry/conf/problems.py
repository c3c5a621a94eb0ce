"""Problems found in a settings or configuration file, each with a remedy."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen


@frozen(kw_only=True, slots=True)
class Problem:
    """One problem in a file.

    :param section: section of the file; empty for the file as a whole.
    :param key: key within the section; empty for the section as a whole.
    :param message: description of the problem.
    :param hint: description of valid content.
    """

    section: str
    key: str
    message: str
    hint: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{place}: {self.message}. {self.hint}"


class SettingsError(Exception):
    """The settings are invalid; ``problems`` lists each problem with its remedy."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
