"""Generate a Python module with the names of the required fields of each IDL struct.

The compact Python code of the thrift compiler lists all fields, but not which of them are
required. Run by ``make generate``: python tools/required_fields.py IDL OUTPUT
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

STRUCT_PATTERN = re.compile(r"^(?:struct|union) (\w+) \{(.*?)\}", re.DOTALL | re.MULTILINE)
COMMENT_PATTERN = re.compile(r"/\*.*?\*/|//[^\n]*", re.DOTALL)
REQUIRED_PATTERN = re.compile(r"\d+: required [\w<>, ]+? (\w+)(?: = \w+)?\s*(?:,|$)", re.MULTILINE)

HEADER = '''"""Required fields of each struct; written by tools/required_fields.py, do not edit."""

REQUIRED: dict[str, tuple[str, ...]] = {
'''


def main() -> None:
    idl, output = (Path(arg) for arg in sys.argv[1:])
    text = COMMENT_PATTERN.sub("", idl.read_text())
    lines = [HEADER]
    for name, body in STRUCT_PATTERN.findall(text):
        fields = REQUIRED_PATTERN.findall(body)
        if fields:
            lines.append(f"    {name!r}: {tuple(fields)!r},\n")
    output.write_text("".join(lines) + "}\n")


if __name__ == "__main__":
    main()
