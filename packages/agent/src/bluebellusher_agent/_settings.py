"""Settings of the agent, read from JSON with comments and validated."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from bluebellusher_core.errors import StepError

Check = Callable[[Any], bool]


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Parameters
    ----------
    instance_id, failure_domain : str
        Identity of the endpoint instance.
    shared_secret : str
        Secret of the whole system, which authenticates connections; at least 16
        characters.
    listen : Address
        Address on which entries connect; for port 0 the system chooses a free port.
    target : Address
        Address of the engine or plain service on the same instance.
    kind : str
        ``"model"`` for an engine, ``"plain"`` for a plain service.
    services, models, adapters : tuple of str
        Services of the endpoint; models and adapters until the engine reports its
        own.
    n_slots : int
        Batch limit until the engine reports its own.
    is_draining : bool
        Whether to refuse new attempts. While the agent runs, a change from false to
        true in the file starts a drain.
    max_runs : int
        Maximum number of concurrent attempts; further ones are refused as not run.
    resume_window_ms : int
        Time in milliseconds for which an answer is retained after its connection was
        lost or after it was sent.
    resume_buffer_bytes : int
        Number of sent bytes of each answer that are retained for resumption.
    stream_silence_ms : int
        Time in milliseconds without progress of a started stream after which its
        connection to the engine is replaced.
    """

    instance_id: str
    failure_domain: str
    shared_secret: str = field(repr=False)
    listen: Address
    target: Address
    kind: str = "model"
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    n_slots: int = 8
    is_draining: bool = False
    max_runs: int = 1024
    resume_window_ms: int = 5_000
    resume_buffer_bytes: int = 262_144
    stream_silence_ms: int = 5_000

    @classmethod
    def from_file(cls, path: str) -> "AgentSettings":
        """Read a settings file.

        Raises
        ------
        StepError
            If the file cannot be read or is not valid. The error names the file and,
            for each problem, the key, the value and the expected value.
        """
        try:
            with open(path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as error:
            raise StepError("read-settings", path, str(error)) from error
        return cls.from_text(text, path)

    @classmethod
    def from_text(cls, text: str, path: str) -> "AgentSettings":
        """Parse settings from text; errors name ``path``.

        Raises
        ------
        StepError
            If the text is not valid; see ``from_file``.
        """
        try:
            data = json.loads(strip_comments(text))
        except ValueError as error:
            raise StepError("read-settings", path, f"{error}") from error
        if not isinstance(data, dict):
            raise StepError("read-settings", path, "expected a JSON object")
        problems = _find_problems(data)
        if problems:
            raise StepError("read-settings", path, "; ".join(problems))
        return cls(**{key: _convert(value) for key, value in data.items()})


def strip_comments(text: str) -> str:
    """Replace ``//`` and ``/* */`` comments by spaces and drop trailing commas.

    Line and column numbers do not change, so that JSON errors name the right position.
    """
    characters = list(text)
    position = 0
    last_comma = -1
    while position < len(text):
        character = text[position]
        if character == '"':
            position = _find_string_end(text, position)
            last_comma = -1
            continue
        end = _find_comment_end(text, position)
        if end > position:
            spaces = (c if c == "\n" else " " for c in text[position:end])
            characters[position:end] = spaces
            position = end
            continue
        if character in "]}" and last_comma >= 0:
            characters[last_comma] = " "
        if character == ",":
            last_comma = position
        elif not character.isspace():
            last_comma = -1
        position += 1
    return "".join(characters)


def _find_string_end(text: str, position: int) -> int:
    position += 1
    while position < len(text) and text[position] != '"':
        position += 2 if text[position] == "\\" else 1
    return position + 1


def _find_comment_end(text: str, position: int) -> int:
    if text.startswith("//", position):
        end = text.find("\n", position)
        return len(text) if end < 0 else end
    if text.startswith("/*", position):
        end = text.find("*/", position + 2)
        return len(text) if end < 0 else end + 2
    return position


def _convert(value: Any) -> Any:
    if isinstance(value, dict):
        return Address(value["host"], value["port"])
    return tuple(value) if isinstance(value, list) else value


def _is_name(value: Any) -> bool:
    is_text = isinstance(value, str) and 0 < len(value) <= 128
    return is_text and all("!" <= c <= "~" for c in value)


def _is_name_list(value: Any) -> bool:
    return isinstance(value, list) and all(_is_name(item) for item in value)


def _is_int(value: Any, low: int, high: int) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and low <= value <= high


def _is_ip(value: Any) -> bool:
    # Importing the ipaddress module would cost about 1 MB of resident memory.
    if not isinstance(value, str):
        return False
    parts = value.split(".")
    if len(parts) == 4:
        return all(part.isdigit() and int(part) < 256 for part in parts)
    return ":" in value and all(c in "0123456789abcdefABCDEF:." for c in value)


def _is_address(value: Any) -> bool:
    is_pair = isinstance(value, dict) and set(value) == {"host", "port"}
    return is_pair and _is_ip(value["host"]) and _is_int(value["port"], 0, 65535)


_CHECK_BY_KEY: dict[str, tuple[Check, str]] = {
    "instance_id": (_is_name, "1 to 128 printable ASCII characters without spaces"),
    "failure_domain": (_is_name, "1 to 128 printable ASCII characters without spaces"),
    "shared_secret": (
        lambda value: isinstance(value, str) and len(value) >= 16,
        "a string of at least 16 characters",
    ),
    "listen": (_is_address, '{"host": IP address, "port": 0 to 65535}'),
    "target": (_is_address, '{"host": IP address, "port": 0 to 65535}'),
    "kind": (lambda value: value in ("model", "plain"), '"model" or "plain"'),
    "services": (_is_name_list, "a list of names"),
    "models": (_is_name_list, "a list of names"),
    "adapters": (_is_name_list, "a list of names"),
    "n_slots": (lambda value: _is_int(value, 1, 100_000), "1 to 100000"),
    "is_draining": (lambda value: isinstance(value, bool), "true or false"),
    "max_runs": (lambda value: _is_int(value, 1, 100_000), "1 to 100000"),
    "resume_window_ms": (lambda value: _is_int(value, 0, 60_000), "0 to 60000"),
    "stream_silence_ms": (lambda value: _is_int(value, 500, 60_000), "500 to 60000"),
    "resume_buffer_bytes": (
        lambda value: _is_int(value, 65_536, 16_777_216),
        "65536 to 16777216",
    ),
}
_SECRET_KEYS = frozenset(("shared_secret",))


def _find_problems(data: dict[str, Any]) -> list[str]:
    """Return an error message for each missing, unknown or invalid key."""
    required = ("instance_id", "failure_domain", "shared_secret", "listen", "target")
    problems = [f"{key}: missing" for key in required if key not in data]
    known_keys = {item.name for item in fields(AgentSettings)}
    for key, value in data.items():
        if key not in known_keys:
            problems.append(f"{key}: unknown key")
            continue
        is_valid, expectation = _CHECK_BY_KEY[key]
        if not is_valid(value):
            displayed_value = "(hidden)" if key in _SECRET_KEYS else repr(value)[:100]
            problems.append(f"{key}={displayed_value}: expected {expectation}")
    return problems
