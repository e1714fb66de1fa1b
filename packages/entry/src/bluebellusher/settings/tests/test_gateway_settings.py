"""Guards against wrong reading and checking of the settings on a platform."""

import pytest

from bluebellusher.settings import SettingsError, load_gateway_settings

TEXT = """
// Values in the form in which a platform writes them.
{
  instance_id: "edge-1", failure_domain: "d",
  shared_secret: "a-secret-of-sixteen-characters",
  callers: "10.0.0.1:80", readiness: "10.0.0.1:81", peers: "10.0.0.1:82",
  store: "10.0.0.9:90", seeds: ["10.0.0.2:82", ], agent_port: 7340,
  retries: { share: 0.2, n_extra: 88, window_s: 10 },
  shutdown_grace_s: 8,
}
"""


def load_text(tmp_path, text):
    """Return the settings of a file with this text."""
    path = tmp_path / "entry.json5"
    path.write_text(text)
    return load_gateway_settings(path)


def test_addresses_are_split_into_host_and_port(tmp_path):
    """Guards against addresses that are split into a wrong host or port."""
    settings = load_text(tmp_path, TEXT)
    assert (settings.callers.host, settings.callers.port) == ("10.0.0.1", 80)
    assert str(settings.seeds[0]) == "10.0.0.2:82"


@pytest.mark.parametrize(
    ("old_text", "new_text"),
    [
        ("n_extra: 88", "n_extra: 45.90909090909091"),
        ("window_s: 10", "window_s: 2.5"),
        ("shutdown_grace_s: 8", "shutdown_grace_s: 8.5"),
        (
            "shutdown_grace_s: 8",
            "domain_traffic: { price_per_gb: 612.5, answer_value: 0.8 }",
        ),
    ],
)
def test_fractional_bounds_are_accepted(tmp_path, old_text, new_text):
    """Guards against entries that do not start because a bound is a fraction.

    No entry started on small replicas of larger deployments, which have such bounds.
    """
    load_text(tmp_path, TEXT.replace(old_text, new_text))


@pytest.mark.parametrize(
    ("old_text", "new_text", "message"),
    [
        ('callers: "10.0.0.1:80"', 'callers: "10.0.0.1"', "callers"),
        ('store: "10.0.0.9:90",', "", "store: found nothing"),
        ("agent_port: 7340", "agent_port: 99999", "agent_port"),
        ("share: 0.2", "share: 7", "retries.share: found 7"),
        ('instance_id: "edge-1"', 'instance_id: ""', "instance_id"),
        ("agent_port", "agent_prot", "agent_prot: unknown key"),
    ],
)
def test_errors_name_the_invalid_setting(tmp_path, old_text, new_text, message):
    """Guards against an error that does not name the invalid setting."""
    with pytest.raises(SettingsError) as caught:
        load_text(tmp_path, TEXT.replace(old_text, new_text))
    assert message in str(caught.value)


def test_environment_sets_what_the_file_lacks(tmp_path, monkeypatch):
    """Guards against bounds of the platform that do not reach an entry."""
    for name, text in {
        "MEMORY_MB": "152",
        "MAX_DESCRIPTORS": "2000",
        "EVACUATION_MS": "2500.5",
        "WARM_UP__OVERAGE": "2.5",
        "WARM_UP__TOLERANCE": "",
    }.items():
        monkeypatch.setenv(f"ENTRY_SETTING_{name}", text)
    text = TEXT.replace("agent_port", "max_descriptors: 1000, agent_port")
    settings = load_text(tmp_path, text)
    assert settings.memory_mb == 152
    assert settings.max_descriptors == 1_000
    assert settings.evacuation_ms == 2_500.5
    assert settings.warm_up.overage == 2.5
    assert settings.warm_up.tolerance == 5


def test_wrong_value_in_the_environment_is_reported(tmp_path, monkeypatch):
    """Guards against a wrong value that is taken for none."""
    monkeypatch.setenv("ENTRY_SETTING_MEMORY_MB", "much")
    with pytest.raises(SettingsError, match="memory_mb"):
        load_text(tmp_path, TEXT)
