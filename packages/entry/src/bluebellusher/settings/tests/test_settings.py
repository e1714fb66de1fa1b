"""Guards against invalid settings that are accepted, and against leaked secrets."""

import copy
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher.settings import SettingsError, load_settings
from bluebellusher.settings._load import parse_settings

VALID = {
    "instance_id": "entry-1",
    "failure_domain": "obihiro",
    "shared_secret": "s3cr3t-of-this-test",
    "http": {"host": "127.0.0.1", "port": 0},
    "peer_listen": {"host": "127.0.0.1", "port": 0},
    "platform_url": "http://127.0.0.1:9",
    "services": [{"service_id": "desk", "kind": "plain"}],
    "customers": [{"customer_id": "c1", "credentials": ["key-of-c1"]}],
}


def _parse_document(document):

    return parse_settings("// comment\n" + json.dumps(document), "entry.json5")


def test_secrets_are_hidden_in_representations():
    """Guards against a secret in a log line or a traceback."""
    settings = _parse_document(VALID)
    assert "s3cr3t" not in repr(settings)
    assert "key-of-c1" not in str(settings.customers)


def test_all_problems_are_reported_at_once_without_secret_values():
    """Guards against errors that report one problem only, or contain a secret."""
    document = copy.deepcopy(VALID)
    document["shared_secret"] = "too-short"
    document["http"]["port"] = 70000
    document["shared_sekret"] = "s3cr3t-of-this-test"
    del document["failure_domain"]
    with pytest.raises(SettingsError) as caught:
        _parse_document(document)
    message = str(caught.value)
    assert {p.location for p in caught.value.problems} == {
        "shared_secret",
        "http.port",
        "shared_sekret",
        "failure_domain",
    }
    assert "entry.json5: http.port: found 70000: " in message
    assert "too-short" not in message
    assert "s3cr3t" not in message


def test_credential_shared_by_two_customers_is_rejected():
    """Guards against requests that are billed to the wrong customer."""
    document = copy.deepcopy(VALID)
    document["customers"].append({"customer_id": "c2", "credentials": ["key-of-c1"]})
    with pytest.raises(SettingsError, match="credentials"):
        _parse_document(document)


def test_syntax_error_names_file_and_line():
    """Guards against a syntax error without its position in the file."""
    with pytest.raises(SettingsError, match=r"entry\.json5: syntax: line 2"):
        parse_settings('{"instance_id": "a",\n "b" 3}', "entry.json5")


@given(st.text(max_size=80))
def test_property_any_text_gives_settings_error_only(text):
    """Guards against exceptions other than ``SettingsError`` for a damaged file."""
    with pytest.raises(SettingsError):
        parse_settings(text, "entry.json5")


def test_example_settings_are_valid():
    """Guards against an example file that does not match the settings models."""
    root = Path(__file__).resolve().parents[6]
    settings = load_settings(root / "examples/settings/entry-obihiro-1.json5")
    assert settings.failure_domain == "obihiro"
