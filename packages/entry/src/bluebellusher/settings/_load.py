"""Reading of a settings file, with every problem reported at once."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import ValidationError

from bluebellusher.settings._gateway import GatewaySettings
from bluebellusher.settings._models import Settings, SettingsModel

M = TypeVar("M", bound=SettingsModel)
_SECRET_WORDS = ("secret", "credential", "password", "token", "key")
_MAX_SHOWN_CHARS = 60


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One problem; ``where`` is a path such as ``agents.0.port`` or a line."""

    where: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        found = f"found {self.found}: " if self.found else ""
        return f"{self.where}: {found}{self.expected}"


class SettingsError(ValueError):
    """A settings file that cannot be used; ``problems`` holds all of them."""

    def __init__(self, path: str, problems: Sequence[SettingsProblem]) -> None:
        lines = [f"{path}: {problem}" for problem in problems]
        super().__init__("\n".join(lines))
        self.path = path
        self.problems = tuple(problems)


def load_settings(path: str | Path) -> Settings:
    """Read and check the settings file of ``bluebellusher serve``.

    Raises
    ------
    SettingsError
        Names the file, and for each problem its path or line, the value found
        (never a secret) and what is expected.
    """
    return parse_settings(_read(path), str(path))


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Read and check the settings file of an entry on a platform.

    Raises
    ------
    SettingsError
        As ``load_settings`` does.
    """
    return _parse(GatewaySettings, _read(path), str(path))


def parse_settings(text: str, path: str) -> Settings:
    """Check the text of a settings file; ``path`` is named in errors."""
    return _parse(Settings, text, path)


def _read(path: str | Path) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem("file", "", f"cannot be read as UTF-8: {error}")
        raise SettingsError(str(path), [problem]) from None


def _parse(model: type[M], text: str, path: str) -> M:
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = SettingsProblem("syntax", "", _syntax_message(error))
        raise SettingsError(path, [problem]) from None
    try:
        return model.model_validate(document)
    except ValidationError as error:
        problems = [_to_problem(dict(detail)) for detail in error.errors()]
        raise SettingsError(path, problems) from None


def _syntax_message(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "nested too deeply, expected at most a few levels"
    # json5 names the position as "<string>:LINE ... at column N".
    return str(error).replace("<string>:", "line ")


def _to_problem(detail: dict[str, Any]) -> SettingsProblem:
    where = ".".join(str(part) for part in detail["loc"]) or "settings"
    is_unknown_key = detail["type"] == "extra_forbidden"
    found = "" if is_unknown_key else _describe(where, detail["type"], detail["input"])
    message = str(detail["msg"]).removeprefix("Value error, ")
    expected = "unknown key, expected a documented one" if is_unknown_key else message
    return SettingsProblem(where, found, expected)


def _describe(where: str, error_type: str, value: Any) -> str:
    if error_type == "missing":
        return "nothing"
    if any(word in where.lower() for word in _SECRET_WORDS):
        return "a hidden value"
    if isinstance(value, dict | list | tuple) or not isinstance(
        value, str | int | float | bool | None
    ):
        return "" if isinstance(value, dict) else type(value).__name__
    return repr(value)[:_MAX_SHOWN_CHARS]
