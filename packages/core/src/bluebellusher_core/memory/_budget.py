"""Budget of the bytes that a process holds for its callers."""

from collections import defaultdict
from dataclasses import dataclass

# Memory of a process without callers, in bytes: the interpreter, the libraries, the
# tables and connections to peers and agents.
BASE_BYTES = 90_000_000
# Share of the remaining memory that callers' bytes may occupy. The other half is for
# copies while a body is joined and sent, and for the allocator's overhead.
USABLE_SHARE = 0.5
MIN_BUDGET_BYTES = 16_000_000
# After an eviction, at most this share of the budget is in use, so that the connections
# are not compared again for each part that is received.
SHARE_AFTER_EVICTION = 0.875
# Descriptors that callers do not get: 200 for files, and connections to the peers, the
# agents and the store.
N_RESERVED_DESCRIPTORS = 200 + 128
MIN_CONNECTIONS = 32


@dataclass(slots=True, eq=False)
class Account:
    """Bytes that a process holds for one connection.

    Parameters
    ----------
    owner : str
        Customer, or address of a caller whose customer is unknown. The connections of
        an owner are evicted first if it holds the most bytes.
    n_bytes : int
        Bytes held.
    held_since_ms : int
        Monotonic time since which bytes have been held; valid if ``n_bytes`` is not 0.
    is_evictable : bool
        Whether the request may still be rejected as not run, because it has not been
        read completely.
    """

    owner: str
    n_bytes: int = 0
    held_since_ms: int = 0
    is_evictable: bool = True


class ByteBudget:
    """Bytes that a process may hold for all callers, shared fairly by owner.

    It addresses a load of many clients, from a few addresses, that send most of a large
    request and keep it open while other callers send ordinary requests. When the budget
    is exceeded, the owner that holds the most bytes gives up the connections that have
    held the most bytes for the longest time (bytes times duration). An ordinary request
    is small and new, so it is served even if its caller shares an address with such
    clients.

    Parameters
    ----------
    n_max_bytes : int
        Upper bound of the bytes.

    Examples
    --------
    >>> budget = ByteBudget(100)
    >>> large, small = Account("a"), Account("b")
    >>> budget.hold(large, 80, now_ms=0)
    []
    >>> budget.hold(small, 30, now_ms=5) == [large]
    True
    >>> budget.n_bytes
    30
    """

    def __init__(self, n_max_bytes: int) -> None:
        self.n_max_bytes = n_max_bytes
        self.n_bytes = 0
        self._accounts: set[Account] = set()

    def hold(self, account: Account, n_bytes: int, now_ms: int) -> list[Account]:
        """Add bytes to an account; return the accounts that are evicted for them.

        The evicted accounts are empty afterwards, and ``account`` may be one of them.
        Nothing is evicted if all bytes belong to requests that have been read.
        """
        if not account.n_bytes:
            account.held_since_ms = now_ms
            self._accounts.add(account)
        account.n_bytes += n_bytes
        self.n_bytes += n_bytes
        if self.n_bytes <= self.n_max_bytes:
            return []
        return self._evict(now_ms)

    def release(self, account: Account, n_bytes: int | None = None) -> None:
        """Take bytes out of an account; without ``n_bytes``, all of them."""
        n_released = account.n_bytes
        if n_bytes is not None:
            n_released = min(n_bytes, n_released)
        if n_released:
            self.n_bytes -= n_released
            account.n_bytes -= n_released
            if not account.n_bytes:
                self._accounts.discard(account)

    def _evict(self, now_ms: int) -> list[Account]:
        """Empty accounts until ``SHARE_AFTER_EVICTION`` of the budget is in use."""
        n_bytes_by_owner: dict[str, int] = defaultdict(int)
        accounts_by_owner: dict[str, list[Account]] = defaultdict(list)
        for account in self._accounts:
            n_bytes_by_owner[account.owner] += account.n_bytes
            if account.is_evictable:
                accounts_by_owner[account.owner].append(account)
        for accounts in accounts_by_owner.values():
            accounts.sort(key=lambda a: a.n_bytes * (now_ms - a.held_since_ms + 1))
        evicted = []
        n_target_bytes = self.n_max_bytes * SHARE_AFTER_EVICTION
        while self.n_bytes > n_target_bytes and accounts_by_owner:
            owner = max(accounts_by_owner, key=lambda o: n_bytes_by_owner[o])
            account = accounts_by_owner[owner].pop()
            if not accounts_by_owner[owner]:
                del accounts_by_owner[owner]
            n_bytes_by_owner[owner] -= account.n_bytes
            self.release(account)
            evicted.append(account)
        return evicted


def choose_budget_bytes(memory_bytes: int) -> int:
    """Return the bytes that callers may occupy on a machine of the given memory.

    Examples
    --------
    >>> choose_budget_bytes(152_000_000)
    31000000
    """
    usable_bytes = int((memory_bytes - BASE_BYTES) * USABLE_SHARE)
    return max(MIN_BUDGET_BYTES, usable_bytes)


def choose_max_connections(n_descriptors: int) -> int:
    """Return the number of callers' connections for a number of descriptors.

    Each request in progress needs a second descriptor for its attempt.

    Examples
    --------
    >>> choose_max_connections(1_124)
    398
    """
    return max(MIN_CONNECTIONS, (n_descriptors - N_RESERVED_DESCRIPTORS) // 2)
