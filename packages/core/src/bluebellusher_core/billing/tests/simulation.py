"""Minute-by-minute simulation of a month, independent of billing's arithmetic."""

from collections import defaultdict
from datetime import datetime, timedelta
from fractions import Fraction
from zoneinfo import ZoneInfo

from bluebellusher_core.billing import EngineUsage, Month, TokenUsage, Usage
from bluebellusher_core.rules import Load, RuleSet, Schedule, TokenKind


def find_window_day(schedule: Schedule, at_s: int) -> object:
    """Return the local day on which the window that contains ``at_s`` begins.

    Return ``None`` if no window contains ``at_s``.
    """
    local = datetime.fromtimestamp(at_s, ZoneInfo(schedule.zone))
    minute = local.hour * 60 + local.minute
    begin, end = schedule.time_range or (0, 1440)
    day = local.date()
    if begin < end:
        return day if begin <= minute < end and schedule.has_window_on(day) else None
    if minute >= begin and schedule.has_window_on(day):
        return day
    day -= timedelta(days=1)
    return day if minute < end and schedule.has_window_on(day) else None


def simulate_engines(rules: RuleSet, month: Month) -> list[Usage]:
    """Simulate the scheduled engines of each service and return their usage."""
    usage: list[Usage] = []
    for service, engine_rules in rules.engines_by_service.items():
        period: list[int] = [0, 0, 0]
        for at_s in range(month.begin_s, month.end_s, 60):
            applicable_rules = [
                r for r in engine_rules if find_window_day(r.schedule, at_s) is not None
            ]
            applied_rule = max(
                applicable_rules,
                key=lambda rule: rule.schedule.precedence,
                default=None,
            )
            n_engines = applied_rule.n_engines if applied_rule else 0
            if period[2] != n_engines:
                usage.append(EngineUsage(service, *period))
                period = [at_s, at_s, n_engines]
            period[1] = at_s + 60
        usage.append(EngineUsage(service, *period))
    return usage


class Meter:
    """Meter of one customer, which admits requests as its rules allow.

    ``within_budget`` has the money and the tokens used within the budget, and
    ``after_budget`` those used after it is exhausted. ``n_in_period`` has the number
    of admitted tokens by the begin of each simulated minute.
    """

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.within_budget = [Fraction(0), Fraction(0)]
        self.after_budget = [Fraction(0), Fraction(0)]
        self.n_in_period: dict[int, int] = defaultdict(int)

    def admit(
        self,
        rules: RuleSet,
        model: str,
        at_s: int,
        counts: tuple[int, int, int],
        n_requests: int = 1,
    ) -> list[TokenUsage]:
        """Admit as many of ``n_requests`` as the rules allow and return their usage.

        ``counts`` has the input, cached and output tokens of one request.
        """
        rate = rules.rate_by_customer.get((self.customer, "tokens"))
        n_tokens = max(sum(counts), 1)
        if rate:
            n_free_tokens = rate.n_units * 60 - self.n_in_period[at_s]
            n_requests = min(n_requests, n_free_tokens // n_tokens)
        self.n_in_period[at_s] += n_requests * n_tokens
        budget = rules.budget_by_customer.get(self.customer)
        limit = budget and budget.limit
        n_within_budget = self._spend_up_to(
            rules, model, counts, self.within_budget, limit, n_requests
        )
        usage = [self._make_usage(model, at_s, counts, n_within_budget)]
        rule = rules.when_exhausted_by_customer.get(self.customer)
        if n_within_budget < n_requests and rule and rule.action != "refuse":
            model = rule.model or model
            n_after_budget = n_requests - n_within_budget
            n_after_budget = self._spend_up_to(
                rules, model, counts, self.after_budget, rule.limit, n_after_budget
            )
            usage.append(self._make_usage(model, at_s, counts, n_after_budget))
        return usage

    def _spend_up_to(self, rules, model, counts, used, limit, n_requests) -> int:
        """Add to ``used`` as many requests as ``limit`` allows; return their number."""
        prices = rules.price_by_model[model]
        pairs = zip(TokenKind, counts, strict=True)
        cost = sum(Fraction(prices[kind].price) * n for kind, n in pairs) / 10**6
        use_per_request = (cost, sum(counts))
        if limit:
            is_tokens = limit.unit == "tokens"
            remaining = Fraction(limit.amount) - used[is_tokens]
            if use_per_request[is_tokens]:
                n_requests = max(
                    0, min(n_requests, int(remaining // use_per_request[is_tokens]))
                )
        for i in range(2):
            used[i] += use_per_request[i] * n_requests
        return n_requests

    def _make_usage(self, model, at_s, counts, n_requests) -> TokenUsage:
        return TokenUsage(self.customer, model, at_s, *(n * n_requests for n in counts))


def simulate_load(rules: RuleSet, load: Load, month: Month, meter: Meter) -> list:
    """Send the expected requests of a load to a meter, spread over each window.

    Return the usage of the requests that the meter admits.
    """
    minutes_by_day = defaultdict(list)
    for at_s in range(month.begin_s - 86400, month.end_s + 86400, 60):
        day = find_window_day(load.schedule, at_s)
        if day is not None:
            minutes_by_day[day].append(at_s)
    counts = (load.n_input, load.n_cached, load.n_output)
    usage = []
    for minutes in minutes_by_day.values():
        for i, at_s in enumerate(minutes):
            n_before = i * load.n_requests // len(minutes)
            n_now = (i + 1) * load.n_requests // len(minutes) - n_before
            if n_now and month.begin_s <= at_s < month.end_s:
                usage += meter.admit(rules, load.target, at_s, counts, n_now)
    return usage
