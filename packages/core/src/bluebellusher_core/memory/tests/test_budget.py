"""Guards against callers that lose their memory to clients that exceed the limits."""

from random import Random

from bluebellusher_core.memory import Account, ByteBudget


def test_open_bodies_do_not_evict_ordinary_requests():
    """Guards against an ordinary request that is evicted while others hold more.

    200 clients of one address keep bodies of 1 MB open; each ms, another part arrives.
    Ordinary requests come from the same address and from another one.
    """
    budget = ByteBudget(31_000_000)
    random = Random(1)
    clients = [Account("attacker") for _ in range(200)]
    ordinary: list[Account] = []
    for now_ms in range(20_000):
        client = random.choice(clients)
        evicted = budget.hold(client, 65_536, now_ms)
        if now_ms % 10 == 0:
            account = Account(random.choice(["attacker", "other"]))
            ordinary.append(account)
            evicted += budget.hold(account, 1_000, now_ms)
        if len(ordinary) > 5:
            budget.release(ordinary.pop(0))
        assert not set(evicted) & set(ordinary)
        assert budget.n_bytes <= budget.n_max_bytes


def test_address_with_the_most_bytes_is_evicted_first():
    """Guards against an address that uses up the memory of others."""
    budget = ByteBudget(1_000)
    single = Account("single")
    budget.hold(single, 300, 0)
    many = [Account("many") for _ in range(20)]
    for now_ms, account in enumerate(many):
        assert single not in budget.hold(account, 50, now_ms + 1_000)
    assert single.n_bytes == 300


def test_complete_requests_are_not_evicted():
    """Guards against a rejection of a request that may have been sent."""
    budget = ByteBudget(1_000)
    complete = Account("a", is_evictable=False)
    budget.hold(complete, 900, 0)
    later = Account("b")
    assert budget.hold(later, 200, 1) == [later]
    assert (complete.n_bytes, budget.n_bytes) == (900, 900)
