"""Settings of an entry: models, and the loading of JSON5 files."""

from bluebellusher.settings._gateway import (
    DomainTrafficSettings,
    GatewaySettings,
    MapSettings,
    RetrySettings,
)
from bluebellusher.settings._load import (
    SettingsError,
    SettingsProblem,
    load_gateway_settings,
    load_settings,
)
from bluebellusher.settings._models import (
    AddressSettings,
    CustomerSettings,
    LimitSettings,
    OperatorSettings,
    PeerSettings,
    ServiceKind,
    ServiceSettings,
    Settings,
)

__all__ = [
    "AddressSettings",
    "CustomerSettings",
    "DomainTrafficSettings",
    "GatewaySettings",
    "LimitSettings",
    "MapSettings",
    "OperatorSettings",
    "PeerSettings",
    "RetrySettings",
    "ServiceKind",
    "ServiceSettings",
    "Settings",
    "SettingsError",
    "SettingsProblem",
    "load_gateway_settings",
    "load_settings",
]
