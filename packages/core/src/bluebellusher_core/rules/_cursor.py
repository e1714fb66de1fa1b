"""Reader of one statement: splits it into words and converts words to values."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import date
from decimal import Decimal
from functools import lru_cache
from zoneinfo import ZoneInfo

from bluebellusher_core.rules._schedule import WEEKDAYS, DateRange

_WORD = re.compile(r"\S+")
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
_COUNT = re.compile(r"[0-9]{1,12}\Z")
_AMOUNT = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?\Z")
_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])\Z")
_CURRENCY = re.compile(r"[A-Z]{3}\Z")
_TIME_ZONE = re.compile(r"(UTC|[A-Z][A-Za-z_+-]+(/[A-Za-z0-9_+-]+){1,2})\Z")
# Dates outside these years are taken for typing errors. The limits also keep time
# zone arithmetic within the range of the standard library's datetime.
FIRST_YEAR = 2000
LAST_YEAR = 2199


@dataclass(frozen=True, slots=True, order=True)
class RuleError:
    """Error in a rules file.

    Parameters
    ----------
    line, column : int
        Position of the error, both from 1.
    found : str
        Description of the erroneous text.
    expected : str
        Description of a correct text.
    """

    line: int
    column: int
    found: str
    expected: str

    def render(self) -> str:
        """Render the error as one line of text."""
        return (
            f"line {self.line}, column {self.column}: "
            f"found {self.found}; expected {self.expected}"
        )


class LineSyntaxError(Exception):
    """Syntax error in one line of a rules file.

    ``parse_rules`` catches it, adds the line number and turns it into a
    ``RuleError``.
    """

    def __init__(self, column: int, found: str, expected: str) -> None:
        super().__init__(expected)
        self.column = column
        self.found = found
        self.expected = expected


class Cursor:
    """Reader of the words of a statement, from left to right.

    Methods that read a value raise ``LineSyntaxError`` if the next word is not such a
    value.

    Parameters
    ----------
    text : str
        The line without its comment.
    """

    def __init__(self, text: str) -> None:
        self._words = [(m.start() + 1, m.group()) for m in _WORD.finditer(text)]
        self._end_column = len(text.rstrip()) + 1
        self._index = 0

    def peek(self) -> str:
        """Return the next word without consuming it, or an empty string at the end."""
        if self._index < len(self._words):
            return self._words[self._index][1]
        return ""

    def advance(self) -> str:
        """Consume the next word and return it, or an empty string at the end."""
        word = self.peek()
        self._index += 1
        return word

    def make_error(self, expected: str) -> LineSyntaxError:
        """Create an error for the next word, or for a missing word at the end."""
        if self._index < len(self._words):
            column, word = self._words[self._index]
            return LineSyntaxError(column, repr(word), expected)
        return LineSyntaxError(self._end_column, "the end of the rule", expected)

    def _read_match(self, pattern: re.Pattern[str], expected: str) -> str:
        if not pattern.match(self.peek()):
            raise self.make_error(expected)
        return self.advance()

    def read_name(self, kind: str) -> str:
        """Read a name; ``kind``, such as ``customer``, is used in the error."""
        return self._read_match(
            _NAME, f"the name of a {kind} (a-z, 0-9, '.', '_' and '-', at most 63)"
        )

    def read_count(self, description: str) -> int:
        """Read a whole number; ``description`` is used in the error."""
        return int(self._read_match(_COUNT, f"{description}, a whole number"))

    def read_amount(self, description: str) -> Decimal:
        """Read a number of at most 6 decimals; ``description`` is used in the error."""
        expected = f"{description}, such as 12 or 12.50, with at most 6 decimals"
        return Decimal(self._read_match(_AMOUNT, expected))

    def read_currency(self) -> str:
        """Read a currency code."""
        return self._read_match(
            _CURRENCY, "a currency code of three capitals, such as JPY"
        )

    def expect(self, *words: str) -> str:
        """Read a word that must be one of ``words``."""
        if self.peek() not in words:
            raise self.make_error(_join_alternatives(words))
        return self.advance()

    def accept(self, word: str) -> bool:
        """Consume the next word if it equals ``word``; return whether it does."""
        if self.peek() != word:
            return False
        self._index += 1
        return True

    def read_time_of_day(self) -> int:
        """Read a time of day and return it in minutes since midnight."""
        text = self._read_match(
            _TIME_OF_DAY, "a time of day, HH:MM from 00:00 to 23:59"
        )
        return int(text[:2]) * 60 + int(text[3:])

    def read_time_zone(self) -> str:
        """Read the IANA name of a time zone."""
        if not is_time_zone(self.peek()):
            raise self.make_error("an IANA time zone, such as Asia/Tokyo")
        return self.advance()

    def read_days(self) -> tuple[tuple[int, ...], tuple[DateRange, ...]]:
        """Read a comma-separated list of weekdays or of dates.

        Returns
        -------
        tuple
            The weekdays, 0 for Monday, and the ranges of dates, both sorted. One of
            the two is empty.
        """
        parts = self.peek().split(",")
        weekdays = [_parse_weekdays(part) for part in parts]
        if all(weekdays):
            self._index += 1
            return tuple(sorted({day for days in weekdays for day in days})), ()
        ranges = [_parse_date_range(part) for part in parts]
        valid_ranges = [r for r in ranges if r is not None]
        if len(valid_ranges) < len(ranges):
            raise self.make_error(
                "weekdays such as Mon-Fri or Sat,Sun, or dates such as 2027-01-01 "
                "or 2027-01-01..2027-01-03"
            )
        self._index += 1
        return (), tuple(sorted(set(valid_ranges)))

    def expect_end(self, expected: str = "the comment '# NAME: REASON'") -> None:
        """Raise ``LineSyntaxError`` if a word follows."""
        if self._index < len(self._words):
            raise self.make_error(expected)


def _join_alternatives(words: Iterable[str]) -> str:
    quoted = [f"'{word}'" for word in words]
    if len(quoted) == 1:
        return quoted[0]
    return f"{', '.join(quoted[:-1])} or {quoted[-1]}"


@lru_cache(maxsize=1024)
def is_time_zone(name: str) -> bool:
    """Return whether the time zone database has the time zone."""
    if not _TIME_ZONE.match(name):
        return False
    try:
        ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        return False
    return True


def _parse_weekdays(text: str) -> tuple[int, ...]:
    """Parse ``Tue`` or ``Fri-Mon``; return no weekday if the text is neither."""
    first, _, last = text.partition("-")
    if first not in WEEKDAYS or (last or first) not in WEEKDAYS:
        return ()
    if text.endswith("-"):
        return ()
    first_index = WEEKDAYS.index(first)
    n_days = (WEEKDAYS.index(last or first) - first_index) % 7 + 1
    return tuple((first_index + i) % 7 for i in range(n_days))


def _parse_date_range(text: str) -> DateRange | None:
    """Parse a date or two dates with ``..`` between them; return ``None`` if wrong."""
    first, separator, last = text.partition("..")
    begin = _parse_date(first)
    end = _parse_date(last) if separator else begin
    if begin is None or end is None or end < begin:
        return None
    return DateRange(begin, end)


def _parse_date(text: str) -> date | None:
    """Parse a date of a valid year, such as ``2027-01-31``; else return ``None``."""
    if not re.match(r"[0-9]{4}-[0-9]{2}-[0-9]{2}\Z", text):
        return None
    try:
        day = date.fromisoformat(text)
    except ValueError:
        return None
    return day if FIRST_YEAR <= day.year <= LAST_YEAR else None
