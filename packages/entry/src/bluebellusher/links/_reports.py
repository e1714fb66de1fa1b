"""Conversion of agents' reports to events for the reducer."""

from typing import Any

from bluebellusher_core.events import CacheReported, EndpointCrashed, LoadReported


def to_load_event(endpoint_id: str, report: Any) -> LoadReported:
    """Return the event for a ``LoadReport``.

    Missing and negative numbers become 0, and ``n_slots`` becomes at least 1.
    """
    return LoadReported(
        endpoint_id=endpoint_id,
        sequence=report.sequence or 0,
        n_running=max(0, report.n_running or 0),
        n_queued=max(0, report.n_queued or 0),
        n_queued_tokens=max(0, report.n_queued_tokens or 0),
        n_slots=max(1, report.n_slots or 1),
        kv_use=min(1.0, max(0.0, report.kv_use or 0.0)),
        models=frozenset(report.models or ()),
        adapters=frozenset(report.adapters or ()),
        age_ms=max(0, report.age_ms or 0),
    )


def to_cache_event(endpoint_id: str, report: Any) -> CacheReported:
    """Return the event for a ``CacheReport``."""
    return CacheReported(
        endpoint_id=endpoint_id,
        added=tuple(report.added or ()),
        removed=tuple(report.removed or ()),
        has_gap=bool(report.has_gap),
    )


def to_crash_event(endpoint_id: str, crash: Any) -> EndpointCrashed:
    """Return the event for an ``EngineCrash``."""
    return EndpointCrashed(
        endpoint_id=endpoint_id,
        fingerprints=tuple(crash.fingerprints or ()),
        attempt_ids=tuple(crash.attempt_ids or ()),
        isolated_fingerprint=crash.isolated_fingerprint or None,
    )
