"""Settings of an entry on a platform with shared tables."""

from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from bluebellusher.settings._models import (
    AddressSettings,
    ProcessSettings,
    SettingsModel,
)


def _split_address(value: Any) -> Any:
    """Convert ``host:port`` into an object; leave other values unchanged."""
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": port}


Address = Annotated[AddressSettings, BeforeValidator(_split_address)]


class RetrySettings(SettingsModel):
    """Bounds on the attempts that all entries send beyond the first of each request.

    Within ``window_s`` seconds, all entries together may send at most ``share`` times
    the number of requests plus ``n_extra`` such attempts. Platforms may state
    ``n_extra`` and ``window_s`` as fractions.
    """

    share: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            description="Extra attempts allowed, as a fraction of the requests.",
        ),
    ] = 0.2
    n_extra: Annotated[
        float,
        Field(
            ge=0,
            le=1_000_000,
            description="Extra attempts allowed in addition to the share.",
        ),
    ] = 50
    window_s: Annotated[
        float,
        Field(ge=0.1, le=600, description="Time window to which both bounds apply."),
    ] = 10


class WarmUpSettings(SettingsModel):
    """Bound on the requests to an endpoint that warms up.

    Within any second, all entries together may send at most ``overage`` times the rate
    that the service's configuration states for cold endpoints, plus ``tolerance``.
    """

    overage: Annotated[
        float,
        Field(
            ge=1,
            le=1_000,
            description="Requests to a cold endpoint, as a multiple of its rate.",
        ),
    ] = 1.5
    tolerance: Annotated[
        float,
        Field(
            ge=0,
            le=1_000_000,
            description="Requests to a cold endpoint in addition to the multiple.",
        ),
    ] = 5


class MapSettings(SettingsModel):
    """Cost of weight loads, against which the benefit of a map change is weighed.

    Ranks of a group wait for each other, so that a pass that takes 1 ms longer costs
    1 ms on each of them. ``rank_ms_per_gb`` is the time, summed over the ranks, that a
    map change must save for each GB of weights that it loads. With a low value, maps
    follow the popularity of experts closely; with a high value, few weights are
    loaded. docs/decisions/maps.md compares values.
    """

    rank_ms_per_gb: Annotated[
        float,
        Field(
            ge=0,
            le=1_000_000,
            description="Rank time in ms that a map change must save per GB loaded.",
        ),
    ] = 300


class DomainTrafficSettings(SettingsModel):
    """Price of traffic between failure domains, weighed against what callers gain.

    With it, the entry decides which share of the requests of a service is sent to each
    other domain: as many as avoid more late answers than their bytes cost. Both amounts
    are in the same currency. docs/design/domain-traffic.md describes the decision.
    """

    price_per_gb: Annotated[
        float,
        Field(
            ge=0,
            le=1_000_000_000,
            description="Price of 10^9 bytes between domains, in either direction.",
        ),
    ]
    answer_value: Annotated[
        float,
        Field(
            gt=0,
            le=1_000_000_000,
            description="Worth of an answer within its objective over a late one.",
        ),
    ]
    round_trip_ms: Annotated[
        float,
        Field(ge=0, le=10_000, description="Round trip between two domains."),
    ] = 2


class GatewaySettings(ProcessSettings):
    """Settings of an entry on a platform; addresses are ``host:port``."""

    callers: Annotated[Address, Field(description="Address on which callers connect.")]
    readiness: Annotated[
        Address, Field(description="Address that serves readiness checks.")
    ]
    peers: Annotated[
        Address, Field(description="Address on which other entries connect.")
    ]
    metrics: Annotated[
        Address | None,
        Field(description="Address that serves metrics; not served if absent."),
    ] = None
    store: Annotated[
        Address, Field(description="Address of the store of the shared tables.")
    ]
    seeds: Annotated[
        tuple[Address, ...],
        Field(
            description="Peer addresses of some other entries, for the first contact."
        ),
    ] = ()
    max_endpoint_pause_ms: Annotated[
        int,
        Field(
            ge=0,
            le=600_000,
            description="Longest pause that an endpoint can request; 0 for none.",
        ),
    ] = 60_000
    agent_port: Annotated[
        int,
        Field(ge=1, le=65_535, description="TCP port of the agent of every rank."),
    ]
    retries: Annotated[
        RetrySettings,
        Field(description="Bounds on attempts beyond the first of each request."),
    ] = RetrySettings()
    warm_up: Annotated[
        WarmUpSettings,
        Field(description="Bound on the requests to an endpoint that warms up."),
    ] = WarmUpSettings()
    evacuation_ms: Annotated[
        float | None,
        Field(
            ge=0,
            le=600_000,
            description=(
                "Time in ms until no request reaches an evacuated failure domain;"
                " absent where the operator evacuates none."
            ),
        ),
    ] = None
    maps: Annotated[
        MapSettings, Field(description="Cost of changes of expert maps.")
    ] = MapSettings()
    domain_traffic: Annotated[
        DomainTrafficSettings | None,
        Field(
            description="Price of traffic between domains; absent: it is not weighed."
        ),
    ] = None
    memory_mb: Annotated[
        float,
        Field(
            ge=64,
            le=1_000_000,
            description="Memory of the process's machine, in MB (10^6 bytes).",
        ),
    ] = 512
    max_descriptors: Annotated[
        float,
        Field(
            ge=256,
            le=10_000_000,
            description="File descriptors that the process may have open.",
        ),
    ] = 8_192
    shutdown_grace_s: Annotated[
        float,
        Field(ge=1, le=600, description="Longest time from SIGTERM to exit."),
    ] = 8
