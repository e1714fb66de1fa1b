"""Requests that an entry may send an endpoint, from a rate."""

from dataclasses import dataclass
from math import ceil, inf

MS_PER_S = 1_000


@dataclass(slots=True)
class SavedRequests:
    """Requests that an entry may send now; they grow at a rate up to 1.

    ``n_saved`` is negative after requests that could not wait.

    Examples
    --------
    >>> saved = SavedRequests()
    >>> saved.grow(2.0, now_ms=400)
    >>> saved.wait_ms(2.0)
    100
    """

    n_saved: float = 0.0
    updated_at_ms: int = 0

    def grow(self, requests_per_s: float, now_ms: int) -> None:
        """Add the requests that could be saved since the last call.

        Without a rate, none are kept.
        """
        elapsed_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        self.n_saved = min(1.0, self.n_saved + requests_per_s * elapsed_ms / MS_PER_S)
        if not requests_per_s:
            self.n_saved = min(0.0, self.n_saved)

    def wait_ms(self, requests_per_s: float) -> float:
        """Return the time until a request may be sent, in ms; infinite without one."""
        if self.n_saved >= 1:
            return 0
        if not requests_per_s:
            return inf
        return ceil((1 - self.n_saved) * MS_PER_S / requests_per_s)
