"""Explanation of a difference between two expected bills by changes of rules."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from decimal import Decimal
from fractions import Fraction

from bluebellusher_core.billing._engines import list_services, price_engines
from bluebellusher_core.billing._forecast import list_customers
from bluebellusher_core.billing._money import (
    ZERO,
    add,
    from_hundredths,
    round_down,
    round_up,
    subtract,
)
from bluebellusher_core.billing._month import (
    Month,
    MonthSlice,
    RulesVersion,
    as_versions,
    slice_month,
)
from bluebellusher_core.billing._spending import estimate_spending
from bluebellusher_core.rules import (
    Budget,
    EnginePrice,
    Engines,
    Load,
    Model,
    Rate,
    Rule,
    RuleChange,
    RuleSet,
    TokenPrice,
    WhenExhausted,
    diff_rules,
)

AmountByCostCenter = dict[tuple[str, str], Decimal]


@dataclass(frozen=True, slots=True)
class DifferencePart:
    """Part of a difference between two bills that one change of a rule causes.

    Parameters
    ----------
    change : RuleChange or None
        The change, with authors and reasons of the rules. ``None`` means that the
        part is caused by the calendar, because the bills are of different months.
    amount : Decimal
        Amount that the change adds to the expected bill; negative if it lowers it.
    version : int
        Number of the version that made the change; 0 for a file that was not applied.
    accepted_s : int or None
        Time of acceptance of this version, in seconds since 1970 UTC.
    """

    change: RuleChange | None
    amount: Decimal
    version: int = 0
    accepted_s: int | None = None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Explanation of the difference between two expected bills.

    Parameters
    ----------
    before, after : Decimal
        The two expected bills.
    parts : tuple of DifferencePart
        Parts of the difference, which add up to it exactly.
    """

    before: Decimal
    after: Decimal
    parts: tuple[DifferencePart, ...]

    @property
    def difference(self) -> Decimal:
        """Amount by which ``after`` exceeds ``before``; may be negative."""
        return subtract(self.after, self.before)


def explain_bill_difference(
    rules_a: RuleSet, rules_b: RuleSet, month: Month, month_b: Month | None = None
) -> Explanation:
    """Explain the difference between the expected bills of two rule sets.

    Parameters
    ----------
    rules_a, rules_b : RuleSet
        Rules of the first and of the second bill, in force during the whole month.
    month : Month
        Month of the first bill.
    month_b : Month, optional
        Month of the second bill; by default that of the first bill.
    """
    steps = [_VersionStep((), RulesVersion(rules_a), RulesVersion(rules_b))]
    return _explain_steps((RulesVersion(rules_a),), steps, month, month_b or month)


def explain_version_difference(
    versions: Iterable[RulesVersion],
    number_a: int,
    number_b: int,
    month: Month,
    month_b: Month | None = None,
) -> Explanation:
    """Explain the difference between the expected bills as of two versions.

    In the bill as of a version, this version and all earlier ones are in force from
    their times of acceptance, and this version stays in force until the end of the
    month.

    Parameters
    ----------
    versions : iterable of RulesVersion
        All versions, with increasing numbers and times of acceptance.
    number_a, number_b : int
        Version numbers of the first and of the second bill, in ascending order.
    month : Month
        Month of the first bill.
    month_b : Month, optional
        Month of the second bill; by default that of the first bill.

    Raises
    ------
    ValueError
        If a number is not that of a version, or the second one is the lower one.
    """
    history = as_versions(versions)
    index_by_number = {version.number: i for i, version in enumerate(history)}
    for number in (number_a, number_b):
        if number not in index_by_number:
            raise ValueError(f"version={number}: expected a version of the history")
    if number_a > number_b:
        raise ValueError(f"version={number_b}: expected at least {number_a}")
    first, last = index_by_number[number_a], index_by_number[number_b]
    steps = [
        _VersionStep(history[:i], history[i - 1], history[i])
        for i in range(first + 1, last + 1)
    ]
    return _explain_steps(history[: first + 1], steps, month, month_b or month)


@dataclass(frozen=True, slots=True)
class _VersionStep:
    """Step from one version of the rules to the next.

    ``earlier`` has the versions that are in force until ``before`` or ``after`` is
    accepted: in a history all versions up to and including ``before``, and none for
    two rule sets that are each in force during the whole month.
    """

    earlier: tuple[RulesVersion, ...]
    before: RulesVersion
    after: RulesVersion


def _explain_steps(
    start: tuple[RulesVersion, ...],
    steps: list[_VersionStep],
    month: Month,
    month_b: Month,
) -> Explanation:
    """Explain the difference between the bills before and after all steps."""
    # The difference between the months is the first part. All changes of rules are
    # then computed for month_b.
    before = _compute_total(start, month)
    amount = _compute_total(start, month_b)
    parts = []
    if month != month_b:
        parts.append(DifferencePart(None, subtract(amount, before)))
    for step in steps:
        parts += _divide_among_changes(step, month_b)
    end = (*steps[-1].earlier, steps[-1].after) if steps else start
    return Explanation(before, _compute_total(end, month_b), tuple(parts))


def _compute_total(versions: Sequence[RulesVersion], month: Month) -> Decimal:
    """Return the expected bill of a month."""
    return add(_compute_amounts(slice_month(versions, month)).values())


def _compute_amounts(slices: Sequence[MonthSlice]) -> AmountByCostCenter:
    """Return the expected amount of each cost center.

    A cost center is a pair of ``service`` and the name of a service, to which the
    cost of its engines belongs, or of ``customer`` and the name of a customer, to
    which the cost of its tokens belongs.
    """
    cost_centers = [("service", service) for service in list_services(slices)]
    cost_centers += [("customer", customer) for customer in list_customers(slices)]
    return {
        cost_center: _compute_amount(cost_center, slices)
        for cost_center in cost_centers
    }


def _compute_amount(
    cost_center: tuple[str, str], slices: Sequence[MonthSlice]
) -> Decimal:
    """Return the expected amount of a cost center, rounded as in a forecast."""
    kind, subject = cost_center
    if kind == "service":
        costs_by_slice = (
            price_engines(month_slice, subject).values() for month_slice in slices
        )
        return round_up(
            sum((c for costs in costs_by_slice for c in costs), Fraction(0))
        )
    spending = estimate_spending(subject, slices)
    token_costs = (
        *spending.within_budget_by_key.values(),
        *spending.after_budget_by_key.values(),
    )
    return round_down(sum(token_costs, Fraction(0)))


def _divide_among_changes(step: _VersionStep, month: Month) -> list[DifferencePart]:
    """Divide the difference that one step makes among its changes of rules.

    The changes are applied one after the other, once in their order and once in the
    reverse order. The amount of a change is the mean of the two differences that it
    makes, so that a price and a quantity that change together share their joint
    effect equally. In both orders, prices and limits of a new customer, model or
    service are added before its load and engines, and those of a removed one are
    removed after them.
    """
    changes = diff_rules(step.before.rules, step.after.rules)
    early, middle, late = _divide_into_phases(step, changes)
    forward = _apply_changes(step, month, (*early, *middle, *late))
    backward = _apply_changes(step, month, (*early, *middle[::-1], *late))
    doubled_amounts = [add((forward[c], backward[c])) for c in changes]
    return [
        DifferencePart(change, amount, step.after.number, step.after.accepted_s)
        for change, amount in zip(changes, _halve(doubled_amounts), strict=True)
    ]


def _halve(doubled_amounts: Iterable[Decimal]) -> list[Decimal]:
    """Divide amounts by two and return multiples of 0.01.

    Each result is rounded down. A hundredth that remains is added to the next amount
    before that amount is divided, so that no hundredth is lost.
    """
    halves = []
    n_carried = 0
    for amount in doubled_amounts:
        n_hundredths = int(amount.scaleb(2)) + n_carried
        halves.append(from_hundredths(n_hundredths // 2))
        n_carried = n_hundredths % 2
    return halves


Phases = tuple[tuple[RuleChange, ...], tuple[RuleChange, ...], tuple[RuleChange, ...]]


def _divide_into_phases(step: _VersionStep, changes: Iterable[RuleChange]) -> Phases:
    """Divide changes into those to apply first, in between and last.

    The first ones add rules about a new customer, model or service and the last ones
    remove rules about a removed one, except ``load`` and ``engines`` rules.
    """
    subjects_before = _list_subjects(step.before.rules)
    subjects_after = _list_subjects(step.after.rules)
    early, middle, late = [], [], []
    for change in changes:
        is_quantity = isinstance(change.rule, Load | Engines)
        subject = _get_subject(change.rule)
        if change.before is None and subject not in subjects_before and not is_quantity:
            early.append(change)
        elif change.after is None and subject not in subjects_after and not is_quantity:
            late.append(change)
        else:
            middle.append(change)
    return tuple(early), tuple(middle), tuple(late)


def _list_subjects(rules: RuleSet) -> set[str]:
    return {_get_subject(rule) for rule in rules.rules}


def _get_subject(rule: Rule) -> str:
    """Return the customer, model or service that a rule is about."""
    return rule.key()[1] if len(rule.key()) > 1 else ""


def _apply_changes(
    step: _VersionStep, month: Month, changes: Sequence[RuleChange]
) -> dict[RuleChange, Decimal]:
    """Return the amount that each change adds if they are applied in this order."""
    rule_by_key = dict(step.before.rules.rule_by_key)
    customers_by_model = _find_customers_by_model(step)
    slices_before = slice_month((*step.earlier, step.before), month)
    amount_by_cost_center = _compute_amounts(slices_before)
    added_by_change = {}
    for change in changes:
        if change.after is None:
            del rule_by_key[change.rule.key()]
        else:
            rule_by_key[change.rule.key()] = change.after
        cost_centers = _find_affected_cost_centers(change.rule, customers_by_model)
        added_by_change[change] = ZERO
        if not cost_centers:
            continue
        rules = RuleSet(rule_by_key.values())
        intermediate_version = RulesVersion(
            rules, step.after.accepted_s, step.after.number
        )
        slices = slice_month((*step.earlier, intermediate_version), month)
        for cost_center in cost_centers:
            amount = _compute_amount(cost_center, slices)
            previous_amount = amount_by_cost_center.get(cost_center, ZERO)
            added_by_change[change] = add(
                (added_by_change[change], subtract(amount, previous_amount))
            )
            amount_by_cost_center[cost_center] = amount
    return added_by_change


def _find_affected_cost_centers(
    rule: Rule, customers_by_model: dict[str, set[tuple[str, str]]]
) -> set[tuple[str, str]]:
    """Return the cost centers whose expected amount a change of a rule can affect."""
    if isinstance(rule, Engines | EnginePrice):
        return {("service", rule.service)}
    if isinstance(rule, TokenPrice | Model):
        return customers_by_model.get(rule.model, set())
    if isinstance(rule, Budget | Load | Rate | WhenExhausted):
        return {("customer", rule.customer)}
    return set()


def _find_customers_by_model(step: _VersionStep) -> dict[str, set[tuple[str, str]]]:
    """Return the cost centers of the customers that may use each model.

    In either version of the step, such a customer has a load on the model or uses it
    as ``cheaper-model`` after its budget is exhausted.
    """
    cost_centers: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for rules in (step.before.rules, step.after.rules):
        for load in rules.of_type(Load):
            cost_centers[load.target].add(("customer", load.customer))
        for rule in rules.of_type(WhenExhausted):
            if rule.model:
                cost_centers[rule.model].add(("customer", rule.customer))
    return cost_centers
