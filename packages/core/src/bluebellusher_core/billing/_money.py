"""Exact arithmetic with amounts of money in steps of 0.01."""

from collections.abc import Iterable, Sequence
from decimal import Context, Decimal, localcontext
from fractions import Fraction
from itertools import accumulate, pairwise
from math import ceil, floor

# Sums stay exact: the largest amounts that the grammar admits have fewer digits.
_CONTEXT = Context(prec=100)
_STEPS_PER_UNIT = 100
ZERO = Decimal("0.00")
TOKENS_PER_PRICE = 1_000_000
SECONDS_PER_HOUR = 3600


def round_down(amount: Fraction) -> Decimal:
    """Return the largest multiple of 0.01 that is not above ``amount``."""
    return from_steps(floor(amount * _STEPS_PER_UNIT))


def round_up(amount: Fraction) -> Decimal:
    """Return the smallest multiple of 0.01 that is not below ``amount``."""
    return from_steps(ceil(amount * _STEPS_PER_UNIT))


def split_down(amounts: Sequence[Fraction]) -> list[Decimal]:
    """Return multiples of 0.01 whose sum is the sum of the amounts rounded down.

    Each is within 0.01 of its amount; the sum does not depend on how the amounts
    were cut into parts.
    """
    sums = [round_down(total) for total in accumulate(amounts)]
    return [subtract(b, a) for a, b in pairwise([ZERO, *sums])]


def split_up(amounts: Sequence[Fraction]) -> list[Decimal]:
    """Return multiples of 0.01 whose sum is the sum of the amounts rounded up."""
    sums = [round_up(total) for total in accumulate(amounts)]
    return [subtract(b, a) for a, b in pairwise([ZERO, *sums])]


def from_steps(n_steps: int) -> Decimal:
    """Return ``n_steps`` times 0.01."""
    sign = 1 if n_steps < 0 else 0
    digits = tuple(int(digit) for digit in str(abs(n_steps)))
    return Decimal((sign, digits, -2))


def add(amounts: Iterable[Decimal]) -> Decimal:
    """Return the exact sum."""
    with localcontext(_CONTEXT):
        return sum(amounts, ZERO)


def subtract(amount: Decimal, other: Decimal) -> Decimal:
    """Return the exact difference ``amount - other``."""
    with localcontext(_CONTEXT):
        return amount - other
