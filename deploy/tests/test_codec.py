"""Decoding of configuration and registration rows, including malformed rows."""

import json

import pytest

from bluebellusher.shared import Directory
from bluebellusher.shared.tests.fakes import FakeLog
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import MirrorRow, RequestKind

from codec import PlatformCodec

CONFIG_BODY = {
    "version": 7,
    "new_field": {"of": "a later version"},
    "routes": [
        {
            "name": "r",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 402,
            "target_gap_ms": 120,
            "priority": 1,
            "traffic_split": [
                {"backend": "x", "weight": 90},
                {"backend": "y", "weight": 10},
            ],
            "max_attempts": 2,
            "stream_resumption": True,
        },
        {
            "name": "q",
            "host": "h.example",
            "prefix": "/b/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 300,
            "backend": "y",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "x",
            "max_connections": 338,
            "engine": {
                "slots": 6,
                "kv_capacity_tokens": 247000,
                "step_ms": 4.84,
                "read_per_s": 74800.0,
                "chunk": 512,
                "link_mbps": 44000.0,
                "sets": 3,
                "experts": 96,
                "placements": 11,
                "spare": 4,
                "expert_mb": 2200.0,
                "expert_share": 0.85,
            },
        },
        {"name": "y", "max_connections": 96},
    ],
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
}
REGISTRATION = {
    "backend": "x",
    "address": "10.128.0.9:8080",
    "zone": "obihiro",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1767541241250,
}


def test_configuration_becomes_a_routing_table():
    """Guards against wrong values in decoded routes, request kinds and groups."""
    table = PlatformCodec().read_routing(json.dumps(CONFIG_BODY).encode())
    route = table.match("h.example", "/a/x")
    assert route.kind is RequestKind.STREAMING
    assert route.is_idempotent
    assert dict(route.weight_by_service) == {"x": 90, "y": 10}
    assert not table.match("h.example", "/b/").is_idempotent
    assert table.customer_by_credential["k2"].customer_id == "t"
    group = table.service_by_id["x"].engine.group
    assert (group.n_layers, group.n_experts, group.n_slots) == (3, 96, 11)
    assert group.load_ms == pytest.approx(400)
    assert table.service_by_id["y"].engine is None


def test_configuration_without_tenants_needs_no_credential():
    """Guards against answers with status 401 when no credentials are configured."""
    body = {key: value for key, value in CONFIG_BODY.items() if key != "tenants"}
    assert not PlatformCodec().read_routing(json.dumps(body).encode()).needs_credential


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version": 3, "routes": 1}'])
def test_unreadable_configuration_is_none(value):
    """Guards against an exception that stops the entry because of a malformed row."""
    assert PlatformCodec().read_routing(value) is None


def test_registration_is_decoded():
    """Guards against wrong values in the decoded registration of an endpoint."""
    endpoint = PlatformCodec().read_registration(
        "i-1", json.dumps(REGISTRATION).encode()
    )
    assert (endpoint.host, endpoint.port, endpoint.n_slots) == ("10.128.0.9", 8080, 6)
    assert endpoint.started_wall_ms == 1767541241250
    assert not endpoint.is_draining


@pytest.mark.parametrize(
    "changed_fields",
    [
        {"backend": None},
        {"backend": 5},
        {"address": "10.128.0.9"},
        {"address": ["10.128.0.9:8080"]},
        {"slots": "6"},
        {"slots": True},
        {"slots": 0},
        {"state": "gone"},
        {"state": 1},
        {"zone": ""},
        {"sequence": "4"},
        {"born": "now"},
        {"born": 0},
    ],
)
def test_malformed_registration_names_no_endpoint(changed_fields):
    """Guards against requests to endpoints whose registration has invalid fields."""
    body = json.dumps({**REGISTRATION, **changed_fields}).encode()
    assert PlatformCodec().read_registration("i-1", body) is None


@pytest.mark.parametrize("missing_field", REGISTRATION)
def test_registration_with_a_missing_field_names_no_endpoint(missing_field):
    """Guards against default values in place of missing required fields."""
    body = {key: value for key, value in REGISTRATION.items() if key != missing_field}
    endpoint = PlatformCodec().read_registration("i-1", json.dumps(body).encode())
    assert endpoint is None
    assert PlatformCodec().read_registration("i-1", b"\xff\xfe") is None


@pytest.mark.parametrize("missing_field", ["cold_remaining_ms", "born", "version"])
def test_incomplete_registration_at_the_address_of_an_endpoint_ends_nothing(
    missing_field,
):
    """Guards against endpoints drained by another writer's row without a field."""
    log = FakeLog()
    directory = Directory(PlatformCodec(), log.post, ManualClock(), log)
    config = json.dumps(CONFIG_BODY).encode()
    directory.apply_routing_rows([MirrorRow("config", 1, config)])
    row = MirrorRow("i-1", 2, json.dumps(REGISTRATION).encode())
    directory.apply_registration_rows([row])
    log.events.clear()
    body = {**REGISTRATION, "born": REGISTRATION["born"] + 1}
    del body[missing_field]
    row = MirrorRow("seen-i-1", 3, json.dumps(body).encode())
    directory.apply_registration_rows([row])
    assert log.events == []
    assert list(directory.registrations.registration_by_id) == ["i-1"]


DEEP_JSON = "[" * 100_000 + "]" * 100_000


@pytest.mark.parametrize(
    ("field", "text"),
    [
        ("new_field", DEEP_JSON),
        ("slots", DEEP_JSON),
        ("slots", "9" * 400),
        ("slots", "9" * 5_000),
        ("slots", "9223372036854775808"),
        ("sequence", "9" * 400),
        ("born", "9" * 400),
        ("born", "9223372036854775808"),
        ("born", "-1"),
        ("cold_remaining_ms", "9" * 400),
        ("cold_remaining_ms", "1e400"),
        ("cold_remaining_ms", "NaN"),
        ("address", '"10.0.0.1:65536"'),
        ("address", '"10.0.0.1:99999"'),
        ("address", '"10.0.0.1:0"'),
        ("address", '"256.0.0.1:80"'),
        ("address", '"10.0.0.1:\\u0663"'),
    ],
    ids=lambda value: value[:20],
)
def test_registration_with_an_extreme_value_names_no_endpoint(field, text):
    """Guards against entries that end, or use an endpoint, because of one odd row."""
    others = {name: value for name, value in REGISTRATION.items() if name != field}
    body = json.dumps(others)[:-1] + f', "{field}": {text}}}'
    assert PlatformCodec().read_registration("x", body.encode()) is None


@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("evacuate/zone-1", "zone-1"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("other/evacuate/a", None),
    ],
)
def test_evacuation_is_read_from_the_key(key, domain):
    """Guards against other rows of the table that are taken for evacuations."""
    assert PlatformCodec().read_evacuation(key) == domain


def test_warm_up_is_decoded():
    """Guards against a rate, duration or remaining time that is lost or misread."""
    cold = {"name": "x", "cold_start_s": 3.0, "cold_per_s": 18.0}
    body = {**CONFIG_BODY, "services": [cold, {"name": "y"}]}
    services = PlatformCodec().read_routing(json.dumps(body).encode()).service_by_id
    assert services["x"].warm_up_ms == 3_000
    assert services["x"].warm_up_requests_per_s == 18.0
    assert services["y"].warm_up_requests_per_s == 0
    registration = {**REGISTRATION, "cold_remaining_ms": 1_200.5}
    value = json.dumps(registration).encode()
    endpoint = PlatformCodec().read_registration("i-1", value)
    assert endpoint.warm_up_remaining_ms == 1_201
