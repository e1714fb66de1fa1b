"""Retry budget as a deterministic token count."""

from dataclasses import dataclass, field

TOKEN = 100


@dataclass(slots=True)
class RetryBudget:
    """Tokens earned by fresh requests and spent by retries and hedges.

    The number of tokens ever spent is at most ``n_min`` plus ``percent`` of the
    fresh requests. No clock takes part, so a pause neither adds nor loses tokens.

    Parameters
    ----------
    n_min : int
        Tokens at the start, so that an entry with little traffic can retry.
    percent : int
        Tokens earned by 100 fresh requests.
    n_burst : int
        Upper bound of saved tokens, which bounds a burst of retries.

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
        """Start with the minimum."""
        self._balance = self.n_min * TOKEN
        self.n_burst = max(self.n_burst, self.n_min)

    def earn(self) -> None:
        """Count a fresh request."""
        self._balance = min(self._balance + self.percent, self.n_burst * TOKEN)

    @property
    def n_left(self) -> int:
        """Return how many tokens are left."""
        return self._balance // TOKEN

    def resize(self, n_burst: int) -> None:
        """Change the upper bound of saved tokens; what exceeds it is lost."""
        self.n_burst = max(1, n_burst)
        self._balance = min(self._balance, self.n_burst * TOKEN)

    def try_spend(self, n_reserved: int = 0) -> bool:
        """Take a token unless fewer than ``n_reserved`` would remain."""
        if self._balance < (1 + n_reserved) * TOKEN:
            return False
        self._balance -= TOKEN
        return True
