"""Budgets of customers: admission, settlement and what follows their end."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bluebellusher.allowance._book import Allowance, AllowanceBook
from bluebellusher.allowance._costs import cost_of, worst_cost_of
from bluebellusher.allowance._grants import GrantWriter
from bluebellusher.allowance._rates import RateLimits
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

# A caller that was refused because the table is down may find it up again.
OUTAGE_RETRY_MS = 5_000
_FLUSH_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _Reservation:
    """What was set aside for one request."""

    allowance: Allowance | None
    customer_id: str
    model: str
    rules: RuleSet
    config_version: int
    part: str
    unit: str
    n_units: int


class Spending:
    """Let requests in within the rates and budgets of the rules in force.

    Parameters
    ----------
    in_force : ConfigInForce
        Gives the rules.
    book : AllowanceBook
        Allowances of this entry.
    grants : GrantWriter
        Enlarges and returns them.
    usage : UsageWriter
        Stores what was used.
    rates : RateLimits
        Shares of the rates.
    clock : Clock
        Wall time gives the wait until the end of the month.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        book: AllowanceBook,
        grants: GrantWriter,
        usage: UsageWriter,
        rates: RateLimits,
        clock: Clock,
    ) -> None:
        self._in_force = in_force
        self._book = book
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
    ) -> "Spending":
        """Build everything from the parts of an entry."""
        instance = f"{settings.instance_id}/{incarnation}"
        book = AllowanceBook(instance, len(settings.peers) + 1, clock)
        grants = GrantWriter(book, platform, clock, random_state)
        prefix = f"usage/{settings.failure_domain}/{instance}"
        usage = UsageWriter(prefix, platform, clock, random_state)
        rates = RateLimits.from_settings(settings, clock)
        return cls(in_force, book, grants, usage, rates, clock)

    def start(self) -> None:
        """Begin to take grants and to store usage."""
        self._tasks = [
            asyncio.create_task(self._grants.run()),
            asyncio.create_task(self._usage.run()),
        ]

    async def close(self) -> None:
        """Return grants and store the rest of the usage, within a few seconds."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._grants.return_all()
        for _ in range(_FLUSH_ATTEMPTS):
            if await self._usage.flush():
                return

    async def admit(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Reserve the worst cost of a request; return the request to run.

        Parameters
        ----------
        request_id : str
            Settled later under this id.
        draft : RequestDraft
            What the caller asks for; calls to plain services cost nothing.
        reparse : callable
            Reads a changed body, for ``cheaper-model``.

        Raises
        ------
        BadRequestError
            When a rate or the budget does not allow it.
        """
        started_at_ms = self._clock.now_ms()
        self._admit_by_rate(request_id, draft)
        try:
            draft = await self._admit(request_id, draft, reparse)
        except BaseException:
            # Also when the caller leaves while the request waits for a grant.
            self._settle_rates(request_id, 0, is_admitted=False)
            raise
        # The wait for a grant must not prolong the caller's deadline.
        waited_ms = self._clock.now_ms() - started_at_ms
        return replace(draft, remaining_ms=max(1, draft.remaining_ms - waited_ms))

    def _admit_by_rate(self, request_id: str, draft: RequestDraft) -> None:
        rules = self._in_force.rules
        n_tokens = _worst(rules, draft, is_tokens=True) if draft.model else 0
        self._rates.admit(request_id, draft, n_tokens, rules)
        self._customer_by_rated_request[request_id] = draft.customer_id

    def _settle_rates(
        self, request_id: str, n_tokens: int | None, is_admitted: bool = True
    ) -> None:
        customer_id = self._customer_by_rated_request.pop(request_id, None)
        if customer_id is not None:
            self._rates.settle(customer_id, request_id, n_tokens, is_admitted)

    async def _admit(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        rules, version = self._in_force.rules, self._in_force.version
        budget = rules.budget_by_customer.get(draft.customer_id)
        if not draft.model or not version:
            return draft
        if budget is None:
            self._note_free(request_id, draft, rules, version, "none")
            return draft
        if await self._reserve(request_id, draft, "budget", budget.limit):
            return draft
        return await self._continue(request_id, draft, reparse)

    def settle(self, request_id: str, outcome: str, exchange: Exchange | None) -> None:
        """Replace a reservation by what was used; a repeat does nothing.

        A request that certainly did not run costs nothing. One whose usage is not
        known costs its reservation.
        """
        usage = _find_usage(outcome, exchange)
        n_tokens = None
        if usage is not None:
            n_tokens = usage.n_input_tokens + usage.n_output_tokens
        self._settle_rates(request_id, n_tokens)
        reservation = self._reservation_by_request_id.pop(request_id, None)
        if reservation is None:
            return
        charged = reservation.n_units
        if usage is not None:
            charged = cost_of(
                reservation.rules,
                reservation.model,
                usage,
                reservation.unit == "tokens",
            )
        if reservation.allowance is not None:
            charged = reservation.allowance.holder.settle(request_id, charged)
        if usage is None or usage != Usage():
            self._usage.add(
                reservation.customer_id,
                reservation.model,
                reservation.config_version,
                (reservation.part, reservation.unit, charged),
                usage,
            )

    async def _continue(
        self,
        request_id: str,
        draft: RequestDraft,
        reparse: Callable[[bytes], RequestDraft],
    ) -> RequestDraft:
        """Apply the ``when-exhausted`` rule of a customer without budget."""
        rules, version = self._in_force.rules, self._in_force.version
        rule = rules.when_exhausted_by_customer.get(draft.customer_id)
        if rule is None or rule.action is ExhaustedAction.REFUSE:
            raise self._exhausted(rules)
        if rule.action is ExhaustedAction.LOWER_PRIORITY:
            draft = replace(draft, priority=Priority.LOW)
        elif rule.model is not None:
            document = json.loads(draft.body)
            document["model"] = rule.model
            draft = reparse(json.dumps(document).encode())
        if rule.limit is None:
            self._note_free(request_id, draft, rules, version, "extra")
        elif not await self._reserve(request_id, draft, "extra", rule.limit):
            raise self._exhausted(rules)
        return draft

    async def _reserve(
        self, request_id: str, draft: RequestDraft, part: str, limit: Limit
    ) -> bool:
        rules, version = self._in_force.rules, self._in_force.version
        customer = draft.customer_id
        allowance = self._book.find(customer, part, limit, rules, version)
        n_units = _worst(rules, draft, limit.is_tokens)
        if not await self._grants.reserve(allowance, request_id, n_units):
            return False
        self._reservation_by_request_id[request_id] = _Reservation(
            allowance, customer, draft.model, rules, version, part, limit.unit, n_units
        )
        return True

    def _note_free(
        self,
        request_id: str,
        draft: RequestDraft,
        rules: RuleSet,
        version: int,
        part: str,
    ) -> None:
        """Note a request that no limit of money or tokens applies to."""
        n_units = _worst(rules, draft, is_tokens=False)
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

    def _exhausted(self, rules: RuleSet) -> BadRequestError:
        if self._grants.is_table_down:
            detail = "the grant of this entry is used up, and the table is down"
            return BadRequestError(Reason.BUDGET_EXHAUSTED, detail, OUTAGE_RETRY_MS)
        left_ms = self._book.month_end_ms(rules.month_zone) - self._clock.wall_ms()
        detail = "the budget of the month does not cover this request"
        return BadRequestError(Reason.BUDGET_EXHAUSTED, detail, max(left_ms, 1_000))


def _worst(rules: RuleSet, draft: RequestDraft, is_tokens: bool) -> int:
    return worst_cost_of(
        rules, draft.model, len(draft.body), draft.n_max_output_tokens, is_tokens
    )


def _find_usage(outcome: str, exchange: Exchange | None) -> Usage | None:
    """Return what a request used, or ``None`` when that is unknown."""
    if exchange is None or not exchange.endpoint_by_attempt_id:
        return Usage()
    if outcome == Outcome.NOT_RUN:
        return Usage()
    usage, answer = exchange.usage, exchange.answer
    # An engine that does not count tokens must not make its answers free.
    if usage == Usage() and answer.status < 400 and answer.n_bytes:
        return None
    return usage
