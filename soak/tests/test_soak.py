"""Short seeded runs of the soak, which check the same guarantees as a long one."""

import asyncio

import pytest

from soak.run import N_CRASHES_TO_BLOCK, Soak, set_python_path

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 102])
def test_guarantees_hold_under_faults_of_processes_and_store(seed, tmp_path):
    """Guards against faults that appear only with real processes and sockets.

    Examples are a request that runs twice, or an answer of another request, after a
    process was killed, frozen or restarted.
    """
    set_python_path()
    report = asyncio.run(Soak(seed, tmp_path, SECONDS).run())
    assert report.violations == []
    assert report.statuses[200] > 0
    assert report.n_poison_runs >= 1
    assert report.faults.total() > 0


def test_routes_are_in_force_although_the_store_is_restored_from_copies(tmp_path):
    """Guards against entries that miss changes after a restoration of the store."""
    set_python_path()
    soak = Soak(3, tmp_path, SECONDS)
    names = ("store-restored", "kill-entry")
    soak.faults = [fault for fault in soak.faults if fault[0] in names]
    report = asyncio.run(soak.run())
    assert report.faults["store-restored"] > 0
    assert report.violations == []


def test_poison_request_crashes_endpoints_without_other_faults(tmp_path):
    """Guards against a soak that never checks the blocking of poison requests.

    That happens if the poison request crashes too few endpoints to be blocked.
    """
    set_python_path()
    soak = Soak(7, tmp_path, SECONDS)
    soak.faults = []
    report = asyncio.run(soak.run())
    assert report.n_poison_runs >= N_CRASHES_TO_BLOCK
    assert report.violations == []
