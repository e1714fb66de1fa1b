"""Leases with fencing tokens, stored in the platform's table.

Entries share no clock. The holder counts the term of its lease from the time just
before it sent the write; every other entry counts from the time at which it first read
that write. Each uses its own clock, and the term of the holder ends first.
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
