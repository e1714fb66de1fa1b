"""Write docs/settings.md from the models of the settings.

Run as ``python tools/settings_reference.py``. With ``--check`` the page is not written:
the exit code is 1 if the stored page differs from the models.
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

Settings files are JSON5 for entries and JSON for rank agents. An entry does not start
if its file has an unknown key or a value outside its range: it prints the key, the
value and what was expected. `bluebellusher config check FILE`, with `--gateway` for
entries on a platform, checks a file without starting an entry. The settings of the
agent that relays requests are in docs/agent.md.
"""
SECTIONS: tuple[tuple[str, type[BaseModel]], ...] = (
    ("Entry on a platform (`platform/serve.py entry`)", GatewaySettings),
    ("Entry (`bluebellusher serve`)", Settings),
)
UNIT_BY_SUFFIX = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}
_BOUND_NAMES = ("ge", "gt", "le", "min_length", "max_length", "pattern")
_PARAMETER_LINE = re.compile(r"^(\w[\w, ]*) : (.+)$")


def render_page() -> str:
    """Return the page as Markdown text."""
    parts = [INTRODUCTION]
    for title, model in SECTIONS:
        parts += [f"\n## {title}\n", *_format_table(_list_setting_rows(model, ""))]
    parts += ["\n## Rank agent (`platform/serve.py agent`)\n"]
    parts += _format_table(_list_agent_rows())
    return "\n".join(parts) + "\n"


def _format_table(rows: Iterator[tuple[str, ...]]) -> list[str]:
    header = ("setting", "type", "range", "unit", "default", "meaning")
    lines = [header, ("---",) * len(header), *rows]
    return ["| " + " | ".join(line) + " |" for line in lines]


def _list_setting_rows(
    model: type[BaseModel], prefix: str
) -> Iterator[tuple[str, ...]]:
    for name, info in model.model_fields.items():
        key = prefix + name
        yield (
            f"`{key}`",
            _format_type(info.annotation),
            _format_range(info),
            _find_unit(name),
            _format_default(info),
            info.description or "",
        )
        for nested in _find_nested_models(info.annotation):
            suffix = "[]." if _is_list(info.annotation) else "."
            if nested.__name__ != "AddressSettings":
                yield from _list_setting_rows(nested, key + suffix)


def _list_agent_rows() -> Iterator[tuple[str, ...]]:
    meaning_by_name = _read_parameters(inspect.getdoc(RankAgentSettings) or "")
    for setting in fields(RankAgentSettings):
        default = "" if setting.default is MISSING else f"`{setting.default}`"
        type_name = "host:port" if setting.type is Address else "text"
        meaning = meaning_by_name.get(setting.name, "")
        yield f"`{setting.name}`", type_name, "", "", default or "required", meaning


def _read_parameters(doc: str) -> dict[str, str]:
    """Return the description of each parameter in a numpydoc comment, by name."""
    meaning_by_name: dict[str, str] = {}
    names: list[str] = []
    for line in doc.splitlines():
        parameter_line = _PARAMETER_LINE.match(line)
        if parameter_line:
            names = [name.strip() for name in parameter_line[1].split(",")]
        elif line.startswith("    "):
            for name in names:
                earlier_text = meaning_by_name.get(name, "")
                meaning_by_name[name] = f"{earlier_text} {line.strip()}".strip()
    return meaning_by_name


def _format_type(annotation: Any) -> str:
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in arguments)
    if origin is tuple:
        return f"list of {_format_type(arguments[0])}"
    if origin in (Union, UnionType):
        return _format_type(next(a for a in arguments if a is not NoneType))
    if hasattr(annotation, "__metadata__"):
        return _format_type(arguments[0])
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return " or ".join(f"`{member.value}`" for member in annotation)
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return "host:port" if annotation.__name__ == "AddressSettings" else "object"
    names = {"int": "whole number", "float": "number", "bool": "true or false"}
    return names.get(getattr(annotation, "__name__", ""), "text")


def _find_nested_models(annotation: Any) -> Iterator[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for argument in get_args(annotation):
        yield from _find_nested_models(argument)


def _is_list(annotation: Any) -> bool:
    return get_origin(annotation) is tuple


def _format_range(info: FieldInfo) -> str:
    bound_by_name: dict[str, Any] = {}
    for item in info.metadata:
        for name in _BOUND_NAMES:
            value = getattr(item, name, None)
            if value is not None:
                bound_by_name[name] = value
    parts = []
    if "ge" in bound_by_name:
        parts.append(f"from {bound_by_name['ge']:,}")
    if "gt" in bound_by_name:
        parts.append(f"above {bound_by_name['gt']:,}")
    if "le" in bound_by_name:
        parts.append(f"to {bound_by_name['le']:,}")
    if "min_length" in bound_by_name:
        parts.append(f"at least {bound_by_name['min_length']}")
    if "max_length" in bound_by_name:
        parts.append(f"at most {bound_by_name['max_length']} characters")
    if "pattern" in bound_by_name:
        parts.append(f"`{bound_by_name['pattern']}`")
    return " ".join(parts)


def _find_unit(name: str) -> str:
    return next(
        (u for suffix, u in UNIT_BY_SUFFIX.items() if name.endswith(suffix)), ""
    )


def _format_default(info: FieldInfo) -> str:
    if info.default is PydanticUndefined:
        return "required"
    if isinstance(info.default, BaseModel):
        return "as below"
    if info.default in (None, ()):
        return "none"
    value = info.default
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def main() -> int:
    """Write the page, or compare it with ``--check``, and return the exit code."""
    page = render_page()
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if PAGE.exists() and PAGE.read_text(encoding="utf-8") == page:
        return 0
    print("docs/settings.md is out of date: run python tools/settings_reference.py")
    return 1


if __name__ == "__main__":
    sys.exit(main())
