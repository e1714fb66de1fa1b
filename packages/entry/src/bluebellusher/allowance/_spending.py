"""Admission and settlement of requests within the rates and budgets of customers."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bluebellusher.allowance._costs import compute_cost, compute_max_cost
from bluebellusher.allowance._grants import GrantWriter
from bluebellusher.allowance._rates import RateLimiter
from bluebellusher.allowance._registry import Allowance, AllowanceRegistry
from bluebellusher.allowance._usage import UsageWriter
from bluebellusher.platform import PlatformClient
from bluebellusher.rollout import ConfigInForce
from bluebellusher.runtime import Exchange
from bluebellusher.server import BadRequestError, RequestDraft
from bluebellusher.settings import Settings
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import Priority, Usage
from bluebellusher_core.rules import ExhaustedAction, Limit, RuleSet

# Retry time in milliseconds for requests rejected while the table is unavailable. It is
# short because the table may be available again long before the month ends.
OUTAGE_RETRY_MS = 5_000
_FLUSH_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Units reserved for one request, with the rules that determine its cost."""

    allowance: Allowance | None
    customer_id: str
    model: str
    rules: RuleSet
    config_version: int
    part: str
    unit: str
    n_units: int


class SpendingLimiter:
    """Limiter that admits requests within the rates and budgets of the rules in force.

    Parameters
    ----------
    in_force : ConfigInForce
        Source of the rules.
    registry : AllowanceRegistry
        Allowances of this entry.
    grants : GrantWriter
        Writer that enlarges and returns grants.
    usage : UsageWriter
        Writer that stores the usage of requests.
    rates : RateLimiter
        Limiter for the rates.
    clock : Clock
        Monotonic time for the wait for a grant, wall time for the end of the month.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        registry: AllowanceRegistry,
        grants: GrantWriter,
        usage: UsageWriter,
        rates: RateLimiter,
        clock: Clock,
    ) -> None:
        self._in_force = in_force
        self._registry = registry
        self._grants = grants
        self._usage = usage
        self._rates = rates
        self._customer_by_rated_request: dict[str, str] = {}
        self._clock = clock
        self._reservation_by_request_id: dict[str, _Reservation] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_parts(
        cls,
        settings: Settings,
        incarnation: int,
        in_force: ConfigInForce,
        platform: PlatformClient,
        clock: Clock,
        random_state: Random,
    ) -> "SpendingLimiter":
        """Create the limiter and its writers from the parts of an entry."""
        instance = f"{settings.instance_id}/{incarnation}"
        registry = AllowanceRegistry(instance, len(settings.peers) + 1, clock)
        grants = GrantWriter(registry, platform, clock, random_state)
        prefix = f"usage/{settings.failure_domain}/{instance}"
        usage = UsageWriter(prefix, platform, clock, random_state)
        rates = RateLimiter.from_settings(settings, clock)
        return cls(in_force, registry, grants, usage, rates, clock)

    def start(self) -> None:
        """Start the tasks that write grants and store usage."""
        self._tasks = [
            asyncio.create_task(self._grants.run()),
            asyncio.create_task(self._usage.run()),
        ]

    async def close(self) -> None:
        """Stop the tasks, return unused grants and store the remaining usage.

        The time for this is limited to a few seconds.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._grants.return_all_grants()
        for _ in range(_FLUSH_ATTEMPTS):
            if await self._usage.flush():
                return

    async def admit(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Reserve the maximum cost of a request; return the request to run.

        Parameters
        ----------
        request_id : str
            Id under which the request is settled later.
        draft : RequestDraft
            Request of the caller. Requests to plain services cost nothing.
        reparse : callable
            Function that parses the body after a ``cheaper-model`` rule changed it.

        Raises
        ------
        BadRequestError
            When a rate or the budget does not cover the request.
        """
        started_at_ms = self._clock.now_ms()
        self._admit_by_rate(request_id, draft)
        try:
            draft = await self._admit_by_budget(request_id, draft, reparse)
        except BaseException:
            # Also on cancellation, when the caller disconnects during the wait.
            self._settle_rates(request_id, 0, is_admitted=False)
            raise
        # The wait for a grant must not extend the caller's deadline.
        waited_ms = self._clock.now_ms() - started_at_ms
        return replace(draft, remaining_ms=max(1, draft.remaining_ms - waited_ms))

    def _admit_by_rate(self, request_id: str, draft: RequestDraft) -> None:
        """Reserve the request in the rates; raise BadRequestError above a rate."""
        rules = self._in_force.rules
        n_tokens = _max_cost(rules, draft, is_tokens=True) if draft.model else 0
        self._rates.admit(request_id, draft, n_tokens, rules)
        self._customer_by_rated_request[request_id] = draft.customer_id

    def _settle_rates(
        self, request_id: str, n_tokens: int | None, is_admitted: bool = True
    ) -> None:
        """Settle the request in the rates; a repeated call has no effect."""
        customer_id = self._customer_by_rated_request.pop(request_id, None)
        if customer_id is not None:
            self._rates.settle(customer_id, request_id, n_tokens, is_admitted)

    async def _admit_by_budget(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Reserve the request in the budget or as ``when-exhausted`` allows."""
        rules, version = self._in_force.rules, self._in_force.version
        budget = rules.budget_by_customer.get(draft.customer_id)
        if not draft.model or not version:
            return draft
        if budget is None:
            self._record_unlimited(request_id, draft, rules, version, "none")
            return draft
        if await self._reserve(request_id, draft, "budget", budget.limit):
            return draft
        return await self._apply_exhausted_rule(request_id, draft, reparse)

    def settle(self, request_id: str, outcome: str, exchange: Exchange | None) -> None:
        """Replace the reservation of a request by its cost, and record its usage.

        A request that certainly did not run costs nothing. A request whose usage is
        unknown costs its whole reservation. A repeated call has no effect.
        """
        usage = _determine_usage(outcome, exchange)
        n_tokens = None
        if usage is not None:
            n_tokens = usage.n_input_tokens + usage.n_output_tokens
        self._settle_rates(request_id, n_tokens)
        reservation = self._reservation_by_request_id.pop(request_id, None)
        if reservation is None:
            return
        n_charged = reservation.n_units
        if usage is not None:
            n_charged = compute_cost(
                reservation.rules,
                reservation.model,
                usage,
                reservation.unit == "tokens",
            )
        if reservation.allowance is not None:
            n_charged = reservation.allowance.holder.settle(request_id, n_charged)
        if usage is None or usage != Usage():
            self._usage.add(
                reservation.customer_id,
                reservation.model,
                reservation.config_version,
                (reservation.part, reservation.unit, n_charged),
                usage,
            )

    async def _apply_exhausted_rule(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Apply the ``when-exhausted`` rule of a customer whose budget is used up."""
        rules, version = self._in_force.rules, self._in_force.version
        rule = rules.when_exhausted_by_customer.get(draft.customer_id)
        if rule is None or rule.action is ExhaustedAction.REFUSE:
            raise self._exhausted_error(rules)
        if rule.action is ExhaustedAction.LOWER_PRIORITY:
            draft = replace(draft, priority=Priority.LOW)
        elif rule.model is not None:
            document = json.loads(draft.body)
            document["model"] = rule.model
            draft = reparse(json.dumps(document).encode())
        if rule.limit is None:
            self._record_unlimited(request_id, draft, rules, version, "extra")
        elif not await self._reserve(request_id, draft, "extra", rule.limit):
            raise self._exhausted_error(rules)
        return draft

    async def _reserve(
        self, request_id: str, draft: RequestDraft, part: str, limit: Limit
    ) -> bool:
        """Reserve the maximum cost in a part of the budget; return whether it fits."""
        rules, version = self._in_force.rules, self._in_force.version
        customer = draft.customer_id
        allowance = self._registry.get_or_create(customer, part, limit, rules, version)
        n_units = _max_cost(rules, draft, limit.is_tokens)
        if not await self._grants.reserve(allowance, request_id, n_units):
            return False
        self._reservation_by_request_id[request_id] = _Reservation(
            allowance, customer, draft.model, rules, version, part, limit.unit, n_units
        )
        return True

    def _record_unlimited(
        self,
        request_id: str,
        draft: RequestDraft,
        rules: RuleSet,
        version: int,
        part: str,
    ) -> None:
        """Record a request to which no limit of money or tokens applies."""
        n_units = _max_cost(rules, draft, is_tokens=False)
        self._reservation_by_request_id[request_id] = _Reservation(
            None,
            draft.customer_id,
            draft.model,
            rules,
            version,
            part,
            rules.currency,
            n_units,
        )

    def _exhausted_error(self, rules: RuleSet) -> BadRequestError:
        """Return the rejection of a request that the budget does not cover."""
        if self._grants.is_table_unavailable:
            detail = "the grant of this entry is used up, and the table is down"
            return BadRequestError(Reason.BUDGET_EXHAUSTED, detail, OUTAGE_RETRY_MS)
        until_month_end_ms = (
            self._registry.month_end_ms(rules.month_zone) - self._clock.wall_ms()
        )
        detail = "the budget of the month does not cover this request"
        return BadRequestError(
            Reason.BUDGET_EXHAUSTED, detail, max(until_month_end_ms, 1_000)
        )


def _max_cost(rules: RuleSet, draft: RequestDraft, is_tokens: bool) -> int:
    """Return the maximum cost of a request, in tokens or millionths of the currency."""
    return compute_max_cost(
        rules, draft.model, len(draft.body), draft.n_max_output_tokens, is_tokens
    )


def _determine_usage(outcome: str, exchange: Exchange | None) -> Usage | None:
    """Return the tokens that a request used, or ``None`` when they are unknown."""
    if exchange is None or not exchange.endpoint_by_attempt_id:
        return Usage()
    if outcome == Outcome.NOT_RUN:
        return Usage()
    usage, answer = exchange.usage, exchange.answer
    # An engine that reports no token counts must not make its answers free.
    if usage == Usage() and answer.status < 400 and answer.n_bytes:
        return None
    return usage
