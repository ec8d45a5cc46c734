"""Tests of the software versions that serve a service."""

from __future__ import annotations

from sycamorehaven.decisions.software_versions import (
    VERSION_MEMORY_SECONDS,
    SoftwareVersions,
)
from sycamorehaven.routing.model import ServerRecord


def build_server(version: str) -> ServerRecord:
    return ServerRecord("s1", 1, "model", "10.0.0.1:80", "a", 4, False, version)  # noqa: FBT003


def test_version_counts_for_a_while_after_its_last_server_left() -> None:
    versions = SoftwareVersions()
    versions.observe([build_server("v1")], 0.0)
    versions.observe([build_server("v2")], 1.0)
    assert versions.list_recent("model", 1.0) == {"v1", "v2"}
    assert versions.list_recent("model", VERSION_MEMORY_SECONDS) == {"v2"}
    assert versions.list_recent("other", 1.0) == set()


def test_service_is_settled_after_long_observation_of_one_version() -> None:
    versions = SoftwareVersions()
    assert not versions.is_settled("model", 0.0)
    versions.observe([build_server("v1")], 0.0)
    assert not versions.is_settled("model", VERSION_MEMORY_SECONDS - 1.0)
    assert not versions.is_settled("model", VERSION_MEMORY_SECONDS)
    versions.observe([build_server("v1")], VERSION_MEMORY_SECONDS)
    assert versions.is_settled("model", VERSION_MEMORY_SECONDS)
    versions.observe([build_server("v2")], VERSION_MEMORY_SECONDS - 1.0)
    versions.observe([build_server("v1")], VERSION_MEMORY_SECONDS)
    assert not versions.is_settled("model", VERSION_MEMORY_SECONDS)
