"""State of one entry."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bluebellusher_core.admission import AdmissionQueue, FifoQueue
from bluebellusher_core.membership import Endpoints, Pool
from bluebellusher_core.reducer._config import EntryConfig
from bluebellusher_core.requests import Attempt, Request
from bluebellusher_core.routing import LeastInFlight, RoutingPolicy


@dataclass(slots=True)
class EntryState:
    """Everything that one entry decides from; only ``reduce`` changes it."""

    config: EntryConfig
    random_state: Random
    policy: RoutingPolicy
    make_queue: Callable[[], AdmissionQueue]
    endpoints: Endpoints
    request_by_id: dict[str, Request] = field(default_factory=dict)
    attempt_by_id: dict[str, Attempt] = field(default_factory=dict)
    ended_attempts: OrderedDict[str, str] = field(default_factory=OrderedDict)
    queue_by_pool: dict[Pool, AdmissionQueue] = field(default_factory=dict)
    service_ms_by_pool: dict[Pool, float] = field(default_factory=dict)
    n_attempts_made: int = 0
    is_shutting_down: bool = False

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        policy: RoutingPolicy | None = None,
        make_queue: Callable[[], AdmissionQueue] = FifoQueue,
    ) -> "EntryState":
        """Return the state of an entry that has just started.

        Examples
        --------
        >>> state = EntryState.from_config(EntryConfig(entry_id="entry-1"))
        >>> len(state.request_by_id)
        0
        """
        return cls(
            config=config,
            random_state=Random(config.seed),
            policy=policy or LeastInFlight(),
            make_queue=make_queue,
            endpoints=Endpoints(n_max=config.n_max_endpoints),
        )
