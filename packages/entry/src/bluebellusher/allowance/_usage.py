"""Usage records of customers, stored as objects."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from bluebellusher.platform import ObjectExistsError, PlatformClient
from bluebellusher_core.clock import Clock
from bluebellusher_core.events import Usage

WRITE_INTERVAL_S = 5.0
_HOUR_MS = 3_600_000
# Maximum number of sealed objects that wait while the object store refuses them. Later
# usage is added to the unsealed sums, whose number is bounded by customers, models and
# hours.
_MAX_SEALED_OBJECTS = 4


@dataclass(frozen=True, slots=True)
class UsageKey:
    """Key by which the usage of requests is summed."""

    customer_id: str
    model: str
    config_version: int
    hour: int
    part: str
    unit: str
    is_estimated: bool


@dataclass(slots=True)
class UsageSum:
    """Numbers of requests, tokens and charged units of one key."""

    n_requests: int = 0
    n_input_tokens: int = 0
    n_cached_tokens: int = 0
    n_output_tokens: int = 0
    n_charged_units: int = 0


class UsageWriter:
    """Writer that sums usage and stores each sum exactly once.

    Sums are sealed into an object before it is sent. The name of a sealed object is
    never used for other content, so that an object whose answer was lost can be sent
    again.

    Parameters
    ----------
    prefix : str
        Prefix of object names: ``usage/{domain}/{instance}/{incarnation}``.
    platform : PlatformClient
        Client of the object store.
    clock : Clock
        Source of the wall time, which determines the hour of a request.
    random_state : Random
        Source of jitter for the interval between writes.
    """

    def __init__(
        self, prefix: str, platform: PlatformClient, clock: Clock, random_state: Random
    ) -> None:
        self._prefix = prefix
        self._platform = platform
        self._clock = clock
        self._random_state = random_state
        self._sum_by_key: dict[UsageKey, UsageSum] = {}
        self._sealed_objects: deque[tuple[str, bytes]] = deque()
        self._n_object_names = 0

    def add(
        self,
        customer_id: str,
        model: str,
        config_version: int,
        charge: tuple[str, str, int],
        usage: Usage | None,
    ) -> None:
        """Add the usage of one request to the sum of its key.

        Parameters
        ----------
        customer_id : str
            Customer who pays for the request.
        model : str
            Model that ran the request.
        config_version : int
            Version of the rules that determined the charge.
        charge : tuple of str, str and int
            Part of the budget, its unit, and the number of charged units.
        usage : Usage or None
            Numbers of tokens; ``None`` when they are unknown and the charge is the
            maximum cost.
        """
        part, unit, n_units = charge
        hour = self._clock.wall_ms() // _HOUR_MS
        key = UsageKey(
            customer_id, model, config_version, hour, part, unit, usage is None
        )
        total = self._sum_by_key.setdefault(key, UsageSum())
        total.n_requests += 1
        total.n_charged_units += n_units
        if usage is not None:
            total.n_input_tokens += usage.n_input_tokens
            total.n_cached_tokens += usage.n_cached_tokens
            total.n_output_tokens += usage.n_output_tokens

    async def run(self) -> None:
        """Store usage about every ``WRITE_INTERVAL_S`` seconds, until cancelled."""
        while True:
            jitter = 0.8 + 0.4 * self._random_state.random()
            await asyncio.sleep(WRITE_INTERVAL_S * jitter)
            await self.flush()

    async def flush(self) -> bool:
        """Seal the sums and send all sealed objects; return whether all are stored."""
        self._seal()
        while self._sealed_objects:
            name, data = self._sealed_objects[0]
            result = await self._platform.put_object(name, data)
            if not result.is_ok() and not isinstance(result.error, ObjectExistsError):
                return False
            # Different content under the name means that another process uses the same
            # instance id and incarnation. The object is stored under the next name.
            self._sealed_objects.popleft()
            if not result.is_ok():
                self._sealed_objects.appendleft((self._next_name(), data))
        return not self._sum_by_key

    def _seal(self) -> None:
        """Move the sums into a sealed object, unless too many of them are waiting."""
        if not self._sum_by_key or len(self._sealed_objects) >= _MAX_SEALED_OBJECTS:
            return
        records = [_to_json(key, total) for key, total in self._sum_by_key.items()]
        self._sum_by_key = {}
        data = json.dumps({"records": records}, sort_keys=True).encode()
        self._sealed_objects.append((self._next_name(), data))

    def _next_name(self) -> str:
        self._n_object_names += 1
        return f"{self._prefix}/{self._n_object_names}"


def _to_json(key: UsageKey, total: UsageSum) -> dict[str, Any]:
    return {
        **{name: getattr(key, name) for name in UsageKey.__slots__},
        **{name: getattr(total, name) for name in UsageSum.__slots__},
    }
