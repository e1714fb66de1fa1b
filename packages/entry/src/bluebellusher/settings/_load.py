"""Loading of settings files, with all problems of a file reported together."""

import os
from collections.abc import Mapping, Sequence
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
# Prefix of the environment variables that set values which the file of an entry on a
# platform lacks, and separator of the levels of their names.
ENVIRONMENT_PREFIX = "ENTRY_SETTING_"
_LEVEL_SEPARATOR = "__"


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """Problem in a settings file.

    Parameters
    ----------
    location : str
        Path of the setting, such as ``agents.0.port``; ``syntax`` when the file is not
        valid JSON5, and ``file`` when it cannot be read.
    found : str
        Value found, as it is shown to an operator; empty to show none.
    expected : str
        Valid values, or the error of the parser.
    """

    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line for an operator."""
        found = f"found {self.found}: " if self.found else ""
        return f"{self.location}: {found}{self.expected}"


class SettingsError(ValueError):
    """A settings file that is invalid or cannot be read.

    Parameters
    ----------
    path : str
        Path of the file.
    problems : sequence of SettingsProblem
        All problems of the file.
    """

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
        When the file is invalid or cannot be read. The message has a line for each
        problem, with the file, the path of the setting or the line in the file, the
        value found (never a secret) and the expected values.
    """
    return parse_settings(_read_text(path), str(path))


def load_gateway_settings(path: str | Path) -> GatewaySettings:
    """Read and check the settings file of an entry on a platform.

    An environment variable such as ``ENTRY_SETTING_WARM_UP__OVERAGE`` sets
    ``warm_up.overage`` unless the file does. An empty variable has no effect.

    Raises
    ------
    SettingsError
        As for ``load_settings``.
    """
    return _parse(GatewaySettings, _read_text(path), str(path), os.environ)


def parse_settings(text: str, path: str) -> Settings:
    """Parse and check the text of a settings file; ``path`` is shown in errors."""
    return _parse(Settings, text, path)


def _read_text(path: str | Path) -> str:
    """Return the text of a file; raise ``SettingsError`` if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem("file", "", f"cannot be read as UTF-8: {error}")
        raise SettingsError(str(path), [problem]) from None


def _parse(
    model: type[M], text: str, path: str, environment: Mapping[str, str] | None = None
) -> M:
    """Parse JSON5 text into ``model``; raise ``SettingsError`` with all problems."""
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = SettingsProblem("syntax", "", _format_syntax_error(error))
        raise SettingsError(path, [problem]) from None
    if environment and isinstance(document, dict):
        _add_environment(document, environment)
    try:
        return model.model_validate(document)
    except ValidationError as error:
        problems = [_to_problem(dict(detail)) for detail in error.errors()]
        raise SettingsError(path, problems) from None


def _add_environment(document: dict[str, Any], environment: Mapping[str, str]) -> None:
    """Add the values of environment variables that a document lacks."""
    for name, text in environment.items():
        if not name.startswith(ENVIRONMENT_PREFIX) or not text.strip():
            continue
        path = name.removeprefix(ENVIRONMENT_PREFIX).lower()
        *levels, key = path.split(_LEVEL_SEPARATOR)
        target: Any = document
        for level in levels:
            target = target.setdefault(level, {}) if isinstance(target, dict) else None
        if isinstance(target, dict):
            target.setdefault(key, text.strip())


def _format_syntax_error(error: Exception) -> str:
    """Return the message for an operator about text that is not valid JSON5."""
    if isinstance(error, RecursionError):
        return "nested too deeply, expected at most a few levels"
    # json5 reports the position as "<string>:LINE ... at column N".
    return str(error).replace("<string>:", "line ")


def _to_problem(detail: dict[str, Any]) -> SettingsProblem:
    """Convert an item of ``ValidationError.errors()`` into a problem."""
    location = ".".join(str(part) for part in detail["loc"]) or "settings"
    is_unknown_key = detail["type"] == "extra_forbidden"
    found = (
        ""
        if is_unknown_key
        else _describe_value(location, detail["type"], detail["input"])
    )
    message = str(detail["msg"]).removeprefix("Value error, ")
    expected = "unknown key, expected a documented one" if is_unknown_key else message
    return SettingsProblem(location, found, expected)


def _describe_value(location: str, error_type: str, value: Any) -> str:
    """Return the text that shows the value found in an error.

    Secrets are hidden. Objects give an empty text, and lists the name of their type.
    """
    if error_type == "missing":
        return "nothing"
    if any(word in location.lower() for word in _SECRET_WORDS):
        return "a hidden value"
    if isinstance(value, dict | list | tuple) or not isinstance(
        value, str | int | float | bool | None
    ):
        return "" if isinstance(value, dict) else type(value).__name__
    return repr(value)[:_MAX_SHOWN_CHARS]
