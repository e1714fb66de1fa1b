"""Records of crashes that entries exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of one start of an endpoint while it ran a request.

    The record holds ages instead of points in time, because entries share no clock.

    Parameters
    ----------
    start_id : str
        Id of the start of the endpoint, the same on every entry.
    sent_age_ms : int
        Time since the run was sent to the endpoint, in ms.
    age_ms : int
        Time since the run broke, in ms.
    """

    start_id: str
    sent_age_ms: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes that were recorded for one fingerprint.

    Parameters
    ----------
    fingerprint : str
        Hash of the request.
    crashes : tuple of Crash
        Crashes since the last completed run.
    sound_age_ms : int or None
        Time since the last completed run, in ms; None when none is recorded.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    sound_age_ms: int | None = None
