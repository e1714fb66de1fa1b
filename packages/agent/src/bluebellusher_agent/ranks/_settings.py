"""Settings of a rank agent.

The file is plain JSON, because a parser that supports comments would need more memory.
"""

import json
from dataclasses import dataclass, field
from typing import Any

from bluebellusher_agent._settings import Address
from bluebellusher_core.errors import StepError

MIN_SECRET_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class RankAgentSettings:
    """Settings of a rank agent.

    Parameters
    ----------
    instance_id, failure_domain : str
        Id and failure domain of the instance.
    shared_secret : str
        Secret that authenticates the processes of the deployment to each other; at
        least 16 characters.
    listen : Address
        Address on which the agent accepts connections from entries.
    engine : Address
        Address of the engine on the same instance.
    metrics : Address
        Address on which the metrics page is served.
    """

    instance_id: str
    failure_domain: str
    shared_secret: str = field(repr=False)
    listen: Address
    engine: Address
    metrics: Address

    @classmethod
    def from_file(cls, path: str) -> "RankAgentSettings":
        """Read and validate a settings file.

        Raises
        ------
        StepError
            When the file cannot be read or a setting is missing or invalid. The message
            contains the file, the key, the found value and the expected one. It does
            not contain the value of a secret.
        """
        try:
            with open(path, encoding="utf-8") as file:
                document = json.load(file)
        except (OSError, ValueError) as error:
            reason = f"cannot be read as JSON: {error}"
            raise StepError("read-settings", path, reason) from error
        if not isinstance(document, dict):
            raise StepError("read-settings", path, "expected an object")
        reader = _SettingsReader(path, document)
        return cls(
            instance_id=reader.read_text("instance_id"),
            failure_domain=reader.read_text("failure_domain"),
            shared_secret=reader.read_text("shared_secret", MIN_SECRET_CHARACTERS),
            listen=reader.read_address("listen"),
            engine=reader.read_address("engine"),
            metrics=reader.read_address("metrics"),
        )


class _SettingsReader:
    """Reader of the values of a settings file.

    Its methods raise ``StepError`` when a value is missing or invalid.

    Parameters
    ----------
    path : str
        Path of the settings file, for error messages.
    document : dict of str to Any
        Content of the settings file.
    """

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document

    def read_text(self, key: str, min_length: int = 1) -> str:
        """Return a string of at least ``min_length`` characters."""
        value = self._document.get(key)
        if not isinstance(value, str) or len(value) < min_length:
            shown_value = type(value).__name__ if "secret" in key else repr(value)
            raise self._error(
                key, shown_value, f"text of at least {min_length} characters"
            )
        return value

    def read_address(self, key: str) -> Address:
        """Return an address in the form ``host:port``."""
        value = self.read_text(key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65_535:
            raise self._error(key, repr(value), "host:port")
        return Address(host, int(port))

    def _error(self, key: str, found: str, expected: str) -> StepError:
        """Return an error that contains the key, the found and the expected value."""
        reason = f"{key}: found {found}: expected {expected}"
        return StepError("read-settings", self._path, reason)
