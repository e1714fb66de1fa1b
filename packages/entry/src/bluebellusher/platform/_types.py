"""Types of the values that the platform returns."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Consistency(StrEnum):
    """Consistency of a table read.

    A strong read returns the state after the last transaction. An eventual read may
    return an older state.
    """

    STRONG = "strong"
    EVENTUAL = "eventual"


@dataclass(frozen=True, slots=True)
class Row:
    """Table row; an absent row has version 0 and value ``None``."""

    key: str
    version: int
    value: Any

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Row":
        """Decode a row.

        A malformed row raises ``AttributeError``, ``KeyError``, ``TypeError`` or
        ``ValueError``.
        """
        return cls(str(data["key"]), int(data["version"]), data["value"])


@dataclass(frozen=True, slots=True)
class Instance:
    """Item of the instance list, which the platform updates with a delay."""

    instance_id: str
    role: str
    state: str
    failure_domain: str
    host: str
    port: int
    services: tuple[str, ...]

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Instance":
        """Decode an instance.

        A malformed item raises ``AttributeError``, ``KeyError``, ``TypeError`` or
        ``ValueError``.
        """
        return cls(
            instance_id=str(data["instance_id"]),
            role=str(data["role"]),
            state=str(data["state"]),
            failure_domain=str(data["failure_domain"]),
            host=str(data["host"]),
            port=int(data["port"]),
            services=tuple(str(name) for name in data.get("services", ())),
        )
