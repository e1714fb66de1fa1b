"""Retry budget as a token bucket that new requests fill."""

from dataclasses import dataclass, field

# Units of the balance in one token, so that one request can earn a percentage of it.
UNITS_PER_TOKEN = 100


@dataclass(slots=True)
class RetryBudget:
    """Bucket of tokens that new requests earn and that retries and hedges spend.

    The total number of tokens spent is at most ``n_min`` plus ``percent`` of the number
    of new requests. The budget does not depend on time, so that a pause of the process
    neither adds nor removes tokens.

    Parameters
    ----------
    n_min : int
        Tokens at the start, so that an entry with little traffic can retry.
    percent : int
        Tokens earned by 100 new requests.
    n_burst : int
        Upper bound of saved tokens, which bounds a burst of retries. It is raised to
        ``n_min`` where it is lower.

    Examples
    --------
    >>> budget = RetryBudget(n_min=1, percent=10)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    n_min: int = 10
    percent: int = 10
    n_burst: int = 100
    _balance: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        """Set the balance to ``n_min`` tokens."""
        self._balance = self.n_min * UNITS_PER_TOKEN
        self.n_burst = max(self.n_burst, self.n_min)

    def earn(self) -> None:
        """Add the share of a token that one new request earns."""
        self._balance = min(
            self._balance + self.percent, self.n_burst * UNITS_PER_TOKEN
        )

    @property
    def n_available(self) -> int:
        """Number of whole tokens that can be spent."""
        return self._balance // UNITS_PER_TOKEN

    def resize(self, n_burst: int) -> None:
        """Change the upper bound of saved tokens; tokens beyond it are discarded."""
        self.n_burst = max(1, n_burst)
        self._balance = min(self._balance, self.n_burst * UNITS_PER_TOKEN)

    def try_spend(self, n_reserved: int = 0) -> bool:
        """Spend a token unless fewer than ``n_reserved`` would remain.

        Returns whether a token was spent.
        """
        if self._balance < (1 + n_reserved) * UNITS_PER_TOKEN:
            return False
        self._balance -= UNITS_PER_TOKEN
        return True
