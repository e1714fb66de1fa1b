"""What the server shows of the entry."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from sanic import Sanic

from bluebellusher.runtime import Exchange
from bluebellusher.server._parse import RequestDraft


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


class SpendingGate(Protocol):
    """Budgets of the customers."""

    async def admit(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Return the request to run, or raise ``BadRequestError``."""

    def settle(self, request_id: str, outcome: str, exchange: Exchange | None) -> None:
        """Charge what an admitted request used."""
