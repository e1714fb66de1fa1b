"""Comparison of two rule sets."""

from dataclasses import dataclass

from bluebellusher_core.rules._model import Rule
from bluebellusher_core.rules._ruleset import RuleSet


@dataclass(frozen=True, slots=True)
class RuleChange:
    """Difference in one rule, which was added, removed or replaced.

    ``before`` is ``None`` for an added rule, ``after`` is ``None`` for a removed one.
    """

    before: Rule | None
    after: Rule | None

    @property
    def rule(self) -> Rule:
        """The rule after the change, or the removed rule."""
        rule = self.after or self.before
        assert rule is not None
        return rule

    @property
    def kind(self) -> str:
        """Kind of change: ``added``, ``removed``, ``changed`` or ``comment``.

        ``comment`` means that only author or reason differ.
        """
        if self.before is None:
            return "added"
        if self.after is None:
            return "removed"
        if self.before.arguments() == self.after.arguments():
            return "comment"
        return "changed"


def diff_rules(before: RuleSet, after: RuleSet) -> tuple[RuleChange, ...]:
    """Return the rules that differ between two rule sets.

    Removed rules come first, in the order of the old file, then added and replaced
    rules in the order of the new file. The order of rules in a file has no meaning,
    so that a rule that only moved is not a change.
    """
    removed = [
        RuleChange(rule, None)
        for key, rule in before.rule_by_key.items()
        if key not in after.rule_by_key
    ]
    added_or_replaced = []
    for key, rule in after.rule_by_key.items():
        old = before.rule_by_key.get(key)
        if old != rule:
            added_or_replaced.append(RuleChange(old, rule))
    return (*removed, *added_or_replaced)
