"""Parsing of a whole rules file, and of its lines and their comments."""

from expression import Error, Ok, Result

from bluebellusher_core.rules._check import check_rules
from bluebellusher_core.rules._cursor import Cursor, LineSyntaxError, RuleError
from bluebellusher_core.rules._grammar import parse_statement
from bluebellusher_core.rules._model import Rule
from bluebellusher_core.rules._ruleset import RuleSet


def parse_rules(text: str) -> Result[RuleSet, tuple[RuleError, ...]]:
    """Parse and check a rules file.

    Parameters
    ----------
    text : str
        Content of the whole file. Invalid content is returned as errors and raises
        nothing.

    Returns
    -------
    Result
        The rules, or all errors of the file in the order of its lines. A line with
        a syntax error takes no part in the checks between rules. Names that occur in
        such a line are not reported as unknown in other lines, so that one mistake
        is reported only once.

    Examples
    --------
    >>> result = parse_rules("currency yen # Aiko Mori: billing")
    >>> result.error[0].column
    10
    """
    rules: list[Rule] = []
    errors: list[RuleError] = []
    unparsed_words: set[str] = set()
    lines = [content.rstrip("\r") for content in text.split("\n")]
    for line, content in enumerate(lines, start=1):
        try:
            rule = _parse_line(content, line)
        except LineSyntaxError as e:
            errors.append(RuleError(line, e.column, e.found, e.expected))
            unparsed_words.update(content.partition("#")[0].split())
            continue
        if rule is not None:
            rules.append(rule)
    rule_set = RuleSet(rules)
    errors += check_rules(rule_set, lines, unparsed_words)
    if errors:
        return Error(tuple(sorted(errors)))
    return Ok(rule_set)


def _parse_line(content: str, line: int) -> Rule | None:
    """Parse one line; return ``None`` for a line without a statement."""
    statement, separator, comment = content.partition("#")
    if not statement.strip():
        return None
    cursor = Cursor(statement)
    author, reason = _parse_comment(statement, separator, comment)
    return parse_statement(cursor, author, reason, line)


def _parse_comment(statement: str, separator: str, comment: str) -> tuple[str, str]:
    """Return author and reason from the comment that follows a statement."""
    column = len(statement) + 1
    expected = "a comment '# NAME: REASON' that names who asked for the rule"
    if not separator:
        raise LineSyntaxError(len(statement.rstrip()) + 1, "no comment", expected)
    author, colon, reason = comment.partition(":")
    if not author.strip() or not colon:
        raise LineSyntaxError(column, "a comment without a name", expected)
    if not reason.strip():
        raise LineSyntaxError(column, "a comment without a reason", expected)
    return author.strip(), reason.strip()
