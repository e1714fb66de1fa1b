"""Loads for the comparison of rules for traffic between failure domains."""

from dataclasses import dataclass, replace
from math import pi, sin

DOMAINS = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class DomainDay:
    """Load of one simulated day; times are in ms.

    Parameters
    ----------
    n_entries : int
        Entries, which are spread over the domains.
    n_endpoints : tuple of int
        Endpoints in each domain.
    n_slots : int
        Slots of an endpoint.
    is_group : bool
        Whether the endpoints are ranks of one group, which advance in lock-step and
        send load reports. Plain endpoints send none.
    load : float
        Mean demand as a share of the capacity at full slots.
    swing, swing_period_ms, phases : float, int, tuple of float
        Relative amplitude and period of the demand, and phase in each domain as a part
        of the period.
    burst_factor, burst_domains : float, tuple of str
        Factor of the demand in these domains in the middle fifth of the day.
    gone_domain, cold_domain : str
        Domain whose endpoints are gone, or can use one slot each, in the second half
        of the middle of the day; empty for none.
    report_factor : float
        Factor of the intervals of the load reports.
    cut_share : float
        Share of the entries that cannot reach other domains.
    objective_ms, patience_ms : int
        Latency objective, and time without a first event after which a caller leaves.
    n_input_tokens, n_output_tokens : int
        Sizes of a request.
    priority : int
        Priority of all requests.
    duration_ms : int
        Time in which callers arrive.
    """

    n_entries: int = 13
    n_endpoints: tuple[int, ...] = (22, 21, 21)
    n_slots: int = 5
    is_group: bool = True
    load: float = 0.6
    swing: float = 0.0
    swing_period_ms: int = 11_000
    phases: tuple[float, ...] = (0.0, 0.0, 0.0)
    burst_factor: float = 1.0
    burst_domains: tuple[str, ...] = ()
    gone_domain: str = ""
    cold_domain: str = ""
    report_factor: float = 1.0
    cut_share: float = 0.0
    objective_ms: int = 506
    patience_ms: int = 2_024
    n_input_tokens: int = 868
    n_output_tokens: int = 96
    priority: int = 1
    duration_ms: int = 22_000

    def compute_demand(self, domain: str, now_ms: float) -> float:
        """Return the demand of a domain as a multiple of its mean."""
        phase = self.phases[DOMAINS.index(domain)]
        factor = 1 + self.swing * sin(2 * pi * (now_ms / self.swing_period_ms + phase))
        is_burst = 0.4 <= now_ms / self.duration_ms < 0.6
        return factor * (
            self.burst_factor if is_burst and domain in self.burst_domains else 1.0
        )

    def is_disturbed(self, now_ms: float) -> bool:
        """Return whether a domain is gone or cold at this time."""
        return 0.4 <= now_ms / self.duration_ms < 0.7


RANKS = DomainDay()
PLAIN = DomainDay(
    n_endpoints=(3, 2, 2),
    n_slots=6,
    is_group=False,
    load=0.5,
    objective_ms=600,
    patience_ms=1_500,
    n_input_tokens=500,
    n_output_tokens=250,
)
_OUT_OF_PHASE = (0.0, 1 / 3, 2 / 3)


def make_loads() -> dict[str, DomainDay]:
    """Return the loads by name, each with ranks of a group and plain endpoints."""
    loads = {}
    for kind, base in (("ranks", RANKS), ("plain", PLAIN)):
        swing = replace(base, swing=0.55, swing_period_ms=17_000)
        variants = {
            "steady": base,
            "high": replace(base, load=0.85),
            "swing-in-phase": replace(swing, load=base.load - 0.05),
            "swing-out-of-phase": replace(swing, phases=_OUT_OF_PHASE),
            "burst-in-one": replace(base, burst_factor=2.2, burst_domains=("a",)),
            "burst-in-all": replace(base, burst_factor=2.0, burst_domains=DOMAINS),
            "domain-gone": replace(base, gone_domain="b"),
            "domain-cold": replace(base, cold_domain="b"),
            "stale-reports": replace(swing, phases=_OUT_OF_PHASE, report_factor=4.0),
            "entries-cut-off": replace(swing, phases=_OUT_OF_PHASE, cut_share=0.4),
            "64-entries": replace(swing, phases=_OUT_OF_PHASE, n_entries=64),
        }
        loads.update({f"{kind}.{name}": day for name, day in variants.items()})
    return loads
