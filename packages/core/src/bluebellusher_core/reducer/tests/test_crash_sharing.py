"""Requests that crash endpoints, while entries start again, are cut off or join."""

import pytest

from bluebellusher_core.reducer.tests._crash_world import N_TO_BLOCK, POISON, CrashWorld

# Runs that the platform tolerates after the third crash.
N_MAX_LATE_RUNS = 3


def crash_three(world, entry_id="e0"):
    """Let one entry see three crashes of the request, one after the other."""
    for _ in range(N_TO_BLOCK):
        world.send(entry_id)
        world.run(1_500)


def send_everywhere(world, n_rounds=8, gap_ms=400):
    """Send the request to each entry in turn, again and again."""
    for _ in range(n_rounds):
        for entry_id in list(world.entry_by_id):
            world.send(entry_id)
            world.run(gap_ms)


def test_block_outlives_the_entry_that_saw_the_crashes():
    """Guards against a block that ends with one process and is told by no other."""
    world = CrashWorld()
    crash_three(world)
    world.run(8_000)
    for entry_id in world.entry_by_id:
        world.restart_entry(entry_id)
        world.run(4_000)
    send_everywhere(world)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


def test_block_outlives_all_entries_killed_at_once():
    """Guards against a block that no process is left to remember."""
    world = CrashWorld()
    crash_three(world)
    world.run(4_000)
    world.restart_all()
    world.run(4_000)
    send_everywhere(world)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


def test_crashes_count_although_all_entries_are_killed_between_them():
    """Guards against crashes that are forgotten before the third one."""
    world = CrashWorld()
    for _ in range(3 * N_TO_BLOCK):
        world.send("e1")
        world.run(4_000)
        world.restart_all()
        world.run(4_000)
    assert world.n_late_runs <= N_MAX_LATE_RUNS


@pytest.mark.parametrize("keeps_id", [False, True])
def test_answer_of_the_next_start_hides_no_crash(keeps_id):
    """Guards against a crash forgotten because its address answers again."""
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
    """Guards against crashes that count only if somebody meets the closed port."""
    world = CrashWorld()
    for _ in range(2 * N_TO_BLOCK):
        world.send("e0")
        world.run(12_000)
    assert world.is_refused("e0")


def test_copies_at_once_that_crash_three_endpoints_are_enough():
    """Guards against further crashes because copies in flight count once."""
    world = CrashWorld()
    for _ in range(N_TO_BLOCK):
        world.send("e0")
    world.run(8_000)
    assert world.n_runs == N_TO_BLOCK
    assert world.is_refused("e0")
    assert world.is_refused("e3")


def test_copies_at_once_at_several_entries_are_enough():
    """Guards against crashes that each entry sees one of."""
    world = CrashWorld()
    for entry_id in world.entry_by_id:
        world.send(entry_id)
        world.send(entry_id)
    world.run(8_000)
    assert len(world.crash_times_ms) >= N_TO_BLOCK, "copies met at one endpoint"
    assert all(world.is_refused(entry_id) for entry_id in world.entry_by_id)


@pytest.mark.parametrize("seed", range(40))
def test_request_that_crashes_endpoints_is_stopped_whatever_else_happens(seed):
    """Guards against a history of restarts, cuts and returns that hides crashes."""
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
    """Guards against callers refused because a failure domain was cut off."""
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
    """Guards against callers refused because endpoints left by plan."""
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
    """Guards against callers refused because the machines of a domain lost power."""
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
    """Let endpoints crash by themselves while they run a request."""
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
    """Guards against minutes of refusals after three crashes met by chance."""
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
    """Guards against trials that add up over entries and restarts."""
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
    """Guards against a model in which nothing crashes or nothing is answered."""
    world = CrashWorld()
    world.send("e0")
    world.send("e0", "sound")
    world.run(1_000)
    assert len(world.crash_times_ms) == 1
    assert world.answers == ["sound"]
    assert POISON not in world.answers
