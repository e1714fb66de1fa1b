"""Leases with fencing tokens, kept in the platform's table.

No clock is shared: the holder counts its term from before it sent a write, and every
other entry counts from when it first saw that write, each on its own clock.
"""

from bluebellusher_core.lease._tracker import (
    GUARD_MS,
    RENEW_AFTER_MS,
    TERM_MS,
    LeaseRow,
    LeaseTracker,
    LeaseWrite,
)

__all__ = [
    "GUARD_MS",
    "RENEW_AFTER_MS",
    "TERM_MS",
    "LeaseRow",
    "LeaseTracker",
    "LeaseWrite",
]
