"""Upper bounds of one customer's spending on tokens in a month."""

from collections.abc import Sequence
from dataclasses import dataclass
from fractions import Fraction

from bluebellusher_core.billing._money import TOKENS_PER_PRICE
from bluebellusher_core.billing._month import Slice
from bluebellusher_core.rules import (
    TOKENS_UNIT,
    Budget,
    ExhaustedAction,
    Limit,
    Rate,
    Rule,
    RuleSet,
    WhenExhausted,
)


@dataclass(frozen=True, slots=True)
class Bound:
    """Amount of money that spending cannot exceed, and the last rule that sets it.

    ``rule`` is ``None`` if no rule allows any spending; the amount is then 0.
    """

    amount: Fraction
    rule: Rule | None


@dataclass(frozen=True, slots=True)
class Ceiling:
    """Bounds of one customer's spending in a month.

    ``normal`` bounds the spending within the budget and ``extra`` that after the
    budget is exhausted. If ``whole`` is set, the token rate is a lower limit than
    these two together, and ``whole`` bounds all spending in their place.
    """

    normal: Bound
    extra: Bound
    whole: Bound | None = None


@dataclass(frozen=True, slots=True)
class _Terms:
    """Rules and prices that limit one customer's spending during a slice.

    ``price`` is the highest price of one token within the budget and ``extra_price``
    the highest price of one token after it is exhausted.
    """

    budget: Budget | None
    exhausted: WhenExhausted | None
    rate: Rate | None
    price: Fraction
    extra_price: Fraction


def bound_spending(customer: str, slices: Sequence[Slice]) -> Ceiling:
    """Compute bounds for any spending that respects the rules of each slice.

    Raises
    ------
    ValueError
        If neither a budget nor a token rate bounds the spending of the customer. The
        checks of a rules file report such a customer as an error.
    """
    normal = extra = Bound(Fraction(0), None)
    whole: Bound | None = Bound(Fraction(0), None)
    tokens_base, n_tokens, price = Fraction(0), Fraction(0), Fraction(0)
    for terms, intervals in _merge(customer, slices):
        by_rate = _bound_by_rate(terms, intervals)
        if by_rate is None or whole is None:
            whole = None
        else:
            whole = Bound(whole.amount + by_rate, terms.rate)
        budget = terms.budget
        if budget is not None and budget.limit.is_tokens:
            # Tokens of consecutive slices count together against the largest of
            # their budgets. Adding up these budgets would double the bound whenever
            # a price changes within the month.
            n_tokens = max(n_tokens, Fraction(budget.limit.amount))
            price = max(price, terms.price)
            normal = Bound(tokens_base + n_tokens * price, budget)
        else:
            normal = _bound_by_money(customer, normal, terms, by_rate)
            tokens_base, n_tokens, price = normal.amount, Fraction(0), Fraction(0)
        extra = _bound_extra(customer, extra, terms, by_rate)
    if whole is not None and whole.amount < normal.amount + extra.amount:
        return Ceiling(normal, extra, whole)
    return Ceiling(normal, extra)


def _merge(
    customer: str, slices: Sequence[Slice]
) -> list[tuple[_Terms, list[tuple[int, int]]]]:
    """Merge consecutive slices in which the customer's terms are equal.

    Returns
    -------
    list of tuple
        The terms, and the intervals of time in which they are in force, as begin and
        end in seconds since 1970 UTC. Adjacent intervals are joined.
    """
    merged: list[tuple[_Terms, list[tuple[int, int]]]] = []
    for part in slices:
        if customer not in part.rules.customers:
            continue
        terms = _terms(customer, part.rules)
        if not merged or merged[-1][0] != terms:
            merged.append((terms, []))
        intervals = merged[-1][1]
        if intervals and intervals[-1][1] == part.begin_s:
            intervals[-1] = (intervals[-1][0], part.end_s)
        else:
            intervals.append((part.begin_s, part.end_s))
    return merged


def _terms(customer: str, rules: RuleSet) -> _Terms:
    """Collect the terms of a customer from a rule set."""
    exhausted = rules.exhausted_by_customer.get(customer)
    price = _highest_price(rules, None)
    model = exhausted.model if exhausted else None
    return _Terms(
        budget=rules.budget_by_customer.get(customer),
        exhausted=exhausted,
        rate=rules.rate_by_customer.get((customer, TOKENS_UNIT)),
        price=price,
        extra_price=_highest_price(rules, model) if model else price,
    )


def _highest_price(rules: RuleSet, model: str | None) -> Fraction:
    """Return the highest price of one token on a model, or on all if it is ``None``."""
    groups = rules.price_by_model
    chosen = groups.values() if model is None else [groups.get(model, {})]
    prices = [rule.price for group in chosen for rule in group.values()]
    return Fraction(max(prices, default=0)) / TOKENS_PER_PRICE


def _bound_by_rate(terms: _Terms, intervals: list[tuple[int, int]]) -> Fraction | None:
    """Return the cost of full use of the token rate; ``None`` without such a rate."""
    if terms.rate is None:
        return None
    period_s = terms.rate.period_s
    # A rate period that lies only partly in a slice counts in full, because the
    # customer may use all tokens of the period in the part inside the slice.
    n_periods = sum(-(-end // period_s) - begin // period_s for begin, end in intervals)
    return n_periods * terms.rate.n_units * max(terms.price, terms.extra_price)


def _bound_by_money(
    customer: str, bound: Bound, terms: _Terms, by_rate: Fraction | None
) -> Bound:
    """Update the bound within the budget for terms without a budget in tokens.

    Spending of earlier slices counts against a budget in money, so that the higher
    of the previous bound and the budget applies. Without a budget, the token rate
    adds to the bound.
    """
    if terms.budget is not None:
        amount = Fraction(terms.budget.limit.amount)
        return Bound(max(bound.amount, amount), terms.budget)
    return _add_rate(customer, bound, terms, by_rate)


def _bound_extra(
    customer: str, bound: Bound, terms: _Terms, by_rate: Fraction | None
) -> Bound:
    """Update the bound after the budget for the ``when-exhausted`` rule of terms."""
    rule = terms.exhausted
    if rule is None or rule.action is ExhaustedAction.REFUSE:
        return bound
    if rule.limit is None:
        return _add_rate(customer, bound, terms, by_rate)
    return Bound(_extend(bound.amount, rule.limit, terms.extra_price), rule)


def _extend(amount: Fraction, limit: Limit, price: Fraction) -> Fraction:
    """Update a bound for a limit after the budget.

    Tokens add to the bound. Earlier spending counts against a limit in money, so that
    the higher of the bound and the limit applies.
    """
    if limit.is_tokens:
        return amount + Fraction(limit.amount) * price
    return max(amount, Fraction(limit.amount))


def _add_rate(
    customer: str, bound: Bound, terms: _Terms, by_rate: Fraction | None
) -> Bound:
    """Add the cost of full use of the token rate to a bound.

    Raises
    ------
    ValueError
        If the customer has no token rate.
    """
    if by_rate is None:
        raise ValueError(
            f"customer={customer!r}: expected a budget or a token rate that bounds "
            "its spending"
        )
    return Bound(bound.amount + by_rate, terms.rate)
