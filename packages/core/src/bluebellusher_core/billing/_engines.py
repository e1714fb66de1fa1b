"""Cost of the scheduled engines of a service."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from fractions import Fraction

from bluebellusher_core.billing._money import SECONDS_PER_HOUR
from bluebellusher_core.billing._month import MonthSlice
from bluebellusher_core.rules import Engines


def find_applicable_rules(
    rules: Iterable[Engines], begin_s: int, end_s: int
) -> list[tuple[int, int, Engines]]:
    """Find the engine rule of a service that applies at each time of an interval.

    Of several rules, the one with the highest precedence applies: dates over hours
    and weekdays, and these over rules without either. The windows of rules with the
    same precedence do not overlap.

    Parameters
    ----------
    rules : iterable of Engines
        The engine rules of one service.
    begin_s, end_s : int
        Interval in seconds since 1970 UTC.

    Returns
    -------
    list of tuple
        Begin and end in seconds since 1970 UTC, and the rule that applies between
        them, in order of time. Times without a rule are left out.
    """
    boundaries: list[tuple[int, int, int]] = []
    engine_rules = list(rules)
    for index, rule in enumerate(engine_rules):
        for first_s, last_s in rule.schedule.windows(begin_s, end_s):
            boundaries.append((max(first_s, begin_s), 1, index))
            boundaries.append((min(last_s, end_s), -1, index))
    boundaries.sort()
    periods: list[tuple[int, int, Engines]] = []
    n_open_by_index: dict[int, int] = defaultdict(int)
    previous_s = begin_s
    for at_s, delta, index in boundaries:
        applicable_rules = [
            engine_rules[i] for i, n_open in n_open_by_index.items() if n_open > 0
        ]
        if applicable_rules and at_s > previous_s:
            applied_rule = max(
                applicable_rules, key=lambda rule: rule.schedule.precedence
            )
            periods.append((previous_s, at_s, applied_rule))
        previous_s = at_s
        n_open_by_index[index] += delta
    return periods


def price_engines(month_slice: MonthSlice, service: str) -> dict[Engines, Fraction]:
    """Return the cost of a service's engines in a slice, by engine rule.

    The result is empty if the service has no engine price.
    """
    price = month_slice.rules.engine_price_by_service.get(service)
    cost_by_rule: dict[Engines, Fraction] = defaultdict(Fraction)
    if price is None:
        return cost_by_rule
    rules = month_slice.rules.engines_by_service.get(service, [])
    n_seconds_by_rule: dict[Engines, int] = defaultdict(int)
    for begin_s, end_s, rule in find_applicable_rules(
        rules, month_slice.begin_s, month_slice.end_s
    ):
        n_seconds_by_rule[rule] += end_s - begin_s
    for rule, n_seconds in n_seconds_by_rule.items():
        n_engine_seconds = rule.n_engines * n_seconds
        cost = Fraction(price.price) * n_engine_seconds / SECONDS_PER_HOUR
        cost_by_rule[rule] += cost
    return cost_by_rule


def list_services(slices: Sequence[MonthSlice]) -> tuple[str, ...]:
    """Return the services that have engine rules, in the order of the files."""
    names: dict[str, None] = {}
    for month_slice in slices:
        names.update(dict.fromkeys(month_slice.rules.engines_by_service))
    return tuple(names)
