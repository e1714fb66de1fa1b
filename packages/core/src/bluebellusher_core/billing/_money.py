"""Exact arithmetic with amounts of money, which are multiples of 0.01."""

from collections.abc import Iterable, Sequence
from decimal import Context, Decimal, localcontext
from fractions import Fraction
from itertools import accumulate, pairwise
from math import ceil, floor

# Sums are exact with 100 digits, because the largest amounts that the grammar of the
# rules file admits have fewer.
_CONTEXT = Context(prec=100)
_HUNDREDTHS_PER_UNIT = 100
ZERO = Decimal("0.00")
TOKENS_PER_PRICE = 1_000_000
SECONDS_PER_HOUR = 3600


def round_down(amount: Fraction) -> Decimal:
    """Round an amount down to a multiple of 0.01."""
    return from_hundredths(floor(amount * _HUNDREDTHS_PER_UNIT))


def round_up(amount: Fraction) -> Decimal:
    """Round an amount up to a multiple of 0.01."""
    return from_hundredths(ceil(amount * _HUNDREDTHS_PER_UNIT))


def round_down_cumulatively(amounts: Sequence[Fraction]) -> list[Decimal]:
    """Round amounts so that their sum equals the exact sum rounded down.

    Each result is a multiple of 0.01 and differs from its amount by less than 0.01.
    The sum of the results depends only on the sum of the amounts, not on how that
    sum is divided into amounts.
    """
    sums = [round_down(total) for total in accumulate(amounts)]
    return [subtract(b, a) for a, b in pairwise([ZERO, *sums])]


def round_up_cumulatively(amounts: Sequence[Fraction]) -> list[Decimal]:
    """Round amounts so that their sum equals the exact sum rounded up.

    Each result is a multiple of 0.01, as in ``round_down_cumulatively``.
    """
    sums = [round_up(total) for total in accumulate(amounts)]
    return [subtract(b, a) for a, b in pairwise([ZERO, *sums])]


def from_hundredths(n_hundredths: int) -> Decimal:
    """Return the amount of ``n_hundredths`` hundredths of the currency unit."""
    sign = 1 if n_hundredths < 0 else 0
    digits = tuple(int(digit) for digit in str(abs(n_hundredths)))
    return Decimal((sign, digits, -2))


def add(amounts: Iterable[Decimal]) -> Decimal:
    """Return the exact sum of amounts; 0.00 without amounts."""
    with localcontext(_CONTEXT):
        return sum(amounts, ZERO)


def subtract(amount: Decimal, other: Decimal) -> Decimal:
    """Return the exact difference ``amount - other``."""
    with localcontext(_CONTEXT):
        return amount - other
