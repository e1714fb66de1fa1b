"""Sharing of crash records while entries restart, join or are cut off."""

import pytest

from bluebellusher_core.reducer.tests._crash_world import N_TO_BLOCK, POISON, CrashWorld

# Upper bound of the poison runs that start more than 3 s after the third crash, at
# entries in contact with the store.
N_MAX_LATE_RUNS = 3


def crash_three(world, entry_id="e0"):
    """Send the poison request three times to one entry, one after the other."""
    for _ in range(N_TO_BLOCK):
        world.send(entry_id)
        world.run(1_500)


def send_everywhere(world, n_rounds=8, gap_ms=400):
    """Send the poison request to each entry in turn, for several rounds."""
    for _ in range(n_rounds):
        for entry_id in list(world.entry_by_id):
            world.send(entry_id)
            world.run(gap_ms)


def test_block_outlives_the_entry_that_saw_the_crashes():
    """Guards against a block that is lost with the entry that observed the crashes."""
    world = CrashWorld()
    crash_three(world)
    world.run(8_000)
    for entry_id in world.entry_by_id:
        world.restart_entry(entry_id)
        world.run(4_000)
    send_everywhere(world)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


def test_block_outlives_all_entries_killed_at_once():
    """Guards against a block that only the memory of the entries records."""
    world = CrashWorld()
    crash_three(world)
    world.run(4_000)
    world.restart_all()
    world.run(4_000)
    send_everywhere(world)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


def test_crashes_count_although_all_entries_are_killed_between_them():
    """Guards against crashes that a restart of all entries discards."""
    world = CrashWorld()
    for _ in range(3 * N_TO_BLOCK):
        world.send("e1")
        world.run(4_000)
        world.restart_all()
        world.run(4_000)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


@pytest.mark.parametrize("keeps_id", [False, True])
def test_answer_of_the_next_start_hides_no_crash(keeps_id):
    """Guards against a crash dismissed by the answer of a restarted endpoint."""
    world = CrashWorld(n_entries=1, n_hosts=1, keeps_id=keeps_id)
    world.down_ms = (300, 300)
    world.is_store_away = True
    for _ in range(4 * N_TO_BLOCK):
        world.send("e0")
        world.run(1_000)
        world.send("e0", "another")
        world.run(1_000)
        world.store_returns()
        world.run(100)
        world.is_store_away = True
    assert world.n_runs <= N_TO_BLOCK + N_MAX_LATE_RUNS


def test_crash_at_an_endpoint_that_gets_no_other_request_is_counted():
    """Guards against crashes counted only if another request finds the port closed."""
    world = CrashWorld()
    for _ in range(2 * N_TO_BLOCK):
        world.send("e0")
        world.run(12_000)
    assert world.is_refused("e0")


def test_copies_at_once_that_crash_three_endpoints_are_enough():
    """Guards against further crashes because simultaneous runs count as one crash."""
    world = CrashWorld()
    for _ in range(N_TO_BLOCK):
        world.send("e0")
    world.run(8_000)
    assert world.n_runs == N_TO_BLOCK
    assert world.is_refused("e0")
    assert world.is_refused("e3")


def test_copies_at_once_at_several_entries_are_enough():
    """Guards against crashes of which each entry observes only one."""
    world = CrashWorld()
    for entry_id in world.entry_by_id:
        world.send(entry_id)
        world.send(entry_id)
    world.run(8_000)
    assert len(world.crash_times_ms) >= N_TO_BLOCK, (
        "several runs crashed the same endpoint"
    )
    assert all(world.is_refused(entry_id) for entry_id in world.entry_by_id)


@pytest.mark.parametrize("seed", range(40))
def test_request_that_crashes_endpoints_is_stopped_whatever_else_happens(seed):
    """Guards against restarts, cuts and store outages that hide crashes."""
    world = CrashWorld(seed, keeps_id=bool(seed % 2))
    for _ in range(60):
        alive = [e.entry_id for e in world.entry_by_id.values() if e.is_alive]
        for _ in range(world.random.randint(1, 2)):
            if alive:
                world.send(world.random.choice(alive))
        world.send(world.random.choice(list(world.entry_by_id)), "sound")
        _disturb(world)
        world.run(world.random.randint(100, 1_200))
    assert world.n_late_runs <= N_MAX_LATE_RUNS


def _disturb(world):
    """Cause or end a random fault of the entries, the store or a failure domain."""
    choice = world.random.random()
    entry_ids = list(world.entry_by_id)
    if choice < 0.1:
        world.restart_entry(world.random.choice(entry_ids))
    elif choice < 0.13:
        world.restart_all()
    elif choice < 0.2:
        world.is_store_away = not world.is_store_away
        if not world.is_store_away:
            world.store_returns()
    elif choice < 0.27:
        if world.cut_domains:
            world.heal(next(iter(world.cut_domains)))
        else:
            world.cut(world.random.choice(["d0", "d1", "d2"]))


def test_sound_request_near_a_cut_is_not_blocked():
    """Guards against callers rejected because a failure domain was cut off."""
    world = CrashWorld(n_hosts=3)
    for domain in ("d1", "d2", "d1"):
        for _ in range(6):
            world.send("e0", "sound")
        world.cut(domain)
        world.run(6_000)
        world.heal(domain)
        world.run(3_000)
    assert not world.is_refused("e0", "sound")


def test_sound_request_near_a_release_is_not_blocked():
    """Guards against callers rejected because endpoints shut down by plan."""
    world = CrashWorld()
    for host in world.hosts:
        world.leave(host)
        for _ in range(4):
            world.send("e0", "sound")
        world.run(1_990)
        for entry_id in world.entry_by_id:
            world.send(entry_id, "sound")
        world.run(10)
    assert not world.is_refused("e0", "sound")


def test_popular_sound_request_near_a_lost_domain_is_not_blocked():
    """Guards against callers rejected because all endpoints of a domain crashed.

    Many runs of a frequent request are in flight when the domain loses power.
    """
    world = CrashWorld()
    for _ in range(6):
        world.send("e0", "sound")
    world.run(1_000)
    for _ in range(24):
        world.send("e0", "sound")
    world.run(5)
    for host in world.hosts:
        if host.domain == "d0" and host.registration is not None:
            world.crash(host)
    world.run(1_000)
    assert not world.is_refused("e0", "sound")


def meet_three_crashes(world, fingerprint):
    """Crash endpoints for another reason while they run a request."""
    n_met = 0
    while n_met < N_TO_BLOCK:
        world.send("e0", fingerprint)
        world.run(5)
        for host in world.hosts:
            if any(run.fingerprint == fingerprint for run in host.runs):
                world.crash(host)
                n_met += 1
        world.run(1_000)


def test_sound_request_near_endpoints_that_flap_is_served_after_a_while():
    """Guards against a long block of a harmless request after three chance crashes."""
    world = CrashWorld()
    meet_three_crashes(world, "sound")
    assert all(world.is_refused(entry_id, "sound") for entry_id in world.entry_by_id)
    world.run(40_000)
    for entry_id in world.entry_by_id:
        world.send(entry_id, "sound")
        world.run(1_000)
    assert "sound" in world.answers
    assert not any(
        world.is_refused(entry_id, "sound") for entry_id in world.entry_by_id
    )


def test_request_that_crashes_endpoints_gets_one_trial_whoever_starts_again():
    """Guards against more than one trial run over all entries and restarts."""
    world = CrashWorld()
    crash_three(world)
    for i in range(14):
        send_everywhere(world, n_rounds=4)
        world.restart_entry(f"e{i % 4}")
        world.run(10_000)
        world.restart_all()
        world.run(10_000)
    assert world.n_runs == N_TO_BLOCK + 1


def test_model_plays_what_it_claims():
    """Guards against a simulation in which nothing crashes or completes."""
    world = CrashWorld()
    world.send("e0")
    world.send("e0", "sound")
    world.run(1_000)
    assert len(world.crash_times_ms) == 1
    assert world.answers == ["sound"]
    assert POISON not in world.answers
