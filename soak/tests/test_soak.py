"""A short seeded run of the soak, with the same promises as a long one."""

import asyncio

import pytest

from soak.run import N_CRASHES_TO_BLOCK, Soak, make_environment

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 102])
def test_processes_keep_their_promises_under_faults(seed, tmp_path):
    """Guards against what only real processes, sockets and restarts show."""
    make_environment()
    report = asyncio.run(Soak(seed, tmp_path, SECONDS).run())
    assert report.violations == []
    assert report.statuses[200] > 0
    assert report.n_poison_runs >= 1
    assert report.faults.total() > 0


def test_crash_of_an_endpoint_is_counted_by_processes(tmp_path):
    """Guards against a run in which nothing is blocked because nothing crashes."""
    make_environment()
    soak = Soak(7, tmp_path, SECONDS)
    soak.faults = []
    report = asyncio.run(soak.run())
    assert report.n_poison_runs >= N_CRASHES_TO_BLOCK
    assert report.violations == []
