"""Rate limits of customers, of which each entry enforces its share."""

from bluebellusher.server import BadRequestError, RequestDraft
from bluebellusher.settings import Settings
from bluebellusher_core.allowance import RateShare
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import Reason
from bluebellusher_core.rules import TOKENS_UNIT, Rate, RuleSet

REQUESTS_UNIT = "requests"


class RateLimiter:
    """Limiter that admits requests within this entry's shares of the rates in force.

    Parameters
    ----------
    n_entries : int
        Configured number of entries.
    entry_index : int
        Index of this entry among all entries, from 0.
    clock : Clock
        Source of the wall time, which determines the current period of each rate.
    """

    def __init__(self, n_entries: int, entry_index: int, clock: Clock) -> None:
        self._n_entries = n_entries
        self._entry_index = entry_index
        self._clock = clock
        self._share_by_key: dict[tuple[str, str], RateShare] = {}

    @classmethod
    def from_settings(cls, settings: Settings, clock: Clock) -> "RateLimiter":
        """Create a limiter with this entry's index in the sorted entry addresses.

        Every entry has to list its peers under the addresses on which they listen.
        Otherwise, two entries could use the same share.
        """
        own_address = settings.peer_listen
        addresses = {(peer.host, peer.port) for peer in settings.peers}
        addresses.add((own_address.host, own_address.port))
        index = sorted(addresses).index((own_address.host, own_address.port))
        return cls(len(addresses), index, clock)

    def admit(
        self, request_id: str, draft: RequestDraft, n_tokens: int, rules: RuleSet
    ) -> None:
        """Reserve one request and its maximum number of tokens in the shares.

        Raises
        ------
        BadRequestError
            When a share of the current period is used up. Units that were already
            reserved for the request are then returned.
        """
        n_needed_by_unit = {REQUESTS_UNIT: 1}
        if draft.model:
            n_needed_by_unit[TOKENS_UNIT] = n_tokens
        wall_ms = self._clock.wall_ms()
        for unit, n_units in n_needed_by_unit.items():
            rate = rules.rate_by_customer.get((draft.customer_id, unit))
            if rate is None:
                continue
            share = self._get_share(rate)
            if not share.reserve(request_id, n_units, wall_ms):
                self.settle(draft.customer_id, request_id, 0, is_admitted=False)
                detail = f"rate of {rate.n_units} {unit} per {rate.period} is used up"
                wait_ms = share.ms_until_next_share(wall_ms)
                raise BadRequestError(Reason.RATE_LIMITED, detail, wait_ms)

    def settle(
        self,
        customer_id: str,
        request_id: str,
        n_tokens: int | None,
        is_admitted: bool = True,
    ) -> None:
        """Return the reserved tokens that a request did not use.

        ``n_tokens`` is the number used, or ``None`` when the usage is unknown and all
        reserved tokens count as used. A request that was not admitted also returns its
        unit of the rate of requests. A repeated call has no effect.
        """
        token_share = self._share_by_key.get((customer_id, TOKENS_UNIT))
        if token_share is not None:
            token_share.settle(request_id, n_tokens)
        request_share = self._share_by_key.get((customer_id, REQUESTS_UNIT))
        if request_share is not None:
            request_share.settle(request_id, 1 if is_admitted else 0)

    def _get_share(self, rate: Rate) -> RateShare:
        key = (rate.customer, rate.unit)
        share = self._share_by_key.get(key)
        period_ms = rate.period_s * 1000
        if share is None or share.period_ms != period_ms:
            share = RateShare(
                rate.n_units, period_ms, self._n_entries, self._entry_index
            )
            self._share_by_key[key] = share
        # Units used in the current period still count when the limit changes.
        share.limit = rate.n_units
        return share
