"""Expected load of one customer, as request rates that are constant per segment."""

from collections.abc import Iterator
from dataclasses import dataclass
from decimal import Decimal
from fractions import Fraction

from bluebellusher_core.billing._money import TOKENS_PER_PRICE
from bluebellusher_core.billing._month import MonthSlice
from bluebellusher_core.rules import Load, RuleSet, TokenKind


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one load rule at a constant rate.

    Parameters
    ----------
    load : Load
        The load rule.
    n_requests : Fraction
        Number of requests per second.
    """

    load: Load
    n_requests: Fraction

    @property
    def n_tokens(self) -> Fraction:
        """Number of tokens per second."""
        return self.n_requests * self.load.n_tokens


@dataclass(frozen=True, slots=True)
class Segment:
    """Period of ``n_seconds`` in which the flows do not change."""

    n_seconds: int
    flows: tuple[Flow, ...]


def price_request(rules: RuleSet, model: str, load: Load) -> Fraction:
    """Return the price of one request of a load on a model; 0 without token prices."""
    prices = rules.price_by_model.get(model)
    if not prices:
        return Fraction(0)
    counts = {
        TokenKind.INPUT: load.n_input,
        TokenKind.CACHED: load.n_cached,
        TokenKind.OUTPUT: load.n_output,
    }
    amounts = (rule.price * counts[kind] for kind, rule in prices.items())
    return Fraction(sum(amounts, Decimal(0))) / TOKENS_PER_PRICE


def count_requests(load: Load, month_slice: MonthSlice) -> Fraction:
    """Return the number of requests of a load that fall into a slice.

    A daily window that lies only partly in the slice counts in proportion.
    """
    total = Fraction(0)
    n_whole_windows = 0
    for begin_s, end_s in load.schedule.windows(month_slice.begin_s, month_slice.end_s):
        n_seconds_inside = min(end_s, month_slice.end_s) - max(
            begin_s, month_slice.begin_s
        )
        if n_seconds_inside == end_s - begin_s:
            n_whole_windows += 1
        else:
            total += Fraction(n_seconds_inside, end_s - begin_s)
    return (total + n_whole_windows) * load.n_requests


def iterate_segments(loads: list[Load], month_slice: MonthSlice) -> Iterator[Segment]:
    """Yield the segments of a slice in order of time.

    Flows change where a window of a load begins or ends. Times without any flow
    belong to no segment.
    """
    boundaries: list[tuple[int, int, int, Flow]] = []
    for index, load in enumerate(loads):
        for begin_s, end_s in load.schedule.windows(
            month_slice.begin_s, month_slice.end_s
        ):
            flow = Flow(load, Fraction(load.n_requests, end_s - begin_s))
            boundaries.append((max(begin_s, month_slice.begin_s), 1, index, flow))
            boundaries.append((min(end_s, month_slice.end_s), -1, index, flow))
    boundaries.sort(key=lambda boundary: boundary[0])
    open_flows: list[Flow] = []
    previous_s = month_slice.begin_s
    for at_s, delta, _, flow in boundaries:
        if at_s > previous_s and open_flows:
            yield Segment(at_s - previous_s, tuple(open_flows))
        previous_s = max(previous_s, at_s)
        if delta > 0:
            open_flows.append(flow)
        else:
            open_flows.remove(flow)
