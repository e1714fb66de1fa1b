"""The difference between two rule sets."""

from dataclasses import dataclass

from bluebellusher_core.rules._model import Rule
from bluebellusher_core.rules._ruleset import RuleSet


@dataclass(frozen=True, slots=True)
class Change:
    """One rule that was added, removed or replaced.

    ``before`` is ``None`` for an added rule, ``after`` for a removed one.
    """

    before: Rule | None
    after: Rule | None

    @property
    def rule(self) -> Rule:
        """The rule that stands for the change: the new one, or the removed one."""
        rule = self.after or self.before
        assert rule is not None
        return rule

    @property
    def kind(self) -> str:
        """``added``, ``removed``, ``changed`` or ``comment`` (only the comment)."""
        if self.before is None:
            return "added"
        if self.after is None:
            return "removed"
        if self.before.arguments() == self.after.arguments():
            return "comment"
        return "changed"


def diff_rules(before: RuleSet, after: RuleSet) -> tuple[Change, ...]:
    """Return the changes that lead from one rule set to the other.

    Removed rules come first, then added and changed ones in the order of the new
    file. The order of rules in a file has no meaning and is no change.
    """
    removed = [
        Change(rule, None)
        for key, rule in before.rule_by_key.items()
        if key not in after.rule_by_key
    ]
    others = []
    for key, rule in after.rule_by_key.items():
        old = before.rule_by_key.get(key)
        if old != rule:
            others.append(Change(old, rule))
    return (*removed, *others)
