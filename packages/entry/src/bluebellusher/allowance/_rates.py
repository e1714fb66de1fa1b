"""Rates of customers, as shares of this entry."""

from bluebellusher.server import BadRequestError, RequestDraft
from bluebellusher.settings import Settings
from bluebellusher_core.allowance import RateShare
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import Reason
from bluebellusher_core.rules import TOKENS_UNIT, Rate, RuleSet

REQUESTS_UNIT = "requests"


class RateLimits:
    """Let requests in within this entry's shares of the rates in force.

    Parameters
    ----------
    n_entries : int
        Configured number of entries.
    entry_index : int
        Place of this entry among them.
    clock : Clock
        Wall time gives the periods.
    """

    def __init__(self, n_entries: int, entry_index: int, clock: Clock) -> None:
        self._n_entries = n_entries
        self._entry_index = entry_index
        self._clock = clock
        self._share_by_key: dict[tuple[str, str], RateShare] = {}

    @classmethod
    def from_settings(cls, settings: Settings, clock: Clock) -> "RateLimits":
        """Take the place of this entry from the sorted addresses of all entries.

        Every entry has to name the others by the addresses on which they listen, or
        two entries could take the same share.
        """
        own = settings.peer_listen
        addresses = {(peer.host, peer.port) for peer in settings.peers}
        addresses.add((own.host, own.port))
        index = sorted(addresses).index((own.host, own.port))
        return cls(len(addresses), index, clock)

    def admit(
        self, request_id: str, draft: RequestDraft, n_tokens: int, rules: RuleSet
    ) -> None:
        """Use one request and the tokens that it may need at most.

        Raises
        ------
        BadRequestError
            When a share of the present period is used up; nothing is used then.
        """
        need_by_unit = {REQUESTS_UNIT: 1}
        if draft.model:
            need_by_unit[TOKENS_UNIT] = n_tokens
        wall_ms = self._clock.wall_ms()
        for unit, n_units in need_by_unit.items():
            rate = rules.rate_by_customer.get((draft.customer_id, unit))
            if rate is None:
                continue
            share = self._find_share(rate)
            if not share.reserve(request_id, n_units, wall_ms):
                self.settle(draft.customer_id, request_id, 0, is_admitted=False)
                detail = f"rate of {rate.n_units} {unit} per {rate.period} is used up"
                wait_ms = share.wait_ms(wall_ms)
                raise BadRequestError(Reason.RATE_LIMITED, detail, wait_ms)

    def settle(
        self,
        customer_id: str,
        request_id: str,
        n_tokens: int | None,
        is_admitted: bool = True,
    ) -> None:
        """Give back the tokens that were not used; a repeat does nothing.

        ``n_tokens`` is ``None`` when the usage is unknown; all stay used then.
        """
        tokens = self._share_by_key.get((customer_id, TOKENS_UNIT))
        if tokens is not None:
            tokens.settle(request_id, n_tokens)
        requests = self._share_by_key.get((customer_id, REQUESTS_UNIT))
        if requests is not None:
            requests.settle(request_id, 1 if is_admitted else 0)

    def _find_share(self, rate: Rate) -> RateShare:
        key = (rate.customer, rate.unit)
        share = self._share_by_key.get(key)
        period_ms = rate.period_s * 1000
        if share is None or share.period_ms != period_ms:
            share = RateShare(
                rate.n_units, period_ms, self._n_entries, self._entry_index
            )
            self._share_by_key[key] = share
        # What was used of the present period stays used under a new limit.
        share.limit = rate.n_units
        return share
