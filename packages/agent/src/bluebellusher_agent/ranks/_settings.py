"""Settings of a rank agent: plain JSON, because a parser for comments costs memory."""

import json
from dataclasses import dataclass, field
from typing import Any

from bluebellusher_agent._settings import Address
from bluebellusher_core.errors import StepError

MIN_SECRET_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class RankAgentSettings:
    """Everything that a rank agent must be told.

    Parameters
    ----------
    instance_id, failure_domain : str
        Identity of the instance.
    shared_secret : str
        Known to all processes of the deployment; at least 16 characters.
    listen : Address
        Where entries connect.
    engine : Address
        The engine on the same instance.
    metrics : Address
        Where counters are served.
    """

    instance_id: str
    failure_domain: str
    shared_secret: str = field(repr=False)
    listen: Address
    engine: Address
    metrics: Address

    @classmethod
    def from_file(cls, path: str) -> "RankAgentSettings":
        """Read a settings file.

        Raises
        ------
        StepError
            Names the file, the key, what was found and what is expected.
        """
        try:
            with open(path, encoding="utf-8") as file:
                document = json.load(file)
        except (OSError, ValueError) as error:
            reason = f"cannot be read as JSON: {error}"
            raise StepError("read-settings", path, reason) from error
        if not isinstance(document, dict):
            raise StepError("read-settings", path, "expected an object")
        reader = _Reader(path, document)
        return cls(
            instance_id=reader.text("instance_id"),
            failure_domain=reader.text("failure_domain"),
            shared_secret=reader.text("shared_secret", MIN_SECRET_CHARACTERS),
            listen=reader.address("listen"),
            engine=reader.address("engine"),
            metrics=reader.address("metrics"),
        )


class _Reader:
    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document

    def text(self, key: str, n_min: int = 1) -> str:
        value = self._document.get(key)
        if not isinstance(value, str) or len(value) < n_min:
            shown = type(value).__name__ if "secret" in key else repr(value)
            raise self._error(key, shown, f"text of at least {n_min} characters")
        return value

    def address(self, key: str) -> Address:
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65_535:
            raise self._error(key, repr(value), "host:port")
        return Address(host, int(port))

    def _error(self, key: str, found: str, expected: str) -> StepError:
        reason = f"{key}: found {found}: expected {expected}"
        return StepError("read-settings", self._path, reason)
