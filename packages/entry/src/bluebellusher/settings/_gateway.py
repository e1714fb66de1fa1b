"""Settings of an entry on a platform with shared tables."""

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, SecretStr

from bluebellusher.settings._models import AddressSettings, Identifier, SettingsModel


def _split_address(value: Any) -> Any:
    """Accept ``host:port`` in place of an object."""
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": port}


Address = Annotated[AddressSettings, BeforeValidator(_split_address)]


class RetrySettings(SettingsModel):
    """Bounds on what is sent to a service beyond the first attempts.

    ``share`` is a share of the requests, ``n_extra`` a number on top, both within
    ``window_s`` and summed over all entries. Platforms may state either as fractions.
    """

    share: Annotated[float, Field(ge=0, le=1)] = 0.2
    n_extra: Annotated[float, Field(ge=0, le=1_000_000)] = 50
    window_s: Annotated[float, Field(ge=0.1, le=600)] = 10


class GatewaySettings(SettingsModel):
    """Everything that an entry must be told; addresses are ``host:port``."""

    instance_id: Identifier
    failure_domain: Identifier
    shared_secret: Annotated[SecretStr, Field(min_length=16)]
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address | None = None
    store: Address
    seeds: tuple[Address, ...] = ()
    agent_port: Annotated[int, Field(ge=1, le=65_535)]
    retries: RetrySettings = RetrySettings()
    shutdown_grace_s: Annotated[float, Field(ge=1, le=600)] = 8
    log_level: Literal["debug", "info", "error"] = "info"
