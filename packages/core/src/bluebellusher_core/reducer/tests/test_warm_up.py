"""Endpoints that warm up get requests only at the rate of their service."""

import pytest

from bluebellusher_core.reducer.tests._warm_up_simulation import WarmUpSimulation

REQUESTS_PER_S = 18
WINDOW_MS = 1_000
# Requests that may reach a cold endpoint within one second.
N_MAX = 32


@pytest.mark.parametrize("n_entries", [13, 64])
def test_cold_endpoint_survives_the_restart_of_all_entries(n_entries):
    """Guards against entries without memory that each send to the only idle endpoint.

    They start at the same time and do not know each other, and the other endpoints
    refuse their requests, which are sent again.
    """
    simulation = WarmUpSimulation(n_entries, n_endpoints=4)
    simulation.full_ids = {"x1", "x2", "x3"}
    simulation.cold_until_by_id["x0"] = simulation.now_ms + 3_000
    simulation.restart_all()
    since_ms = simulation.now_ms
    simulation.send_for(2_500, 200)
    assert simulation.count_most("x0", WINDOW_MS, since_ms) <= N_MAX
