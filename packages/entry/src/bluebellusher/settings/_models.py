"""Pydantic models of the settings file."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from ipaddress import ip_address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    model_validator,
)

Identifier = Annotated[
    str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]


def _check_ip(value: str) -> str:
    try:
        ip_address(value)
    except ValueError:
        raise ValueError("expected an IPv4 or IPv6 address") from None
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip)]


class SettingsModel(BaseModel):
    """Base of all settings: unknown keys are errors, values do not change."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class AddressSettings(SettingsModel):
    """An IP address and a TCP port; port 0 lets the system choose one."""

    host: Annotated[
        IpAddress, Field(description="IP address to listen on or to connect to.")
    ]
    port: Annotated[
        int,
        Field(ge=0, le=65535, description="TCP port; 0 lets the system choose one."),
    ]

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class PeerSettings(AddressSettings):
    """Where another entry listens for peers.

    ``failure_domain`` lets a change name the domain that does not answer even when
    its entries were never connected.
    """

    failure_domain: Annotated[
        Identifier | None, Field(description="Domain of the entry there.")
    ] = None


class ServiceKind(StrEnum):
    """Kind of a service."""

    MODEL = "model"
    PLAIN = "plain"


class ServiceSettings(SettingsModel):
    """One service and the models that belong to it."""

    service_id: Annotated[Identifier, Field(description="Name of the service.")]
    kind: Annotated[ServiceKind, Field(description="Whether it runs models.")]
    is_idempotent: Annotated[
        bool, Field(description="Whether its calls may run more than once.")
    ] = False
    models: Annotated[
        tuple[str, ...], Field(description="Models that requests may name.")
    ] = ()

    @model_validator(mode="after")
    def _check_models(self) -> "ServiceSettings":
        if (self.kind is ServiceKind.MODEL) != bool(self.models):
            raise ValueError(
                "models: expected at least one name for kind=model, none for kind=plain"
            )
        return self


class CustomerSettings(SettingsModel):
    """A customer and the credentials that authenticate it."""

    customer_id: Annotated[Identifier, Field(description="Name of the customer.")]
    credentials: Annotated[
        tuple[SecretStr, ...],
        Field(min_length=1, description="What authenticates it; each is used once."),
    ]
    weight: Annotated[
        float,
        Field(
            gt=0, le=1000, description="Share in queues, relative to other customers."
        ),
    ] = 1.0


class OperatorSettings(SettingsModel):
    """An operator and the credential for the /admin paths."""

    name: Annotated[Identifier, Field(description="Name in the log of changes.")]
    credential: Annotated[SecretStr, Field(description="What authenticates it.")]


class LimitSettings(SettingsModel):
    """Bounds that protect the process; lengths in bytes, times in milliseconds."""

    max_body_bytes: Annotated[
        int, Field(ge=1024, le=16_000_000, description="Longest body of a request.")
    ] = 4_000_000
    slow_sender_timeout_ms: Annotated[
        int,
        Field(
            ge=100,
            le=600_000,
            description="Time in which a caller must send its request.",
        ),
    ] = 10_000
    stream_window_bytes: Annotated[
        int,
        Field(
            ge=131_072,
            le=16_000_000,
            description="Bytes of an answer that wait for a slow caller.",
        ),
    ] = 262_144
    max_kept_answer_bytes: Annotated[
        int,
        Field(
            ge=0,
            le=16_000_000,
            description="Longest answer that is kept for a repeated key.",
        ),
    ] = 1_048_576
    max_connections: Annotated[
        int, Field(ge=1, le=1_000_000, description="Open connections of callers.")
    ] = 20_000
    n_default_output_tokens: Annotated[
        int,
        Field(ge=1, le=1_000_000, description="Assumed where a request does not say."),
    ] = 1024
    n_endpoints_per_service: Annotated[
        int, Field(ge=1, le=10_000, description="Endpoints that an entry connects to.")
    ] = 64
    platform_timeout_ms: Annotated[
        int, Field(ge=100, le=60_000, description="Time for one call to the platform.")
    ] = 1_000


class ProcessSettings(SettingsModel):
    """What every entry is told, however it is run."""

    instance_id: Annotated[Identifier, Field(description="Unique name of the entry.")]
    failure_domain: Annotated[
        Identifier, Field(description="What fails together with it.")
    ]
    shared_secret: Annotated[
        SecretStr,
        Field(min_length=16, description="Known to all processes of the deployment."),
    ]
    log_level: Annotated[
        Literal["debug", "info", "error"],
        Field(description="Lowest level that is written."),
    ] = "info"


class Settings(ProcessSettings):
    """Everything that an entry must be told."""

    http: Annotated[AddressSettings, Field(description="Where callers connect.")]
    peer_listen: Annotated[
        AddressSettings, Field(description="Where other entries connect.")
    ]
    platform_url: Annotated[
        str,
        Field(pattern=r"^http://[^\s/]+$", description="Base address of the platform."),
    ]
    agents: Annotated[
        tuple[AddressSettings, ...], Field(description="Agents to connect to.")
    ] = ()
    peers: Annotated[tuple[PeerSettings, ...], Field(description="Other entries.")] = ()
    services: Annotated[
        tuple[ServiceSettings, ...], Field(min_length=1, description="What is served.")
    ]
    customers: Annotated[
        tuple[CustomerSettings, ...], Field(min_length=1, description="Who may call.")
    ]
    operators: Annotated[
        tuple[OperatorSettings, ...],
        Field(description="Who may use the paths below /admin."),
    ] = ()
    limits: Annotated[
        LimitSettings, Field(description="Bounds that protect the process.")
    ] = LimitSettings()

    @model_validator(mode="after")
    def _check_names(self) -> "Settings":
        problems = [
            *_repeated("services", (s.service_id for s in self.services)),
            *_repeated("models", (m for s in self.services for m in s.models)),
            *_repeated("customers", (c.customer_id for c in self.customers)),
            *_repeated("agents", (str(a) for a in self.agents)),
            *_repeated("peers", (str(p) for p in self.peers)),
        ]
        credentials = [c for customer in self.customers for c in customer.credentials]
        credentials += [operator.credential for operator in self.operators]
        values = [credential.get_secret_value() for credential in credentials]
        if len(set(values)) < len(values):
            problems.append("credentials: expected each credential only once")
        if any(not value or not value.isascii() for value in values):
            problems.append("credentials: expected non-empty ASCII text")
        if problems:
            raise ValueError("; ".join(problems))
        return self


def _repeated(name: str, values: Iterable[str]) -> list[str]:
    n_by_value = Counter(values)
    return [
        f"{name}: {value!r} appears {n} times, expected once"
        for value, n in n_by_value.items()
        if n > 1
    ]
