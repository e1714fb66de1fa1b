"""Write docs/settings.md from the models of the settings.

Run as ``python tools/settings_reference.py``; with ``--check`` it compares instead, and
exits with 1 when the page is out of date.
"""

import inspect
import re
import sys
from collections.abc import Iterator
from dataclasses import MISSING, fields
from enum import Enum
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Literal, Union, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from bluebellusher.settings import GatewaySettings, Settings
from bluebellusher_agent._settings import Address
from bluebellusher_agent.ranks import RankAgentSettings

PAGE = Path(__file__).parent.parent / "docs" / "settings.md"
INTRODUCTION = """\
# Settings

Written by `tools/settings_reference.py` from the models; do not edit.

Files are JSON5 for entries and JSON for rank agents. Unknown keys are errors for
entries, and so is every value outside its range: the process does not start, and names
the key, the value and what was expected. `bluebellusher config check FILE`, with
`--gateway` for entries on a platform, checks without starting. The settings of the
agent that relays requests are in docs/agent.md.
"""
SECTIONS: tuple[tuple[str, type[BaseModel]], ...] = (
    ("Entry on a platform (`platform/serve.py entry`)", GatewaySettings),
    ("Entry (`bluebellusher serve`)", Settings),
)
UNIT_BY_SUFFIX = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}
_BOUNDS = ("ge", "gt", "le", "min_length", "max_length", "pattern")
_ENTRY = re.compile(r"^(\w[\w, ]*) : (.+)$")


def render() -> str:
    """Return the whole page."""
    parts = [INTRODUCTION]
    for title, model in SECTIONS:
        parts += [f"\n## {title}\n", *_table(_rows(model, ""))]
    parts += ["\n## Rank agent (`platform/serve.py agent`)\n"]
    parts += _table(_agent_rows())
    return "\n".join(parts) + "\n"


def _table(rows: Iterator[tuple[str, ...]]) -> list[str]:
    head = ("setting", "type", "range", "unit", "default", "meaning")
    lines = [head, ("---",) * len(head), *rows]
    return ["| " + " | ".join(line) + " |" for line in lines]


def _rows(model: type[BaseModel], prefix: str) -> Iterator[tuple[str, ...]]:
    for name, info in model.model_fields.items():
        key = prefix + name
        yield (
            f"`{key}`",
            _type_name(info.annotation),
            _range(info),
            _unit(name),
            _default(info),
            info.description or "",
        )
        for nested in _nested_models(info.annotation):
            suffix = "[]." if _is_list(info.annotation) else "."
            if nested.__name__ != "AddressSettings":
                yield from _rows(nested, key + suffix)


def _agent_rows() -> Iterator[tuple[str, ...]]:
    meaning_by_name = _read_parameters(inspect.getdoc(RankAgentSettings) or "")
    for found in fields(RankAgentSettings):
        default = "" if found.default is MISSING else f"`{found.default}`"
        type_name = "host:port" if found.type is Address else "text"
        meaning = meaning_by_name.get(found.name, "")
        yield f"`{found.name}`", type_name, "", "", default or "required", meaning


def _read_parameters(doc: str) -> dict[str, str]:
    """Return the meaning of each parameter of a documentation comment."""
    meaning_by_name: dict[str, str] = {}
    names: list[str] = []
    for line in doc.splitlines():
        entry = _ENTRY.match(line)
        if entry:
            names = [name.strip() for name in entry[1].split(",")]
        elif line.startswith("    "):
            for name in names:
                before = meaning_by_name.get(name, "")
                meaning_by_name[name] = f"{before} {line.strip()}".strip()
    return meaning_by_name


def _type_name(annotation: Any) -> str:
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in arguments)
    if origin is tuple:
        return f"list of {_type_name(arguments[0])}"
    if origin in (Union, UnionType):
        return _type_name(next(a for a in arguments if a is not NoneType))
    if hasattr(annotation, "__metadata__"):
        return _type_name(arguments[0])
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return " or ".join(f"`{member.value}`" for member in annotation)
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return "host:port" if annotation.__name__ == "AddressSettings" else "object"
    names = {"int": "whole number", "float": "number", "bool": "true or false"}
    return names.get(getattr(annotation, "__name__", ""), "text")


def _nested_models(annotation: Any) -> Iterator[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for argument in get_args(annotation):
        yield from _nested_models(argument)


def _is_list(annotation: Any) -> bool:
    return get_origin(annotation) is tuple


def _range(info: FieldInfo) -> str:
    shown: dict[str, Any] = {}
    for item in info.metadata:
        for name in _BOUNDS:
            value = getattr(item, name, None)
            if value is not None:
                shown[name] = value
    parts = []
    if "ge" in shown:
        parts.append(f"from {shown['ge']:,}")
    if "gt" in shown:
        parts.append(f"above {shown['gt']:,}")
    if "le" in shown:
        parts.append(f"to {shown['le']:,}")
    if "min_length" in shown:
        parts.append(f"at least {shown['min_length']}")
    if "max_length" in shown:
        parts.append(f"at most {shown['max_length']} characters")
    if "pattern" in shown:
        parts.append(f"`{shown['pattern']}`")
    return " ".join(parts)


def _unit(name: str) -> str:
    return next(
        (u for suffix, u in UNIT_BY_SUFFIX.items() if name.endswith(suffix)), ""
    )


def _default(info: FieldInfo) -> str:
    if info.default is PydanticUndefined:
        return "required"
    if isinstance(info.default, BaseModel):
        return "as below"
    if info.default in (None, ()):
        return "none"
    value = info.default
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def main() -> int:
    """Write the page, or compare it; return the exit code."""
    page = render()
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if PAGE.exists() and PAGE.read_text(encoding="utf-8") == page:
        return 0
    print("docs/settings.md is out of date: run python tools/settings_reference.py")
    return 1


if __name__ == "__main__":
    sys.exit(main())
