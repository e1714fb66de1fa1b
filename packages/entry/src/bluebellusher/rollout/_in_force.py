"""Version in force at this entry, with its parsed rules."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bluebellusher.links import EventSink
from bluebellusher.settings import Settings
from bluebellusher_core.clock import Clock
from bluebellusher_core.events import CustomerPolicy, PolicyChanged
from bluebellusher_core.rollout import ConfigVersion, VersionTracker
from bluebellusher_core.rules import RuleSet, Share, parse_rules

RulesListener = Callable[[ConfigVersion, RuleSet], None]
# Number of errors of a rejected version that are logged.
_MAX_LOGGED_ERRORS = 20


@dataclass(frozen=True, slots=True)
class ConfigSource:
    """Origin of a version, as shown in the status and in the log.

    ``name`` is ``settings``, ``table``, ``operator`` or ``peer:`` and the id of a peer.
    """

    name: str


SETTINGS_SOURCE = ConfigSource("settings")


def find_rules_errors(rules_text: str) -> list[str]:
    """Return the errors of a rules text, each with its line and column."""
    result = parse_rules(rules_text)
    if result.is_ok():
        return []
    return [error.render() for error in result.error]


class ConfigInForce:
    """Version in force; replaced by every newer version whose rules are valid.

    Parameters
    ----------
    settings : Settings
        Customers and their weights, which apply to customers for which the rules
        have no share.
    sink : EventSink
        Receives ``PolicyChanged`` and log lines.
    clock : Clock
        Monotonic and wall time for the ages in the status.
    """

    def __init__(self, settings: Settings, sink: EventSink, clock: Clock) -> None:
        self.rules = RuleSet(())
        self._settings = settings
        self._sink = sink
        self._clock = clock
        self._tracker = VersionTracker()
        self._source = SETTINGS_SOURCE
        self._changed_at_ms = clock.now_ms()
        self._confirmed_at_ms: int | None = None
        self._rejected_version = 0
        self._listeners: list[RulesListener] = []

    @property
    def current(self) -> ConfigVersion | None:
        """Return the version in force; ``None`` when there is none."""
        return self._tracker.current

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 when there is none."""
        return self._tracker.version

    @property
    def highest_offered_version(self) -> int:
        """Return the higher number of the version in force and the last rejected one.

        Only versions above this number are fetched, so that a version that this entry
        cannot parse is fetched only once.
        """
        return max(self.version, self._rejected_version)

    def add_listener(self, listener: RulesListener) -> None:
        """Call ``listener(config, rules)`` with each version that comes into force."""
        self._listeners.append(listener)

    def record_confirmation(self) -> None:
        """Record that the table has no higher version than the one in force."""
        self._confirmed_at_ms = self._clock.now_ms()

    def offer(self, config: ConfigVersion, source: ConfigSource) -> bool:
        """Put a version into force if it is newer; return whether this was done.

        Three kinds of versions are ignored: versions that are not newer, versions
        whose rules cannot be parsed, and versions that have the number of the version
        in force but another change id. The last two are logged; a version that cannot
        be parsed is logged only when it is first offered.
        """
        if config.version < self.highest_offered_version:
            return False
        if config.version == self._rejected_version:
            return False
        result = parse_rules(config.rules_text)
        if not result.is_ok():
            self._reject(config, [error.render() for error in result.error], source)
            return False
        try:
            if not self._tracker.offer(config):
                return False
        except ValueError as error:
            self._sink.log("config-conflict", source=source.name, error=str(error))
            return False
        self.rules = result.ok
        self._source = source
        self._changed_at_ms = self._clock.now_ms()
        self._publish(config)
        return True

    def status(self) -> dict[str, Any]:
        """Return the version in force, its source and its ages in milliseconds.

        ``age_ms`` is the time since the version was accepted, by wall clocks.
        ``in_force_ms`` is the time since this entry put it into force.
        ``confirmed_age_ms`` is the time since a read of the table last found no
        higher version.
        """
        now_ms = self._clock.now_ms()
        current, confirmed_at_ms = self.current, self._confirmed_at_ms
        accepted_wall_ms = current.accepted_wall_ms if current else None
        return {
            "version": self.version,
            "change_id": current.change_id if current else "",
            "author": current.author if current else "",
            "source": self._source.name,
            "age_ms": accepted_wall_ms and self._clock.wall_ms() - accepted_wall_ms,
            "in_force_ms": now_ms - self._changed_at_ms,
            "confirmed_age_ms": confirmed_at_ms and now_ms - confirmed_at_ms,
            "rejected_version": self._rejected_version,
        }

    def _reject(
        self, config: ConfigVersion, errors: list[str], source: ConfigSource
    ) -> None:
        """Record a version whose rules cannot be parsed, and log its errors."""
        self._rejected_version = config.version
        self._sink.log(
            "config-rejected",
            version=config.version,
            kept_version=self.version,
            source=source.name,
            error="; ".join(errors[:_MAX_LOGGED_ERRORS]),
        )

    def _publish(self, config: ConfigVersion) -> None:
        """Log the new version, post the new weights and call the listeners."""
        self._sink.log(
            "config-in-force",
            version=config.version,
            change_id=config.change_id,
            source=self._source.name,
        )
        self._sink.post(PolicyChanged(config.version, self._build_policies()))
        for listener in self._listeners:
            listener(config, self.rules)

    def _build_policies(self) -> tuple[CustomerPolicy, ...]:
        """Return the weight of each customer of the settings or the rules.

        A share in the rules has precedence over the weight in the settings, and a
        customer with neither has weight 1.
        """
        weight_by_customer = {c.customer_id: c.weight for c in self._settings.customers}
        for customer in self.rules.customers:
            weight_by_customer.setdefault(customer, 1.0)
        for share in self.rules.of_type(Share):
            weight_by_customer[share.customer] = float(share.weight)
        return tuple(
            CustomerPolicy(name, weight_by_customer[name])
            for name in sorted(weight_by_customer)
        )
