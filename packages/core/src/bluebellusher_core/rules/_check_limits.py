"""Checks of the rules that limit a customer: budgets, ``when-exhausted`` and rates."""

from collections.abc import Collection, Iterator
from decimal import Decimal

from bluebellusher_core.rules._model import (
    TOKENS_UNIT,
    Budget,
    Customer,
    ExhaustedAction,
    Limit,
    Load,
    Rule,
    TokenKind,
    WhenExhausted,
)
from bluebellusher_core.rules._ruleset import RuleSet
from bluebellusher_core.rules._schedule import MINUTES_PER_DAY, Schedule

Finding = tuple[Rule, str, str, str]


def check_limits(rules: RuleSet, unparsed_words: Collection[str]) -> Iterator[Finding]:
    """Yield the errors of budgets, ``when-exhausted`` rules and rates.

    Each finding consists of the rule, the word to which the error points, what is
    found and what is expected. ``unparsed_words`` has the words of lines with a syntax
    error, which may declare a name or a budget.
    """
    for budget in rules.of_type(Budget):
        yield from _check_currency(rules, budget, budget.limit)
    for when_exhausted in rules.of_type(WhenExhausted):
        yield from _check_when_exhausted(rules, when_exhausted, unparsed_words)
    for customer in rules.of_type(Customer):
        yield from _check_has_limit(rules, customer, unparsed_words)
    for load in rules.of_type(Load):
        yield from _check_load_within_rate(rules, load)


def _check_currency(rules: RuleSet, rule: Rule, limit: Limit) -> Iterator[Finding]:
    """Yield a limit in another currency than that of the file."""
    if rules.currency and not limit.is_tokens and limit.unit != rules.currency:
        expected = f"{rules.currency}, the currency of the file, or tokens"
        yield rule, limit.unit, f"the currency {limit.unit}", expected


def _check_when_exhausted(
    rules: RuleSet, rule: WhenExhausted, unparsed_words: Collection[str]
) -> Iterator[Finding]:
    """Yield the errors of a ``when-exhausted`` rule, except an absent limit."""
    customer = rule.customer
    if customer not in rules.budget_by_customer and customer not in unparsed_words:
        found = f"no budget for '{customer}'"
        yield rule, customer, found, f"a rule 'budget {customer} ... per month'"
    if rule.limit:
        yield from _check_currency(rules, rule, rule.limit)
    if rule.model and rule.model in rules.service_by_model:
        yield from _check_cheaper_model(rules, rule, rule.model)


def _check_cheaper_model(
    rules: RuleSet, rule: WhenExhausted, model: str
) -> Iterator[Finding]:
    """Yield a ``cheaper-model`` that is not cheaper than the models of the customer.

    These are the models of the customer's loads, or all models if no load of the
    customer is on a model.
    """
    loads = rules.loads_by_customer.get(rule.customer, [])
    targets = [load.target for load in loads if load.target in rules.service_by_model]
    other_models = set(targets or rules.service_by_model) - {model}
    model_prices = _get_prices(rules, model)
    # A model that lacks a price is reported at its declaration.
    if model_prices is None or any(
        _get_prices(rules, other_model) is None for other_model in other_models
    ):
        return
    if not any(
        _is_cheaper(model_prices, _get_prices(rules, other_model))
        for other_model in other_models
    ):
        found = f"'{model}', which is not cheaper than any model of '{rule.customer}'"
        yield rule, model, found, "a model with lower token prices"
        return
    for other_model in sorted(set(targets) - {model}):
        if not _is_cheaper(model_prices, _get_prices(rules, other_model)):
            found = f"'{model}', which is not cheaper than '{other_model}'"
            yield rule, model, found, "no higher token price and at least one lower"


def _get_prices(rules: RuleSet, model: str) -> tuple[Decimal, ...] | None:
    """Return the prices of a model by kind of token, or ``None`` if one is absent."""
    prices = rules.price_by_model.get(model, {})
    if len(prices) < len(TokenKind):
        return None
    return tuple(prices[kind].price for kind in TokenKind)


def _is_cheaper(
    prices: tuple[Decimal, ...], other_prices: tuple[Decimal, ...] | None
) -> bool:
    """Return whether no price is above its counterpart and at least one is below it."""
    if other_prices is None:
        return False
    pairs = list(zip(prices, other_prices, strict=True))
    return prices != other_prices and all(price <= other for price, other in pairs)


def _check_has_limit(
    rules: RuleSet, rule: Customer, unparsed_words: Collection[str]
) -> Iterator[Finding]:
    """Yield a customer whose spending has no limit.

    A token rate limits all spending. Without one, a customer needs a budget, and its
    ``when-exhausted`` rule a limit, unless that rule refuses further requests.
    """
    customer = rule.customer
    has_rate = (customer, TOKENS_UNIT) in rules.rate_by_customer
    if has_rate or customer in unparsed_words:
        return
    if customer not in rules.budget_by_customer:
        found = f"no limit on the spending of '{customer}'"
        expected = f"a rule 'budget {customer} ...' or 'rate {customer} N tokens ...'"
        yield rule, customer, found, expected
    when_exhausted = rules.when_exhausted_by_customer.get(customer)
    if when_exhausted is None or when_exhausted.action is ExhaustedAction.REFUSE:
        return
    if when_exhausted.limit is None:
        found = f"no limit on the spending of '{customer}' after its budget"
        expected = f"'up to AMOUNT UNIT', or 'rate {customer} N tokens ...'"
        yield when_exhausted, when_exhausted.action, found, expected


def _check_load_within_rate(rules: RuleSet, load: Load) -> Iterator[Finding]:
    """Yield a load whose requests or tokens per day exceed the customer's rate."""
    for unit, n_per_request in (("requests", 1), (TOKENS_UNIT, load.n_tokens)):
        rate = rules.rate_by_customer.get((load.customer, unit))
        if rate is None:
            continue
        n_per_day = load.n_requests * n_per_request
        n_allowed = rate.n_units * _get_seconds_per_day(load.schedule) // rate.period_s
        if n_per_day > n_allowed:
            found = f"{n_per_day} {unit} per day"
            expected = f"at most {n_allowed}, as the rate on line {rate.line} allows"
            yield load, str(load.n_requests), found, expected


def _get_seconds_per_day(schedule: Schedule) -> int:
    """Return the length of a daily window in seconds on a day of 24 hours."""
    begin, end = schedule.time_range or (0, MINUTES_PER_DAY)
    return ((end - begin - 1) % MINUTES_PER_DAY + 1) * 60
