"""Cost of requests in the whole units in which budgets are counted."""

from decimal import Decimal
from math import ceil

from bluebellusher_core.events import Usage
from bluebellusher_core.rules import Limit, RuleSet, TokenKind

MICROS_PER_UNIT = 1_000_000


def to_units(limit: Limit) -> int:
    """Return a limit in tokens or in millionths of the currency."""
    factor = 1 if limit.is_tokens else MICROS_PER_UNIT
    return int(limit.amount * factor)


def cost_of(rules: RuleSet, model: str, usage: Usage, is_tokens: bool) -> int:
    """Return what this usage of a model costs.

    A price is for one million tokens, hence price times tokens is in millionths of
    the currency. Parts of a unit are rounded up. Cached tokens are part of the input.
    """
    n_cached = min(usage.n_cached_tokens, usage.n_input_tokens)
    n_fresh = usage.n_input_tokens - n_cached
    if is_tokens:
        return n_fresh + n_cached + usage.n_output_tokens
    prices = rules.price_by_model.get(model, {})
    n_by_kind = {
        TokenKind.INPUT: n_fresh,
        TokenKind.CACHED: n_cached,
        TokenKind.OUTPUT: usage.n_output_tokens,
    }
    total = sum(
        (prices[kind].price * n for kind, n in n_by_kind.items() if kind in prices),
        Decimal(0),
    )
    return ceil(total)


def worst_cost_of(
    rules: RuleSet, model: str, n_body_bytes: int, n_max_output: int, is_tokens: bool
) -> int:
    """Return the most that a request can cost.

    The entry's own count of the prompt is an estimate; the engine counts no more
    tokens than the body has bytes.
    """
    fresh = Usage(n_body_bytes, 0, n_max_output)
    cached = Usage(n_body_bytes, n_body_bytes, n_max_output)
    return max(cost_of(rules, model, usage, is_tokens) for usage in (fresh, cached))
