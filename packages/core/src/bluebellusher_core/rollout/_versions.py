"""Configuration versions, and the one in force at an entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """One accepted version of the rules.

    Parameters
    ----------
    version : int
        Number of the version, from 1; 0 means that no version was accepted yet.
    change_id : str
        Id that the operator's command gave to the change.
    rules_text : str
        Text of the whole rules file.
    author : str
        Operator who applied the change.
    accepted_wall_ms : int
        Wall time of acceptance in milliseconds.
    """

    version: int
    change_id: str
    rules_text: str
    author: str
    accepted_wall_ms: int


class VersionTracker:
    """Highest configuration version that an entry has received, which is in force.

    A lower version never replaces it. Lower versions arrive from stale reads of the
    table, in delayed messages and from peers that were disconnected.
    """

    def __init__(self) -> None:
        self._current: ConfigVersion | None = None

    @property
    def current(self) -> ConfigVersion | None:
        """Return the version in force."""
        return self._current

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 when there is none."""
        return self._current.version if self._current else 0

    def offer(self, offered: ConfigVersion) -> bool:
        """Put ``offered`` in force if it is newer; return whether it was newer.

        Raises
        ------
        ValueError
            When the same version number has another change id, which means that two
            changes were accepted as one version.
        """
        if offered.version == self.version and self._current is not None:
            if offered.change_id != self._current.change_id:
                expected = f"expected change_id={self._current.change_id!r}"
                raise ValueError(
                    f"version={offered.version} change_id={offered.change_id!r}: "
                    + expected
                )
            return False
        if offered.version < self.version:
            return False
        self._current = offered
        return True
