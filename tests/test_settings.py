"""Test the validation of a router's settings."""

from __future__ import annotations

from typing import Any

from sycamorehaven.exceptions.validation import SettingsError
from sycamorehaven.settings import DEFAULT_TRACE_RATIO, RouterSettings


def create_document(**tables: dict[str, Any]) -> dict[str, Any]:
    document: dict[str, dict[str, Any]] = {
        "router": {"host": "a1", "failure_domain": "a"},
        "callers": {"address": "127.0.0.1:7100"},
        "peers": {"address": "127.0.0.1:7200"},
        "admin": {"address": "127.0.0.1:7300"},
        "platform": {"url": "http://127.0.0.1:7000"},
    }
    for name, table in tables.items():
        document[name] = document.get(name, {}) | table
    return document


def list_fault_codes(**tables: dict[str, Any]) -> dict[str, str]:
    try:
        RouterSettings.from_document(create_document(**tables))
    except SettingsError as error:
        return {fault.path: fault.code for fault in error.faults}
    return {}


def test_omitted_settings_take_their_defaults() -> None:
    settings = RouterSettings.from_document(create_document())
    assert settings.trace_ratio == DEFAULT_TRACE_RATIO
    assert settings.otlp_url == ""
    assert settings.seeds == ()


def test_listeners_beyond_loopback_need_keys() -> None:
    public = {"address": "10.0.0.1:7000"}
    assert list_fault_codes(peers=public) == {"peers.address": "plaintext_peers"}
    assert list_fault_codes(admin=public) == {"admin.address": "open_admin"}
    assert list_fault_codes(peers=public | {"allow_plaintext": True}) == {}
    assert list_fault_codes(admin=public | {"key_sha256": "0" * 64}) == {}


def test_incomplete_pairs_are_refused() -> None:
    assert list_fault_codes(peers={"public_key": "x" * 40}) == {"peers": "half_a_key"}
    assert list_fault_codes(callers={"certificate": "c"}) == {
        "callers": "half_a_certificate"
    }


def test_values_out_of_range_are_reported_by_key() -> None:
    codes = list_fault_codes(
        telemetry={"trace_ratio": 1.5, "level": "loud"},
        shutdown={"drain_timeout": 0},
        callers={"address": "localhost:80"},
    )
    assert set(codes) == {
        "telemetry.trace_ratio",
        "telemetry.level",
        "shutdown.drain_timeout",
        "callers.address",
    }
    assert set(codes.values()) == {"wrong_value"}


def test_injected_faults_need_loopback_addresses() -> None:
    peers = {"address": "10.0.0.1:7000", "allow_plaintext": True}
    codes = list_fault_codes(peers=peers, testing={"peer_faults": "f"})
    assert codes == {"testing": "testing_off_loopback"}
