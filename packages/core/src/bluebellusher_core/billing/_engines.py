"""Cost of the scheduled engines of a service."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from fractions import Fraction

from bluebellusher_core.billing._money import SECONDS_PER_HOUR
from bluebellusher_core.billing._month import Slice
from bluebellusher_core.rules import Engines


def run_seconds(
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
    marks: list[tuple[int, int, int]] = []
    group = list(rules)
    for index, rule in enumerate(group):
        for first_s, last_s in rule.schedule.windows(begin_s, end_s):
            marks.append((max(first_s, begin_s), 1, index))
            marks.append((min(last_s, end_s), -1, index))
    marks.sort()
    parts: list[tuple[int, int, Engines]] = []
    n_open_by_index: dict[int, int] = defaultdict(int)
    previous_s = begin_s
    for at_s, step, index in marks:
        held = [group[i] for i, n_open in n_open_by_index.items() if n_open > 0]
        if held and at_s > previous_s:
            winner = max(held, key=lambda rule: rule.schedule.precedence)
            parts.append((previous_s, at_s, winner))
        previous_s = at_s
        n_open_by_index[index] += step
    return parts


def price_engines(part: Slice, service: str) -> dict[Engines, Fraction]:
    """Return the cost of a service's engines in a slice, by engine rule.

    The result is empty if the service has no engine price.
    """
    price = part.rules.engine_price_by_service.get(service)
    cost_by_rule: dict[Engines, Fraction] = defaultdict(Fraction)
    if price is None:
        return cost_by_rule
    rules = part.rules.engines_by_service.get(service, [])
    n_seconds_by_rule: dict[Engines, int] = defaultdict(int)
    for begin_s, end_s, rule in run_seconds(rules, part.begin_s, part.end_s):
        n_seconds_by_rule[rule] += end_s - begin_s
    for rule, n_seconds in n_seconds_by_rule.items():
        n_engine_seconds = rule.n_engines * n_seconds
        cost = Fraction(price.price) * n_engine_seconds / SECONDS_PER_HOUR
        cost_by_rule[rule] += cost
    return cost_by_rule


def services_of(slices: Sequence[Slice]) -> tuple[str, ...]:
    """Return the services that have engine rules, in the order of the files."""
    names: dict[str, None] = {}
    for part in slices:
        names.update(dict.fromkeys(part.rules.engines_by_service))
    return tuple(names)
