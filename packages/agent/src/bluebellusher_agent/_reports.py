"""Reports of the load and the cache of the target to the entries."""

import json
from typing import Any

from bluebellusher_agent._http import HttpClient
from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import messages

# Maximum number of cached blocks that are recorded for the report to an entry that
# connects later; the oldest ones are evicted.
MAX_RECORDED_BLOCKS = 4_096
MAX_NAMES = 1_000


class LoadReader:
    """Read the load of the target and build reports when it has changed.

    The load of an engine comes from ``GET /load``. For a plain service the agent
    passes its own counts to ``update``.

    Parameters
    ----------
    client : HttpClient
        Connections to the engine.
    models, adapters : tuple of str
        Models and adapters of the endpoint until the engine reports its own.
    n_slots : int
        Batch limit until the engine reports its own.
    """

    def __init__(
        self,
        client: HttpClient,
        models: tuple[str, ...],
        adapters: tuple[str, ...],
        n_slots: int,
    ) -> None:
        self._client = client
        self._sequence = 0
        self._last_content: tuple[Any, ...] = ()
        self.models = list(models)
        self.adapters = list(adapters)
        self.n_slots = n_slots
        self.boot_id = ""
        self.is_engine_draining = False
        self.last_report: Any = None

    async def read_engine(self, is_draining: bool) -> Any:
        """Read the load of the engine and return a ``LoadReport``, None if unchanged.

        Raises
        ------
        StepError
            If the exchange fails or the answer is malformed.
        """
        status, body = await self._client.fetch("GET", "/load")
        try:
            data = json.loads(body)
            self.models = _read_names(data["models"])
            self.adapters = _read_names(data["adapters"])
            self.n_slots = int(data["n_slots"])
            self.is_engine_draining = bool(data.get("is_draining"))
            self.boot_id = str(data.get("boot_id") or "")
            counts = [int(data[key]) for key in ("n_running", "n_queued")]
            counts.append(int(data["n_queued_tokens"]))
            kv_use = float(data["kv_use"])
            age_ms = int(data.get("age_ms", 0))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            reason = f"status {status}, {type(error).__name__}: expected a load reading"
            raise StepError("read-load", self._client.peer, reason) from error
        return self.update(counts, kv_use, age_ms, is_draining)

    def update(
        self, counts: list[int], kv_use: float, age_ms: int, is_draining: bool
    ) -> Any:
        """Return a ``LoadReport``, None if nothing but the age has changed.

        Parameters
        ----------
        counts : list of int
            Running requests, queued requests and queued tokens.
        kv_use : float
            Used share of the KV cache.
        age_ms : int
            Age of the measurement, in milliseconds.
        is_draining : bool
            Whether the agent drains.
        """
        is_draining = is_draining or self.is_engine_draining
        content = (
            *counts,
            self.n_slots,
            kv_use,
            tuple(self.models),
            tuple(self.adapters),
            is_draining,
        )
        if content == self._last_content:
            return None
        self._last_content = content
        self._sequence += 1
        self.last_report = messages.LoadReport(
            sequence=self._sequence,
            n_running=counts[0],
            n_queued=counts[1],
            n_queued_tokens=counts[2],
            n_slots=self.n_slots,
            kv_use=kv_use,
            models=self.models,
            adapters=self.adapters,
            is_draining=is_draining,
            age_ms=age_ms,
        )
        return self.last_report


class CacheReader:
    """Read the cache events of the engine and record its cached blocks.

    Entries that connect later receive the recorded blocks in one report.

    Parameters
    ----------
    client : HttpClient
        Connections to the engine.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._last_sequence = 0
        self._recorded_blocks: dict[int, None] = {}

    async def read(self) -> Any:
        """Read new cache events and return a ``CacheReport``, None if there are none.

        Raises
        ------
        StepError
            If the exchange fails or the answer is malformed.
        """
        path = f"/cache-events?after={self._last_sequence}"
        status, body = await self._client.fetch("GET", path)
        try:
            events = json.loads(body)["events"]
            changes = [
                (
                    int(event["sequence"]),
                    _read_hashes(event["added"]),
                    _read_hashes(event["removed"]),
                )
                for event in events
            ]
        except (KeyError, TypeError, ValueError) as error:
            reason = f"status {status}, {type(error).__name__}: expected cache events"
            raise StepError("read-cache", self._client.peer, reason) from error
        changes = [change for change in changes if change[0] > self._last_sequence]
        return self._build_cache_report(changes) if changes else None

    def _build_cache_report(
        self, changes: list[tuple[int, list[int], list[int]]]
    ) -> Any:
        """Combine cache changes into one ``CacheReport`` and record them.

        Each change consists of its sequence number, the added and the removed hashes.
        """
        has_gap = False
        is_added_by_hash: dict[int, bool] = {}
        first_sequence = changes[0][0]
        for sequence, added, removed in changes:
            has_gap = has_gap or sequence != self._last_sequence + 1
            self._last_sequence = sequence
            is_added_by_hash.update(dict.fromkeys(added, True))
            is_added_by_hash.update(dict.fromkeys(removed, False))
        added = [value for value, is_added in is_added_by_hash.items() if is_added]
        removed = [v for v, is_added in is_added_by_hash.items() if not is_added]
        self._update_recorded_blocks(added, removed)
        return messages.CacheReport(
            added, removed, first_sequence, self._last_sequence, has_gap
        )

    def _update_recorded_blocks(self, added: list[int], removed: list[int]) -> None:
        for value in removed:
            self._recorded_blocks.pop(value, None)
        for value in added:
            self._recorded_blocks.pop(value, None)
            self._recorded_blocks[value] = None
        while len(self._recorded_blocks) > MAX_RECORDED_BLOCKS:
            del self._recorded_blocks[next(iter(self._recorded_blocks))]

    def discard_blocks(self) -> Any:
        """Discard all recorded blocks after a crash and return a report of it."""
        removed = list(self._recorded_blocks)
        self._recorded_blocks.clear()
        self._last_sequence = 0
        return messages.CacheReport([], removed, 0, 0, True)

    def build_snapshot(self) -> Any:
        """Return a report of the recorded blocks, None if there are none."""
        if not self._recorded_blocks:
            return None
        blocks = list(self._recorded_blocks)
        return messages.CacheReport(blocks, [], 0, self._last_sequence, True)


def _read_names(data: Any) -> list[str]:
    if not isinstance(data, list) or len(data) > MAX_NAMES:
        raise ValueError("expected a list of names")
    return [str(name) for name in data]


def _read_hashes(data: Any) -> list[int]:
    values = [int(value) for value in data]
    if any(not -(2**63) <= value < 2**63 for value in values):
        raise ValueError("expected 64-bit hashes")
    return values
