"""Values that the platform returns."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Consistency(StrEnum):
    """Whether a read sees the last transaction or may see an older copy."""

    STRONG = "strong"
    EVENTUAL = "eventual"


@dataclass(frozen=True, slots=True)
class Row:
    """One table row; version 0 and value ``None`` mean that the row is absent."""

    key: str
    version: int
    value: Any

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Row":
        """Read a row; raise ``KeyError`` or ``ValueError`` when it is malformed."""
        return cls(str(data["key"]), int(data["version"]), data["value"])


@dataclass(frozen=True, slots=True)
class Instance:
    """One line of the instance list, which lags."""

    instance_id: str
    role: str
    state: str
    failure_domain: str
    host: str
    port: int
    services: tuple[str, ...]

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Instance":
        """Read an instance; raise ``KeyError`` or ``ValueError`` when malformed."""
        return cls(
            instance_id=str(data["instance_id"]),
            role=str(data["role"]),
            state=str(data["state"]),
            failure_domain=str(data["failure_domain"]),
            host=str(data["host"]),
            port=int(data["port"]),
            services=tuple(str(name) for name in data.get("services", ())),
        )
