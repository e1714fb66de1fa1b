"""Costs of requests, in the integer units in which budgets are counted."""

from decimal import Decimal
from math import ceil

from bluebellusher_core.events import Usage
from bluebellusher_core.rules import Limit, RuleSet, TokenKind

MICROS_PER_CURRENCY_UNIT = 1_000_000


def limit_to_units(limit: Limit) -> int:
    """Convert a limit to tokens or to millionths of the currency."""
    factor = 1 if limit.is_tokens else MICROS_PER_CURRENCY_UNIT
    return int(limit.amount * factor)


def compute_cost(rules: RuleSet, model: str, usage: Usage, is_tokens: bool) -> int:
    """Return the cost of a usage, in tokens or in millionths of the currency.

    A price is for one million tokens, so that price times tokens gives millionths of
    the currency. The cost is rounded up to a whole unit. Cached tokens are part of the
    input tokens.
    """
    n_cached = min(usage.n_cached_tokens, usage.n_input_tokens)
    n_uncached = usage.n_input_tokens - n_cached
    if is_tokens:
        return n_uncached + n_cached + usage.n_output_tokens
    prices = rules.price_by_model.get(model, {})
    n_by_kind = {
        TokenKind.INPUT: n_uncached,
        TokenKind.CACHED: n_cached,
        TokenKind.OUTPUT: usage.n_output_tokens,
    }
    total = sum(
        (prices[kind].price * n for kind, n in n_by_kind.items() if kind in prices),
        Decimal(0),
    )
    return ceil(total)


def compute_max_cost(
    rules: RuleSet,
    model: str,
    n_body_bytes: int,
    n_max_output_tokens: int,
    is_tokens: bool,
) -> int:
    """Return an upper bound of the cost of a request.

    The length of the body in bytes is used as the number of input tokens, because the
    engine counts at most one token per byte. The entry's own token count of the prompt
    is only an estimate and would not be an upper bound.
    """
    uncached_usage = Usage(n_body_bytes, 0, n_max_output_tokens)
    cached_usage = Usage(n_body_bytes, n_body_bytes, n_max_output_tokens)
    return max(
        compute_cost(rules, model, usage, is_tokens)
        for usage in (uncached_usage, cached_usage)
    )
