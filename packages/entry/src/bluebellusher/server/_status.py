"""What the server shows of the entry."""

from collections.abc import Mapping
from typing import Any, Protocol

from sanic import Sanic


class StatusSource(Protocol):
    """State of the entry for operators and load balancers."""

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should send callers."""

    def status(self) -> dict[str, Any]:
        """Return members, endpoints, configuration version, claims and ages."""

    def gauges(self) -> Mapping[str, float]:
        """Return current figures by Prometheus name."""


class Pages(Protocol):
    """Routes that another part of the entry serves."""

    def add_to(self, app: Sanic[Any, Any]) -> None:
        """Register the routes."""
