"""Tests of the settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.findings import SettingsInvalidError
from gypsumsail.platform.app import make_ports
from gypsumsail.platform.settings import load_settings
from gypsumsail.platform.text import parse_address

VALID_SETTINGS = """
node = "front-1"
role = "entry"
ip = "10.1.0.19"
zone = "z1"
port_range = [7580, 7595]
seeds = ["10.1.0.19:8745", "nonsense", "10.2.0.13:8745"]
first_start = true
a_new_field = "ignored"
[listen]
front = "10.1.0.19:8749"
ready = "10.1.0.19:8741"
control = "10.1.0.19:8745"
[bounds]
grace_s = 9
retry_slack = 7
[infra]
addr = "10.200.1.7:8744"
form = "objects"
"""


def load(tmp_path: Path, text: str) -> object:
    path = tmp_path / "boot.toml"
    path.write_text(text, encoding="utf-8")
    return load_settings(path)


def test_load_settings_ignores_unknown_fields(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(VALID_SETTINGS, encoding="utf-8")
    settings = load_settings(path)
    assert settings.vm == "front-1"
    assert str(settings.object_store) == "10.200.1.7:8744"
    assert settings.seed_hosts == ("10.1.0.19", "10.2.0.13")
    assert settings.gossip_port == 7580
    assert settings.grace_seconds == 9
    assert settings.retry_limit.slack == 7
    assert settings.retry_limit.ratio == 0.2


def test_evacuations_are_followed_only_with_their_bound(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    kinds = []
    for text in (
        VALID_SETTINGS,
        VALID_SETTINGS.replace("[infra]", "evac_ms=5000\n[infra]"),
    ):
        path.write_text(text, encoding="utf-8")
        settings = load_settings(path)
        kinds.append(make_ports(settings, path, SystemClock()).kinds.all())
    assert kinds[0] == ("config", "servers", "versions")
    assert kinds[1] == (*kinds[0], "evacuations")
    assert settings.change_bounds.evacuation_in_force == 2.5


def test_all_findings_are_reported_together(tmp_path: Path) -> None:
    bad = VALID_SETTINGS.replace('node = "front-1"', "node = 7").replace(
        'zone = "z1"\n', ""
    )
    bad = bad.replace("grace_s = 9", 'grace_s = "long"')
    with pytest.raises(SettingsInvalidError) as caught:
        load(tmp_path, bad)
    assert {finding.path for finding in caught.value.findings} == {
        "node",
        "zone",
        "bounds",
    }


def test_addresses_are_checked(tmp_path: Path) -> None:
    with pytest.raises(SettingsInvalidError) as caught:
        load(tmp_path, VALID_SETTINGS.replace("10.200.1.7:8744", "10.200.1.7"))
    assert [finding.path for finding in caught.value.findings] == ["infra.addr"]


@pytest.mark.parametrize("text", ["", "= =", "node = "])
def test_malformed_file_is_rejected(tmp_path: Path, text: str) -> None:
    with pytest.raises(SettingsInvalidError):
        load(tmp_path, text)


@pytest.mark.parametrize("value", ["9" * 5_000, "[" * 100_000])
def test_value_that_the_parser_rejects_ends_no_task_of_a_running_vm(
    tmp_path: Path, value: str
) -> None:
    """DRAIN's cause elsewhere: such a file raised an error that no caller expects."""
    with pytest.raises(SettingsInvalidError):
        load(tmp_path, VALID_SETTINGS + f"extra = {value}\n")


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "-1"])
def test_bounds_that_no_time_can_be_compared_with_are_rejected(
    tmp_path: Path, value: str
) -> None:
    """A VM with a grace period of nan never ended by itself, and was killed."""
    with pytest.raises(SettingsInvalidError) as caught:
        load(tmp_path, VALID_SETTINGS.replace("grace_s = 9", f"grace_s = {value}"))
    assert [finding.path for finding in caught.value.findings] == ["bounds.grace_s"]


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsInvalidError):
        load_settings(tmp_path / "none.toml")


@pytest.mark.parametrize("text", ["", "a", "a:", ":1", "a:x", "a:0", "a:70000", None])
def test_parse_address_rejects_malformed_text(text: object) -> None:
    assert parse_address(text) is None
