"""Sharing of crash records while entries restart, join or are cut off.

The request with the fingerprint ``poison`` crashes its endpoint; the one with the
fingerprint ``sound`` is harmless.
"""

import pytest

from bluebellusher_core.reducer.tests._crash_simulation import (
    N_TO_BLOCK,
    POISON,
    CrashSimulation,
)

# Upper bound of the poison runs that start more than 3 s after the third crash, at
# entries in contact with the store.
N_MAX_LATE_RUNS = 3


def send_three_crashing_requests(simulation, entry_id="e0"):
    """Send the poison request three times to one entry, one after the other."""
    for _ in range(N_TO_BLOCK):
        simulation.send(entry_id)
        simulation.run(1_500)


def send_to_all_entries(simulation, n_rounds=8, gap_ms=400):
    """Send the poison request to each entry in turn, for several rounds."""
    for _ in range(n_rounds):
        for entry_id in list(simulation.entry_by_id):
            simulation.send(entry_id)
            simulation.run(gap_ms)


def test_block_survives_the_restart_of_each_entry():
    """Guards against a block that is lost with the entry that observed the crashes."""
    simulation = CrashSimulation()
    send_three_crashing_requests(simulation)
    simulation.run(8_000)
    for entry_id in simulation.entry_by_id:
        simulation.restart_entry(entry_id)
        simulation.run(4_000)
    send_to_all_entries(simulation)
    assert simulation.n_late_runs <= N_MAX_LATE_RUNS


def test_block_survives_the_restart_of_all_entries_at_once():
    """Guards against a block that only the memory of the entries records."""
    simulation = CrashSimulation()
    send_three_crashing_requests(simulation)
    simulation.run(4_000)
    simulation.restart_all_entries()
    simulation.run(4_000)
    send_to_all_entries(simulation)
    assert simulation.n_late_runs <= N_MAX_LATE_RUNS


def test_crashes_survive_restarts_of_all_entries():
    """Guards against crashes that a restart of all entries discards."""
    simulation = CrashSimulation()
    for _ in range(3 * N_TO_BLOCK):
        simulation.send("e1")
        simulation.run(4_000)
        simulation.restart_all_entries()
        simulation.run(4_000)
    assert simulation.n_late_runs <= N_MAX_LATE_RUNS


@pytest.mark.parametrize("keeps_id", [False, True])
def test_answer_of_a_restarted_endpoint_dismisses_no_crash(keeps_id):
    """Guards against a crash dismissed by the answer of a restarted endpoint."""
    simulation = CrashSimulation(n_entries=1, n_hosts=1, keeps_id=keeps_id)
    simulation.downtime_range_ms = (300, 300)
    simulation.is_store_unavailable = True
    for _ in range(4 * N_TO_BLOCK):
        simulation.send("e0")
        simulation.run(1_000)
        simulation.send("e0", "another")
        simulation.run(1_000)
        simulation.restore_store()
        simulation.run(100)
        simulation.is_store_unavailable = True
    assert simulation.n_runs <= N_TO_BLOCK + N_MAX_LATE_RUNS


def test_crash_at_an_endpoint_that_gets_no_other_request_is_counted():
    """Guards against crashes counted only if another request finds the port closed."""
    simulation = CrashSimulation()
    for _ in range(2 * N_TO_BLOCK):
        simulation.send("e0")
        simulation.run(12_000)
    assert simulation.is_rejected("e0")


def test_simultaneous_crashes_of_three_endpoints_block():
    """Guards against further crashes because simultaneous runs count as one crash."""
    simulation = CrashSimulation()
    for _ in range(N_TO_BLOCK):
        simulation.send("e0")
    simulation.run(8_000)
    assert simulation.n_runs == N_TO_BLOCK
    assert simulation.is_rejected("e0")
    assert simulation.is_rejected("e3")


def test_simultaneous_crashes_at_several_entries_block():
    """Guards against crashes of which each entry observes only one."""
    simulation = CrashSimulation()
    for entry_id in simulation.entry_by_id:
        simulation.send(entry_id)
        simulation.send(entry_id)
    simulation.run(8_000)
    assert len(simulation.crash_times_ms) >= N_TO_BLOCK, (
        "several runs crashed the same endpoint"
    )
    assert all(simulation.is_rejected(entry_id) for entry_id in simulation.entry_by_id)


@pytest.mark.parametrize("seed", range(40))
def test_poison_request_is_blocked_under_random_faults(seed):
    """Guards against restarts, cuts and store outages that hide crashes."""
    simulation = CrashSimulation(seed, keeps_id=bool(seed % 2))
    run_random_faults(simulation)
    assert simulation.n_late_runs <= N_MAX_LATE_RUNS


@pytest.mark.parametrize("seed", range(20))
def test_poison_request_is_blocked_beside_error_answers(seed):
    """Guards against error answers of endpoints that clear crashes."""
    simulation = CrashSimulation(seed, keeps_id=bool(seed % 2))
    simulation.error_share = 0.3
    run_random_faults(simulation)
    assert simulation.n_late_runs <= N_MAX_LATE_RUNS


def run_random_faults(simulation):
    """Send poison and harmless requests while faults come and go at random."""
    for _ in range(60):
        running_ids = [
            e.entry_id for e in simulation.entry_by_id.values() if e.is_alive
        ]
        for _ in range(simulation.random.randint(1, 2)):
            if running_ids:
                simulation.send(simulation.random.choice(running_ids))
        simulation.send(simulation.random.choice(list(simulation.entry_by_id)), "sound")
        _change_faults(simulation)
        simulation.run(simulation.random.randint(100, 1_200))


def _change_faults(simulation):
    """Cause or end a random fault of the entries, the store or a failure domain."""
    draw = simulation.random.random()
    entry_ids = list(simulation.entry_by_id)
    if draw < 0.1:
        simulation.restart_entry(simulation.random.choice(entry_ids))
    elif draw < 0.13:
        simulation.restart_all_entries()
    elif draw < 0.2:
        simulation.is_store_unavailable = not simulation.is_store_unavailable
        if not simulation.is_store_unavailable:
            simulation.restore_store()
    elif draw < 0.27:
        if simulation.cut_domains:
            simulation.reconnect_domain(next(iter(simulation.cut_domains)))
        else:
            simulation.cut_domain(simulation.random.choice(["d0", "d1", "d2"]))


def test_harmless_request_is_not_blocked_by_a_cut_domain():
    """Guards against callers rejected because a failure domain was cut off."""
    simulation = CrashSimulation(n_hosts=3)
    for domain in ("d1", "d2", "d1"):
        for _ in range(6):
            simulation.send("e0", "sound")
        simulation.cut_domain(domain)
        simulation.run(6_000)
        simulation.reconnect_domain(domain)
        simulation.run(3_000)
    assert not simulation.is_rejected("e0", "sound")


def test_harmless_request_is_not_blocked_by_planned_shutdowns():
    """Guards against callers rejected because endpoints shut down by plan."""
    simulation = CrashSimulation()
    for host in simulation.hosts:
        simulation.shut_down_endpoint(host)
        for _ in range(4):
            simulation.send("e0", "sound")
        simulation.run(1_990)
        for entry_id in simulation.entry_by_id:
            simulation.send(entry_id, "sound")
        simulation.run(10)
    assert not simulation.is_rejected("e0", "sound")


def test_frequent_harmless_request_is_not_blocked_by_a_lost_domain():
    """Guards against callers rejected because all endpoints of a domain crashed.

    Many runs of a frequent request are in flight when the domain loses power.
    """
    simulation = CrashSimulation()
    for _ in range(6):
        simulation.send("e0", "sound")
    simulation.run(1_000)
    for _ in range(24):
        simulation.send("e0", "sound")
    simulation.run(5)
    for host in simulation.hosts:
        if host.domain == "d0" and host.registration is not None:
            simulation.crash_endpoint(host)
    simulation.run(1_000)
    assert not simulation.is_rejected("e0", "sound")


def crash_three_endpoints(simulation, fingerprint):
    """Crash endpoints for another reason while they run a request."""
    n_crashed = 0
    while n_crashed < N_TO_BLOCK:
        simulation.send("e0", fingerprint)
        simulation.run(5)
        for host in simulation.hosts:
            if any(run.fingerprint == fingerprint for run in host.runs):
                simulation.crash_endpoint(host)
                n_crashed += 1
        simulation.run(1_000)


def test_harmless_request_is_unblocked_after_three_unrelated_crashes():
    """Guards against a long block of a harmless request after three chance crashes."""
    simulation = CrashSimulation()
    crash_three_endpoints(simulation, "sound")
    assert all(
        simulation.is_rejected(entry_id, "sound") for entry_id in simulation.entry_by_id
    )
    simulation.run(40_000)
    for entry_id in simulation.entry_by_id:
        simulation.send(entry_id, "sound")
        simulation.run(1_000)
    assert "sound" in simulation.completed_fingerprints
    assert not any(
        simulation.is_rejected(entry_id, "sound") for entry_id in simulation.entry_by_id
    )


def test_poison_request_gets_one_trial_run_across_restarts():
    """Guards against more than one trial run over all entries and restarts."""
    simulation = CrashSimulation()
    send_three_crashing_requests(simulation)
    for i in range(14):
        send_to_all_entries(simulation, n_rounds=4)
        simulation.restart_entry(f"e{i % 4}")
        simulation.run(10_000)
        simulation.restart_all_entries()
        simulation.run(10_000)
    assert simulation.n_runs == N_TO_BLOCK + 1


def test_simulation_crashes_and_completes_requests():
    """Guards against a simulation in which nothing crashes or completes."""
    simulation = CrashSimulation()
    simulation.send("e0")
    simulation.send("e0", "sound")
    simulation.run(1_000)
    assert len(simulation.crash_times_ms) == 1
    assert simulation.completed_fingerprints == ["sound"]
    assert POISON not in simulation.completed_fingerprints
