"""Checks of the rules of a file against each other."""

import re
from collections import defaultdict
from collections.abc import Collection, Iterator, Sequence

from bluebellusher_core.rules._check_limits import check_limits
from bluebellusher_core.rules._cursor import RuleError
from bluebellusher_core.rules._model import (
    Budget,
    Capacity,
    Currency,
    Customer,
    EnginePrice,
    Engines,
    Load,
    Model,
    MonthZone,
    Priority,
    Rate,
    Rule,
    Share,
    TokenKind,
    TokenPrice,
    WhenExhausted,
)
from bluebellusher_core.rules._overlap import overlaps
from bluebellusher_core.rules._ruleset import RuleSet

Finding = tuple[Rule, str, str, str]


def check_rules(
    rules: RuleSet, lines: Sequence[str], unparsed_words: Collection[str]
) -> list[RuleError]:
    """Check the rules of a file against each other and return the errors.

    Parameters
    ----------
    rules : RuleSet
        The rules of all lines without a syntax error.
    lines : sequence of str
        All lines of the file, to find the columns of errors.
    unparsed_words : collection of str
        Words of the lines with a syntax error. Names among them are not reported as
        undeclared, because such a line may declare them.
    """
    errors = [
        RuleError(rule.line, _find_column(lines, rule, word), found, expected)
        for rule, word, found, expected in _find_errors(rules, unparsed_words)
    ]
    for required in (Currency, MonthZone):
        if not rules.of_type(required) and required.KEYWORD not in unparsed_words:
            found = f"no rule '{required.KEYWORD}'"
            errors.append(RuleError(1, 1, found, "one such rule in the file"))
    return errors


def _find_column(lines: Sequence[str], rule: Rule, word: str) -> int:
    """Return the column of a word in the statement of a rule, or 1 without it."""
    statement = lines[rule.line - 1].partition("#")[0]
    match = re.search(rf"(?<!\S){re.escape(word)}(?!\S)", statement)
    return match.start() + 1 if match else 1


def _find_errors(rules: RuleSet, unparsed_words: Collection[str]) -> Iterator[Finding]:
    """Yield the rule, the word, what is found and what is expected of each error."""
    yield from _check_duplicates(rules)
    yield from _check_names(rules, unparsed_words)
    yield from _check_ambiguous_names(rules)
    yield from _check_engines(rules, unparsed_words)
    yield from _check_prices(rules, unparsed_words)
    yield from _check_loads(rules)
    yield from check_limits(rules, unparsed_words)


def _check_duplicates(rules: RuleSet) -> Iterator[Finding]:
    """Yield the rules whose key occurs in an earlier line."""
    first_by_key: dict[tuple[str, ...], Rule] = {}
    for rule in rules.rules:
        first_rule = first_by_key.setdefault(rule.key(), rule)
        if first_rule is not rule:
            key_text = " ".join(part for part in rule.key() if part)
            expected = f"one rule; the first is on line {first_rule.line}"
            yield rule, rule.KEYWORD, f"a second rule for '{key_text}'", expected


def _check_names(rules: RuleSet, unparsed_words: Collection[str]) -> Iterator[Finding]:
    """Yield the customers, models and services that no rule declares."""
    customers = {*rules.customers, *unparsed_words}
    models = {*rules.service_by_model, *unparsed_words}
    services = {rule.service for rule in rules.of_type(Capacity)} | set(unparsed_words)
    for rule in rules.rules:
        if isinstance(rule, Budget | Rate | Priority | Share | Load | WhenExhausted):
            yield from _check_name(rule, "customer", rule.customer, customers)
        if isinstance(rule, Engines | EnginePrice | Model):
            yield from _check_name(rule, "service", rule.service, services, "capacity")
        if isinstance(rule, TokenPrice):
            yield from _check_name(rule, "model", rule.model, models)
        if isinstance(rule, WhenExhausted) and rule.model:
            yield from _check_name(rule, "model", rule.model, models)
        if isinstance(rule, Load) and rule.target not in models | services:
            expected = "a model or a service; declare it with 'model' or 'capacity'"
            yield rule, rule.target, f"the unknown name '{rule.target}'", expected


def _check_name(
    rule: Rule, kind: str, name: str, declared_names: set[str], keyword: str = ""
) -> Iterator[Finding]:
    """Yield a finding if a name is not declared.

    ``kind`` is what the name denotes, such as ``customer``. ``keyword`` is the keyword
    of the rules that declare such names; an empty one means that it equals ``kind``.
    """
    if name not in declared_names:
        expected = f"a {kind} of the file; declare it with '{keyword or kind}'"
        yield rule, name, f"the unknown {kind} '{name}'", expected


def _check_ambiguous_names(rules: RuleSet) -> Iterator[Finding]:
    """Yield the models that have the name of a service."""
    services = {rule.service for rule in rules.of_type(Capacity)}
    for rule in rules.of_type(Model):
        if rule.model in services:
            found = f"'{rule.model}', which is also a service"
            yield rule, rule.model, found, "different names for models and services"


def _check_engines(
    rules: RuleSet, unparsed_words: Collection[str]
) -> Iterator[Finding]:
    """Yield the errors of engine counts, their schedules, capacities and prices."""
    yield from _check_capacity(rules)
    n_existing_by_service: dict[str, int] = defaultdict(int)
    for rule in rules.of_type(Capacity):
        n_existing_by_service[rule.service] += rule.n_engines
    for service, engine_rules in rules.engines_by_service.items():
        for i, engine_rule in enumerate(engine_rules):
            n_existing = n_existing_by_service.get(service)
            if n_existing is not None and engine_rule.n_engines > n_existing:
                expected = f"at most {n_existing}, the capacity of '{service}'"
                count = str(engine_rule.n_engines)
                yield engine_rule, count, f"{count} engines", expected
            yield from _check_engine_schedule(engine_rule, engine_rules[:i])
        is_priced = (
            service in rules.engine_price_by_service or service in unparsed_words
        )
        if not is_priced:
            expected = f"a rule 'engine-price {service} ... per hour'"
            yield engine_rules[0], service, f"no engine price for '{service}'", expected


def _check_engine_schedule(
    rule: Engines, earlier_rules: list[Engines]
) -> Iterator[Finding]:
    """Yield conflicts of a schedule with those of earlier rules of its service."""
    zone = rule.schedule.zone
    if earlier_rules and earlier_rules[0].schedule.zone != zone:
        expected = (
            f"{earlier_rules[0].schedule.zone} as on line {earlier_rules[0].line}"
        )
        found = f"another zone for the same service, {zone}"
        yield rule, zone, found, expected
        return
    for earlier_rule in earlier_rules:
        is_duplicate = earlier_rule.key() == rule.key()
        if not is_duplicate and overlaps(rule.schedule, earlier_rule.schedule):
            found = f"a window that overlaps that of line {earlier_rule.line}"
            expected = "windows of a service that do not overlap"
            yield rule, "from" if rule.schedule.time_range else "on", found, expected


def _check_capacity(rules: RuleSet) -> Iterator[Finding]:
    """Yield services whose capacity is set both in total and by failure domain."""
    first_by_service: dict[str, Capacity] = {}
    for rule in rules.of_type(Capacity):
        first_rule = first_by_service.setdefault(rule.service, rule)
        if (first_rule.domain is None) != (rule.domain is None):
            found = "capacity both in total and by failure domain"
            expected = (
                f"only one way for '{rule.service}', as on line {first_rule.line}"
            )
            yield rule, rule.service, found, expected


def _check_prices(rules: RuleSet, unparsed_words: Collection[str]) -> Iterator[Finding]:
    """Yield models without a price for each kind, and customers named like a model."""
    for model in rules.of_type(Model):
        if model.model in unparsed_words:
            continue
        price_by_kind = rules.price_by_model.get(model.model, {})
        missing_kinds = [str(kind) for kind in TokenKind if kind not in price_by_kind]
        if missing_kinds:
            found = f"no price of {', '.join(missing_kinds)} tokens for '{model.model}'"
            expected = f"a rule 'token-price {model.model} {missing_kinds[0]} ...'"
            yield model, model.model, found, expected
    for customer in rules.of_type(Customer):
        if customer.customer in rules.service_by_model:
            found = f"'{customer.customer}', which is also a model"
            yield (
                customer,
                customer.customer,
                found,
                "different names for customers and models",
            )


def _check_loads(rules: RuleSet) -> Iterator[Finding]:
    """Yield loads of models without tokens and loads of services with tokens."""
    services = {rule.service for rule in rules.of_type(Capacity)}
    for rule in rules.of_type(Load):
        is_model = rule.target in rules.service_by_model
        if is_model and rule.n_tokens == 0:
            expected = "'input', 'cached' and 'output' tokens of a request"
            yield rule, rule.target, "load of a model without tokens", expected
        if not is_model and rule.target in services and rule.n_tokens:
            expected = "a model, because only models have token prices"
            yield rule, rule.target, f"tokens for the service '{rule.target}'", expected
