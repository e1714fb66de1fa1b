"""Upper bounds of one customer's spending on tokens in a month."""

from collections.abc import Sequence
from dataclasses import dataclass
from fractions import Fraction

from bluebellusher_core.billing._money import TOKENS_PER_PRICE
from bluebellusher_core.billing._month import MonthSlice
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

    ``within_budget`` bounds the spending within the budget and ``after_budget`` that
    after the budget is exhausted. If ``combined`` is set, the token rate is a lower
    limit than these two together, and ``combined`` bounds all spending in their place.
    """

    within_budget: Bound
    after_budget: Bound
    combined: Bound | None = None


@dataclass(frozen=True, slots=True)
class _CustomerTerms:
    """Rules and prices that limit one customer's spending during a slice.

    ``price`` is the highest price of one token within the budget and
    ``price_after_budget`` the highest price of one token after it is exhausted.
    """

    budget: Budget | None
    when_exhausted: WhenExhausted | None
    rate: Rate | None
    price: Fraction
    price_after_budget: Fraction


def bound_spending(customer: str, slices: Sequence[MonthSlice]) -> Ceiling:
    """Compute bounds for any spending that respects the rules of each slice.

    Raises
    ------
    ValueError
        If neither a budget nor a token rate bounds the spending of the customer. The
        checks of a rules file report such a customer as an error.
    """
    within_budget = after_budget = Bound(Fraction(0), None)
    combined: Bound | None = Bound(Fraction(0), None)
    base_amount, n_budget_tokens, price = Fraction(0), Fraction(0), Fraction(0)
    for terms, intervals in _merge_slices(customer, slices):
        full_rate_cost = _compute_full_rate_cost(terms, intervals)
        if full_rate_cost is None or combined is None:
            combined = None
        else:
            combined = Bound(combined.amount + full_rate_cost, terms.rate)
        budget = terms.budget
        if budget is not None and budget.limit.is_tokens:
            # Tokens of consecutive slices count together against the largest of
            # their budgets. Adding up these budgets would double the bound whenever
            # a price changes within the month.
            n_budget_tokens = max(n_budget_tokens, Fraction(budget.limit.amount))
            price = max(price, terms.price)
            within_budget = Bound(base_amount + n_budget_tokens * price, budget)
        else:
            within_budget = _update_bound_within_budget(
                customer, within_budget, terms, full_rate_cost
            )
            base_amount, n_budget_tokens, price = (
                within_budget.amount,
                Fraction(0),
                Fraction(0),
            )
        after_budget = _update_bound_after_budget(
            customer, after_budget, terms, full_rate_cost
        )
    if (
        combined is not None
        and combined.amount < within_budget.amount + after_budget.amount
    ):
        return Ceiling(within_budget, after_budget, combined)
    return Ceiling(within_budget, after_budget)


def _merge_slices(
    customer: str, slices: Sequence[MonthSlice]
) -> list[tuple[_CustomerTerms, list[tuple[int, int]]]]:
    """Merge consecutive slices in which the customer's terms are equal.

    Returns
    -------
    list of tuple
        The terms, and the intervals of time in which they are in force, as begin and
        end in seconds since 1970 UTC. Adjacent intervals are joined.
    """
    merged: list[tuple[_CustomerTerms, list[tuple[int, int]]]] = []
    for month_slice in slices:
        if customer not in month_slice.rules.customers:
            continue
        terms = _collect_terms(customer, month_slice.rules)
        if not merged or merged[-1][0] != terms:
            merged.append((terms, []))
        intervals = merged[-1][1]
        if intervals and intervals[-1][1] == month_slice.begin_s:
            intervals[-1] = (intervals[-1][0], month_slice.end_s)
        else:
            intervals.append((month_slice.begin_s, month_slice.end_s))
    return merged


def _collect_terms(customer: str, rules: RuleSet) -> _CustomerTerms:
    """Collect the terms of a customer from a rule set."""
    when_exhausted = rules.when_exhausted_by_customer.get(customer)
    price = _find_highest_price(rules, None)
    model = when_exhausted.model if when_exhausted else None
    return _CustomerTerms(
        budget=rules.budget_by_customer.get(customer),
        when_exhausted=when_exhausted,
        rate=rules.rate_by_customer.get((customer, TOKENS_UNIT)),
        price=price,
        price_after_budget=_find_highest_price(rules, model) if model else price,
    )


def _find_highest_price(rules: RuleSet, model: str | None) -> Fraction:
    """Return the highest price of one token on a model, or on any if it is ``None``."""
    prices_by_model = rules.price_by_model
    selected = (
        prices_by_model.values() if model is None else [prices_by_model.get(model, {})]
    )
    prices = [rule.price for model_prices in selected for rule in model_prices.values()]
    return Fraction(max(prices, default=0)) / TOKENS_PER_PRICE


def _compute_full_rate_cost(
    terms: _CustomerTerms, intervals: list[tuple[int, int]]
) -> Fraction | None:
    """Return the cost of full use of the token rate; ``None`` without such a rate."""
    if terms.rate is None:
        return None
    period_s = terms.rate.period_s
    # A rate period that lies only partly in a slice counts in full, because the
    # customer may use all tokens of the period in the part inside the slice.
    n_periods = sum(-(-end // period_s) - begin // period_s for begin, end in intervals)
    return n_periods * terms.rate.n_units * max(terms.price, terms.price_after_budget)


def _update_bound_within_budget(
    customer: str, bound: Bound, terms: _CustomerTerms, full_rate_cost: Fraction | None
) -> Bound:
    """Update the bound within the budget for terms without a budget in tokens.

    Spending of earlier slices counts against a budget in money, so that the higher
    of the previous bound and the budget applies. Without a budget, the token rate
    adds to the bound.
    """
    if terms.budget is not None:
        amount = Fraction(terms.budget.limit.amount)
        return Bound(max(bound.amount, amount), terms.budget)
    return _add_full_rate_cost(customer, bound, terms, full_rate_cost)


def _update_bound_after_budget(
    customer: str, bound: Bound, terms: _CustomerTerms, full_rate_cost: Fraction | None
) -> Bound:
    """Update the bound after the budget for a ``when-exhausted`` rule."""
    rule = terms.when_exhausted
    if rule is None or rule.action is ExhaustedAction.REFUSE:
        return bound
    if rule.limit is None:
        return _add_full_rate_cost(customer, bound, terms, full_rate_cost)
    return Bound(
        _extend_by_limit(bound.amount, rule.limit, terms.price_after_budget), rule
    )


def _extend_by_limit(amount: Fraction, limit: Limit, price: Fraction) -> Fraction:
    """Update a bound for a limit after the budget.

    Tokens add to the bound. Earlier spending counts against a limit in money, so that
    the higher of the bound and the limit applies.
    """
    if limit.is_tokens:
        return amount + Fraction(limit.amount) * price
    return max(amount, Fraction(limit.amount))


def _add_full_rate_cost(
    customer: str, bound: Bound, terms: _CustomerTerms, full_rate_cost: Fraction | None
) -> Bound:
    """Add the cost of full use of the token rate to a bound.

    Raises
    ------
    ValueError
        If the customer has no token rate.
    """
    if full_rate_cost is None:
        raise ValueError(
            f"customer={customer!r}: expected a budget or a token rate that bounds "
            "its spending"
        )
    return Bound(bound.amount + full_rate_cost, terms.rate)
