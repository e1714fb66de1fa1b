"""Interfaces of the entry that the HTTP server uses."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from sanic import Sanic

from bluebellusher.runtime import Exchange
from bluebellusher.server._parse import RequestDraft


class StatusSource(Protocol):
    """State of the entry for operators and load balancers."""

    def is_ready(self) -> bool:
        """Return whether the platform's load balancer should route callers here."""

    def status(self) -> dict[str, Any]:
        """Return members, endpoints, configuration version, claims and ages."""

    def gauges(self) -> Mapping[str, float]:
        """Return the current gauge values by Prometheus metric name."""


class Pages(Protocol):
    """Set of routes that another part of the entry serves."""

    def add_to(self, app: Sanic[Any, Any]) -> None:
        """Register the routes with a sanic application."""


class SpendingGate(Protocol):
    """Admission of requests by the rates and budgets of customers."""

    async def admit(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Reserve the cost of a request and return the request to run.

        A rule may replace the model by a cheaper one; ``reparse`` then parses the
        changed body.

        Raises
        ------
        BadRequestError
            When a rate or the budget does not cover the request.
        """

    def settle(self, request_id: str, outcome: str, exchange: Exchange | None) -> None:
        """Replace the reservation of an admitted request by the cost of its usage.

        When the usage is unknown, the whole reservation is charged.
        """
