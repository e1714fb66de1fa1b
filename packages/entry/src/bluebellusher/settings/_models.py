"""Pydantic models of the settings of an entry."""

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
    """Return ``value`` if it is an IP address; raise ``ValueError`` otherwise."""
    try:
        ip_address(value)
    except ValueError:
        raise ValueError("expected an IPv4 or IPv6 address") from None
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip)]


class SettingsModel(BaseModel):
    """Base of all settings models: rejects unknown keys, and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class AddressSettings(SettingsModel):
    """IP address and TCP port; the system chooses a free port for port 0."""

    host: Annotated[
        IpAddress, Field(description="IP address to listen on or to connect to.")
    ]
    port: Annotated[
        int,
        Field(ge=0, le=65535, description="TCP port; 0 for a free port."),
    ]

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class PeerSettings(AddressSettings):
    """Peer address of another entry.

    With ``failure_domain``, the refusal of a change can name the domain that does not
    answer, even if none of its entries was ever connected.
    """

    failure_domain: Annotated[
        Identifier | None, Field(description="Failure domain of that entry.")
    ] = None


class ServiceKind(StrEnum):
    """Kind of a service: one that runs models, or a plain one."""

    MODEL = "model"
    PLAIN = "plain"


class ServiceSettings(SettingsModel):
    """Service, with the models that belong to it."""

    service_id: Annotated[Identifier, Field(description="Name of the service.")]
    kind: Annotated[
        ServiceKind,
        Field(
            description="Whether the service runs models (`model`) or not (`plain`)."
        ),
    ]
    is_idempotent: Annotated[
        bool, Field(description="Whether a request may run more than once.")
    ] = False
    models: Annotated[
        tuple[str, ...], Field(description="Names of the models that requests can use.")
    ] = ()

    @model_validator(mode="after")
    def _check_models(self) -> "ServiceSettings":
        """Require models for kind ``model``, and none for kind ``plain``."""
        if (self.kind is ServiceKind.MODEL) != bool(self.models):
            raise ValueError(
                "models: expected at least one name for kind=model, none for kind=plain"
            )
        return self


class CustomerSettings(SettingsModel):
    """Customer, with the credentials that authenticate it."""

    customer_id: Annotated[Identifier, Field(description="Name of the customer.")]
    credentials: Annotated[
        tuple[SecretStr, ...],
        Field(min_length=1, description="Credentials of the customer, each unique."),
    ]
    weight: Annotated[
        float,
        Field(
            gt=0, le=1000, description="Weight in queues, relative to other customers."
        ),
    ] = 1.0


class OperatorSettings(SettingsModel):
    """Operator, with the credential for the /admin paths."""

    name: Annotated[Identifier, Field(description="Name of the operator in the log.")]
    credential: Annotated[SecretStr, Field(description="Credential of the operator.")]


class LimitSettings(SettingsModel):
    """Limits that protect the process; sizes in bytes, times in milliseconds."""

    max_body_bytes: Annotated[
        int, Field(ge=1024, le=16_000_000, description="Size limit of a request body.")
    ] = 4_000_000
    slow_sender_timeout_ms: Annotated[
        int,
        Field(
            ge=100,
            le=600_000,
            description="Timeout for receiving a request.",
        ),
    ] = 10_000
    stream_window_bytes: Annotated[
        int,
        Field(
            ge=131_072,
            le=16_000_000,
            description="Size limit of the answer buffer for a slow caller.",
        ),
    ] = 262_144
    max_kept_answer_bytes: Annotated[
        int,
        Field(
            ge=0,
            le=16_000_000,
            description="Size limit of answers stored for repeated idempotency keys.",
        ),
    ] = 1_048_576
    max_connections: Annotated[
        int, Field(ge=1, le=1_000_000, description="Limit of open caller connections.")
    ] = 20_000
    n_default_output_tokens: Annotated[
        int,
        Field(
            ge=1,
            le=1_000_000,
            description="Output tokens assumed if a request sets no limit.",
        ),
    ] = 1024
    n_endpoints_per_service: Annotated[
        int,
        Field(
            ge=1,
            le=10_000,
            description="Endpoints that an entry connects to, per service.",
        ),
    ] = 64
    platform_timeout_ms: Annotated[
        int, Field(ge=100, le=60_000, description="Timeout of a platform call.")
    ] = 1_000


class ProcessSettings(SettingsModel):
    """Settings that all kinds of entries have in common."""

    instance_id: Annotated[Identifier, Field(description="Unique id of the entry.")]
    failure_domain: Annotated[
        Identifier, Field(description="Failure domain of the entry, such as its site.")
    ]
    shared_secret: Annotated[
        SecretStr,
        Field(
            min_length=16,
            description="Secret that all processes of the deployment share.",
        ),
    ]
    log_level: Annotated[
        Literal["debug", "info", "error"],
        Field(description="Lowest level of the log lines that are written."),
    ] = "info"


class Settings(ProcessSettings):
    """Settings of an entry of ``bluebellusher serve``."""

    http: Annotated[
        AddressSettings, Field(description="Address on which callers connect.")
    ]
    peer_listen: Annotated[
        AddressSettings, Field(description="Address on which other entries connect.")
    ]
    platform_url: Annotated[
        str,
        Field(pattern=r"^http://[^\s/]+$", description="Base address of the platform."),
    ]
    agents: Annotated[
        tuple[AddressSettings, ...],
        Field(description="Addresses of the agents to connect to."),
    ] = ()
    peers: Annotated[
        tuple[PeerSettings, ...], Field(description="Peer addresses of other entries.")
    ] = ()
    services: Annotated[
        tuple[ServiceSettings, ...],
        Field(min_length=1, description="Services that the entry serves."),
    ]
    customers: Annotated[
        tuple[CustomerSettings, ...],
        Field(min_length=1, description="Customers that may send requests."),
    ]
    operators: Annotated[
        tuple[OperatorSettings, ...],
        Field(description="Operators, who may use the paths below /admin."),
    ] = ()
    limits: Annotated[
        LimitSettings, Field(description="Limits that protect the process.")
    ] = LimitSettings()

    @model_validator(mode="after")
    def _check_names(self) -> "Settings":
        """Reject repeated names, addresses and credentials, and empty credentials."""
        problems = [
            *_find_repeated("services", (s.service_id for s in self.services)),
            *_find_repeated("models", (m for s in self.services for m in s.models)),
            *_find_repeated("customers", (c.customer_id for c in self.customers)),
            *_find_repeated("agents", (str(a) for a in self.agents)),
            *_find_repeated("peers", (str(p) for p in self.peers)),
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


def _find_repeated(name: str, values: Iterable[str]) -> list[str]:
    """Return an error for each value that appears more than once."""
    n_by_value = Counter(values)
    return [
        f"{name}: {value!r} appears {n} times, expected once"
        for value, n in n_by_value.items()
        if n > 1
    ]
