"""Generate docs/reference/settings.md from the settings classes and their docstrings.

Run: python tools/settings_page.py > docs/reference/settings.md
"""

from __future__ import annotations

import inspect
import re

import attrs

from rhubarbferry.conf.settings import Settings

HEADER = """\
# Settings

One INI file for each process. What is not written keeps its default.
`rhubarbferry check-settings FILE` prints every problem with its remedy. Durations are in seconds.
This page is written by `tools/settings_page.py`.
"""
PARAM_PATTERN = re.compile(r":param (\w+):((?:.|\n)*?)(?=\n\s*:param|\Z)")


def parameter_descriptions(cls: type) -> dict[str, str]:
    text = inspect.getdoc(cls) or ""
    return {
        name: " ".join(description.split()) for name, description in PARAM_PATTERN.findall(text)
    }


def render_page() -> str:
    lines = [HEADER]
    for section in attrs.fields(Settings):
        cls = section.default.factory  # type: ignore[union-attr]
        description = parameter_descriptions(cls)
        title = (inspect.getdoc(cls) or "").split("``: ", 1)[-1].splitlines()[0]
        lines.append(f"\n## [{section.name}]\n\n{title[:1].upper()}{title[1:]}\n")
        lines.append("| key | default | meaning |\n| --- | --- | --- |")
        for field in attrs.fields(cls):
            default = "(empty)" if field.default == "" else f"`{field.default}`"
            lines.append(f"| `{field.name}` | {default} | {description.get(field.name, '')} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render_page(), end="")
