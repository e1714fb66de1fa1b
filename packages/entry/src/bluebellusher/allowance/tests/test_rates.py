"""Guards against customers that exceed the rate limits of the rules."""

from dataclasses import replace

from bluebellusher.allowance._rates import RateLimiter
from bluebellusher.allowance.tests.fakes import make_rules_text
from bluebellusher.server import BadRequestError, RequestDraft
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.events import Priority
from bluebellusher_core.rules import parse_rules


def make_rules(*rates):
    """Return parsed rules with these rate limits of customer c1."""
    lines = "".join(f"rate c1 {rate} # Mio: agreed\n" for rate in rates)
    return parse_rules(make_rules_text("1000 tokens") + lines).default_with(_fail)


def _fail(errors):
    raise AssertionError(errors)


def make_draft():
    """Return a request of customer c1 for a model."""
    names = RequestDraft.__dataclass_fields__
    draft = RequestDraft(**dict.fromkeys(names))
    return replace(draft, customer_id="c1", model="model-a", priority=Priority.LOW)


def admit_all(limits, rule_set, n_requests, n_tokens=1, first=0):
    """Try to admit requests at once; return the number admitted and the retry time."""
    n_admitted, wait_ms = 0, None
    for number in range(first, first + n_requests):
        try:
            limits.admit(f"r{number}", make_draft(), n_tokens, rule_set)
            n_admitted += 1
        except BadRequestError as error:
            assert error.reason == "rate_limited"
            wait_ms = error.retry_after_ms
    return n_admitted, wait_ms


def test_all_entries_together_admit_the_rate():
    """Guards against entries that each apply the whole limit instead of a share."""
    clock = ManualClock(wall_offset_ms=90_500)
    rule_set = make_rules("5 requests per second")
    entries = [RateLimiter(3, index, clock) for index in range(3)]
    answers = [admit_all(limits, rule_set, 10) for limits in entries]
    assert sum(n_admitted for n_admitted, _ in answers) == 5
    assert all(wait_ms == 500 for _, wait_ms in answers)
    clock.advance(500)
    assert sum(admit_all(e, rule_set, 10, first=50)[0] for e in entries) == 5


def test_unused_tokens_are_returned():
    """Guards against reserved but unused tokens that use up a rate of tokens."""
    clock = ManualClock(wall_offset_ms=60_000)
    rule_set = make_rules("100 tokens per minute")
    limits = RateLimiter(1, 0, clock)
    assert admit_all(limits, rule_set, 2, n_tokens=60)[0] == 1
    limits.settle("c1", "r0", 30)
    assert admit_all(limits, rule_set, 1, n_tokens=60, first=10)[0] == 1
    limits.settle("c1", "r10", None)
    assert admit_all(limits, rule_set, 1, n_tokens=20, first=20)[0] == 0


def test_rejected_request_uses_no_units():
    """Guards against rejected requests that use up a rate of requests."""
    clock = ManualClock(wall_offset_ms=60_000)
    rule_set = make_rules("2 requests per minute", "100 tokens per minute")
    limits = RateLimiter(1, 0, clock)
    assert admit_all(limits, rule_set, 1, n_tokens=90)[0] == 1
    assert admit_all(limits, rule_set, 5, n_tokens=90, first=10)[0] == 0
    limits.settle("c1", "r0", 0)
    assert admit_all(limits, rule_set, 1, n_tokens=90, first=20)[0] == 1
