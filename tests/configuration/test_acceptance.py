"""Tests of the acceptance and rejection of configuration texts."""

from __future__ import annotations

import hashlib

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.configuration.delta import MAX_TEXT_BYTES
from sycamorehaven.exceptions.validation import ConfigurationError
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.large_configurations import build_large_configuration

PLANS = [
    ServerPlan("engine-1", "assistant", "127.0.0.1:9001"),
    ServerPlan("booking-1", "bookings", "127.0.0.1:9002"),
]
VALID_TEXT = build_configuration_text(PLANS)
KEY_SHA256 = hashlib.sha256(b"x").hexdigest()


def list_faults(text: str | bytes) -> set[tuple[str, str]]:
    """
    Return the path and code of each fault of a text.

    The set is empty if the text is accepted. A fault without a remedy or
    detail is returned with an empty code, so that no expected fault equals it.
    """
    raw = text.encode() if isinstance(text, str) else text
    try:
        accept_text(raw, 1)
    except ConfigurationError as error:
        return {
            (fault.path, fault.code if fault.remedy and fault.detail else "")
            for fault in error.faults
        }
    return set()


def test_valid_texts_are_accepted() -> None:
    assert list_faults(VALID_TEXT) == set()
    assert list_faults(build_large_configuration(20, 20, 3)) == set()
    assert list_faults("") == set()


def test_every_fault_of_one_text_is_listed() -> None:
    text = (
        f'[workspaces.a]\nkey_sha256 = "{KEY_SHA256}"\nweight = nan\nqueue_limit = 0\n'
        f'colour = "red"\n[workspaces.b]\nkey_sha256 = 7\n'
        f'[workspaces."c d"]\nkey_sha256 = "{"0" * 64}"\n'
        '[services.s]\nkind = "model"\ndepends_on = ["s", "gone", 3]\n'
        '[[services.s.calls]]\nmethod = "FETCH"\npath = "x"\n'
        '[servers.v]\naddress = "300.1.1.1:99999"\nservice = "t"\n'
        'failure_domain = "a"\nmodels = ["ok", 1, "not ok"]\nslots = 1.5\n'
        "[extra]\nx = 1\n"
    )
    assert list_faults(text) == {
        ("extra", "unknown_key"),
        ("workspaces.a.weight", "wrong_value"),
        ("workspaces.a.queue_limit", "wrong_value"),
        ("workspaces.a.colour", "unknown_key"),
        ("workspaces.b.key_sha256", "wrong_value"),
        ("workspaces.c d", "wrong_name"),
        ("services.s.depends_on[2]", "wrong_value"),
        ("servers.v.models[1]", "wrong_value"),
        ("servers.v.models[2]", "wrong_value"),
        ("servers.v.slots", "wrong_value"),
    }


def test_faults_between_tables_are_listed() -> None:
    text = (
        f'[workspaces.a]\nkey_sha256 = "{KEY_SHA256}"\n'
        f'[workspaces.b]\nkey_sha256 = "{KEY_SHA256}"\n'
        '[services.s]\nkind = "model"\ndepends_on = ["t"]\n'
        "expected_cost = 10.0\nlargest_cost = 5.0\n"
        '[services.t]\nkind = "plain"\ndepends_on = ["s", "gone"]\n'
        '[[services.t.calls]]\nmethod = "GET"\npath = "/x"\n'
        '[[services.t.calls]]\nmethod = "GET"\npath = "/x"\n'
        '[servers.v]\naddress = "10.0.0.1:80"\nservice = "s"\n'
        'failure_domain = "a"\nslots = 8\nslots_ceiling = 4\n'
        '[servers.w]\naddress = "10.0.0.1:80"\nservice = "none"\n'
        'failure_domain = "a"\n'
        '[servers.x]\naddress = "300.0.0.1:80"\nservice = "s"\n'
        'failure_domain = "a"\n'
    )
    assert list_faults(text) == {
        ("workspaces.a.key_sha256", "doubled_key"),
        ("workspaces.b.key_sha256", "doubled_key"),
        ("services.s.depends_on", "dependency_cycle"),
        ("services.t.depends_on", "dependency_cycle"),
        ("services.t.depends_on", "unknown_service"),
        ("services.t.calls", "doubled_call"),
        ("services.s.largest_cost", "largest_below_expected"),
        ("servers.v.slots_ceiling", "ceiling_below_start"),
        ("servers.v.address", "doubled_address"),
        ("servers.w.address", "doubled_address"),
        ("servers.w.service", "unknown_service"),
        ("servers.x.address", "wrong_address"),
    }


def test_missing_keys_and_wrong_types_are_listed() -> None:
    assert list_faults("workspaces = 3\n") == {("workspaces", "not_a_table")}
    assert list_faults("[workspaces]\na = 3\n") == {("workspaces.a", "not_a_table")}
    assert list_faults("[servers.v]\n") == {
        ("servers.v.address", "missing_key"),
        ("servers.v.service", "missing_key"),
        ("servers.v.failure_domain", "missing_key"),
    }
    wrong_types = '[services.s]\nkind = "model"\ncalls = [3]\nexpected_cost = inf\n'
    assert list_faults(wrong_types) == {
        ("services.s.calls[0]", "wrong_value"),
        ("services.s.expected_cost", "wrong_value"),
    }


def test_unparsable_texts_are_refused() -> None:
    assert list_faults(b"x" * (MAX_TEXT_BYTES + 1)) == {("text", "too_large")}
    assert list_faults(b"\xff\xfe") == {("text", "not_utf8")}
    assert list_faults("a = ") == {("text", "not_toml")}
    assert list_faults("a = " + "9" * 5_000) == {("text", "not_toml")}
    assert list_faults("a = " + "[" * 5_000) == {("text", "not_toml")}
    workspace = f'[workspaces.a]\nkey_sha256 = "{KEY_SHA256}"\n'
    assert list_faults(workspace * 2) == {("text", "not_toml")}


TOML_FRAGMENTS = st.sampled_from(
    [
        *("[", "]", '"', "'''", '"""', "\n", "=", "nan", "-1", "{", "\\", "\a", "é"),
        *("[servers.engine-1]\n", "[workspaces.oakcourt]\n", "1e999", "x.y = 1\n"),
        *("9" * 400, "1979-05-27", "true", "#", "\r\n", "\r", '"a" = 1\n'),
    ]
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_configuration_errors(raw: bytes) -> None:
    assert list_faults(raw) == list_faults(raw)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.integers(0, len(VALID_TEXT)),
    st.integers(0, 40),
    st.lists(TOML_FRAGMENTS, max_size=3).map("".join),
)
def test_mutated_texts_raise_only_configuration_errors(
    position: int, removed: int, inserted: str
) -> None:
    text = VALID_TEXT[:position] + inserted + VALID_TEXT[position + removed :]
    assert list_faults(text) == list_faults(text)
