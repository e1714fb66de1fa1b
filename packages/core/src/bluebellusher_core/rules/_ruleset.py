"""Container for the rules of one file, with look-ups by customer, model and service."""

from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property
from typing import TypeVar

from bluebellusher_core.rules._model import (
    Budget,
    Currency,
    Customer,
    EnginePrice,
    Engines,
    Load,
    Model,
    MonthZone,
    Rate,
    Rule,
    TokenKind,
    TokenPrice,
    WhenExhausted,
)

RuleT = TypeVar("RuleT", bound=Rule)


class RuleSet:
    """Immutable, ordered collection of the rules of one file.

    Parameters
    ----------
    rules : iterable of Rule
        The rules in the order of the file. The constructor does not check them
        against each other; ``parse_rules`` does.
    """

    def __init__(self, rules: Iterable[Rule]) -> None:
        self.rules = tuple(rules)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RuleSet) and self.rules == other.rules

    def __hash__(self) -> int:
        return hash(self.rules)

    def __repr__(self) -> str:
        return f"RuleSet({len(self.rules)} rules)"

    def render(self) -> str:
        """Render one line per rule, as a text that parses to an equal rule set."""
        return "".join(f"{rule.render()}\n" for rule in self.rules)

    @cached_property
    def rule_by_key(self) -> dict[tuple[str, ...], Rule]:
        """Rules by ``Rule.key()``."""
        return {rule.key(): rule for rule in self.rules}

    @cached_property
    def _rules_by_class(self) -> dict[type, list[Rule]]:
        rules: dict[type, list[Rule]] = defaultdict(list)
        for rule in self.rules:
            rules[type(rule)].append(rule)
        return rules

    def of_type(self, rule_class: type[RuleT]) -> list[RuleT]:
        """Return the rules of one class in the order of the file."""
        rules = self._rules_by_class.get(rule_class, [])
        return [rule for rule in rules if isinstance(rule, rule_class)]

    @property
    def currency(self) -> str:
        """Code of the currency, or an empty string if no rule sets one."""
        return next((rule.code for rule in self.of_type(Currency)), "")

    @property
    def month_zone(self) -> str:
        """IANA name of the time zone of billing months; UTC if no rule sets one."""
        return next((rule.zone for rule in self.of_type(MonthZone)), "UTC")

    @cached_property
    def customers(self) -> tuple[str, ...]:
        """Declared customers in the order of the file."""
        return tuple(rule.customer for rule in self.of_type(Customer))

    @cached_property
    def service_by_model(self) -> dict[str, str]:
        """Services by the model that their engines run."""
        return {rule.model: rule.service for rule in self.of_type(Model)}

    @cached_property
    def price_by_model(self) -> dict[str, dict[TokenKind, TokenPrice]]:
        """Token price rules by model and kind of token."""
        prices: dict[str, dict[TokenKind, TokenPrice]] = defaultdict(dict)
        for rule in self.of_type(TokenPrice):
            prices[rule.model][rule.kind] = rule
        return dict(prices)

    @cached_property
    def engine_price_by_service(self) -> dict[str, EnginePrice]:
        """Engine price rules by service."""
        return {rule.service: rule for rule in self.of_type(EnginePrice)}

    @cached_property
    def engines_by_service(self) -> dict[str, list[Engines]]:
        """Engine rules by service."""
        engines: dict[str, list[Engines]] = defaultdict(list)
        for rule in self.of_type(Engines):
            engines[rule.service].append(rule)
        return dict(engines)

    @cached_property
    def budget_by_customer(self) -> dict[str, Budget]:
        """Budget rules by customer."""
        return {rule.customer: rule for rule in self.of_type(Budget)}

    @cached_property
    def when_exhausted_by_customer(self) -> dict[str, WhenExhausted]:
        """Rules for requests after the budget is exhausted, by customer."""
        return {rule.customer: rule for rule in self.of_type(WhenExhausted)}

    @cached_property
    def rate_by_customer(self) -> dict[tuple[str, str], Rate]:
        """Rate rules by customer and unit, ``requests`` or ``tokens``."""
        return {(rule.customer, rule.unit): rule for rule in self.of_type(Rate)}

    @cached_property
    def loads_by_customer(self) -> dict[str, list[Load]]:
        """Rules of expected load by customer."""
        loads: dict[str, list[Load]] = defaultdict(list)
        for rule in self.of_type(Load):
            loads[rule.customer].append(rule)
        return dict(loads)
