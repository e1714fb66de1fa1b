"""Sum of the retries of all entries across restarts."""

from random import Random

import pytest

from bluebellusher.gateway._gateway import _make_state
from bluebellusher.gateway.tests.harness import make_settings
from bluebellusher_core.events import EntriesCounted
from bluebellusher_core.reducer import reduce

# Number of times that all entries are killed within the window of the retry limits.
N_KILLS = 2


def make_started_state(n_extra):
    """Return the reducer's state of an entry that has just started."""
    retries = {"share": 0.2, "n_extra": n_extra, "window_s": 10}
    settings = make_settings(retries=retries)
    return _make_state(settings, 1, Random(1))


@pytest.mark.parametrize(("n_entries", "n_extra"), [(4, 88), (16, 224), (40, 448)])
def test_restarts_do_not_refill_the_common_retry_limit(n_entries, n_extra):
    """Guards against a retry budget that each restart of all entries refills."""
    state = make_started_state(n_extra)
    reduce(state, EntriesCounted(n_entries), 0)
    n_burst = state.retry_budget.n_burst
    n_at_start = make_started_state(n_extra).retry_budget.n_available
    assert n_entries * (n_burst + N_KILLS * n_at_start) <= n_extra
