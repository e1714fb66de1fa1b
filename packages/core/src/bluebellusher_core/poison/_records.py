"""What entries tell each other of crashes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """One start of an endpoint that ended while it ran a request.

    Ages are in ms and not points in time, because entries share no clock.

    Parameters
    ----------
    start_id : str
        Names the start of the endpoint, the same on every entry.
    sent_age_ms : int
        How long ago the run was sent.
    age_ms : int
        How long ago the run broke.
    """

    start_id: str
    sent_age_ms: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What is known of the crashes of one fingerprint.

    ``sound_age_ms`` is how long ago a run of it was whole; None when none is known.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    sound_age_ms: int | None = None
