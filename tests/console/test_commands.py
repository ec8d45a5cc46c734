"""Tests of validation, key generation and the commands that query a router."""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import zmq
from typer.testing import CliRunner

from sycamorehaven.console.application import application
from tests.support.configuration_texts import (
    ServerPlan,
    build_configuration_text,
    build_workspace_key,
)
from tests.support.fixtures import fixture
from tests.support.fleet import Fleet, allocate_address

if TYPE_CHECKING:
    from collections.abc import Iterator

INVALID_SETTINGS = """
[router]
host = "a1"
failure_domain = "a"
[callers]
address = "localhost:1"
colour = "red"
[peers]
address = "127.0.0.1:7002"
[admin]
address = "0.0.0.0:7003"
"""


@fixture
def toml_file() -> Iterator[Path]:
    """Yield a path at which a test can write a TOML file."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder) / "text.toml"


def test_configuration_check_lists_every_fault(toml_file: Path) -> None:
    text = build_configuration_text([ServerPlan("engine-1", "missing", "127.0.0.1:1")])
    text += "\n[workspaces.third]\nkey_sha256 = 'x'\nweight = -1\n"
    toml_file.write_text(text)
    result = CliRunner().invoke(
        application, ["configuration", "check", str(toml_file), "--json"]
    )
    assert result.exit_code == 2
    faults = json.loads(result.stdout)["faults"]
    paths = {fault["path"] for fault in faults}
    assert "servers.engine-1.service" in paths
    assert any(path.startswith("workspaces.third") for path in paths)
    assert all(fault["code"] and fault["remedy"] for fault in faults)


def test_configuration_check_accepts_a_valid_text(toml_file: Path) -> None:
    plan = ServerPlan("engine-1", "assistant", "127.0.0.1:1")
    toml_file.write_text(build_configuration_text([plan]))
    result = CliRunner().invoke(application, ["configuration", "check", str(toml_file)])
    assert result.exit_code == 0
    assert "valid" in result.stdout


def test_settings_check_names_key_code_and_remedy(toml_file: Path) -> None:
    toml_file.write_text(INVALID_SETTINGS)
    result = CliRunner().invoke(application, ["settings", "check", str(toml_file)])
    assert result.exit_code == 2
    assert "callers.colour" in result.stderr
    assert "[unknown_key]" in result.stderr
    assert "platform: the table is missing [missing_table]" in result.stderr
    assert "remedy:" in result.stderr


async def run_daemon(settings: Path) -> tuple[int | None, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sycamorehaven.daemon",
        "--settings",
        str(settings),
        stderr=asyncio.subprocess.PIPE,
    )
    _, stderr = await process.communicate()
    return process.returncode, stderr.decode()


async def test_daemon_exits_with_status_two_without_traceback(toml_file: Path) -> None:
    toml_file.write_text(INVALID_SETTINGS)
    status, stderr = await run_daemon(toml_file)
    assert status == 2
    assert "callers.colour" in stderr
    assert "remedy:" in stderr
    assert "Traceback" not in stderr


async def test_daemon_reports_a_listener_address_in_use(toml_file: Path) -> None:
    for table in ("callers", "peers", "admin"):
        addresses = {name: allocate_address() for name in ("callers", "peers", "admin")}
        host, _, port = addresses[table].rpartition(":")
        blocker = await asyncio.start_server(lambda *_: None, host, int(port))
        toml_file.write_text(
            '[router]\nhost = "a1"\nfailure_domain = "a"\n'
            + "".join(f'[{k}]\naddress = "{v}"\n' for k, v in addresses.items())
            + '[platform]\nurl = "http://127.0.0.1:9"\n'
        )
        status, stderr = await run_daemon(toml_file)
        blocker.close()
        assert status == 1, stderr
        last = json.loads(stderr.splitlines()[-1])
        assert "[start_failed]; remedy:" in last["message"]
        assert "Traceback" not in stderr, (table, stderr)


def test_unreachable_router_gives_one_error_line_with_code_and_remedy() -> None:
    for command in ("status", "members", "queues", "workspaces", "traces"):
        result = CliRunner().invoke(
            application, [command, "--admin", allocate_address()]
        )
        assert result.exit_code == 1
        assert "[admin_unreachable]" in result.stderr
        assert "remedy:" in result.stderr
        assert len(result.stderr.strip().splitlines()) == 1


def test_generated_keys_match_their_digest_and_pair() -> None:
    runner = CliRunner()
    bearer = json.loads(runner.invoke(application, ["keys", "bearer", "--json"]).stdout)
    digest = hashlib.sha256(bearer["key"].encode()).hexdigest()
    assert bearer["key_sha256"] == digest
    peers = json.loads(runner.invoke(application, ["keys", "peers", "--json"]).stdout)
    assert zmq.curve_public(peers["secret_key"].encode()) == (
        peers["public_key"].encode()
    )


async def test_commands_show_a_running_router(fleet: Fleet) -> None:
    status, _ = await fleet.request_completion(0, "hello", max_tokens=7)
    assert status == 200
    admin = fleet.routers[0].admin_address

    async def run_command(command: str, *options: str) -> str:
        arguments = [command, "--admin", admin, *options]
        result = await asyncio.to_thread(CliRunner().invoke, application, arguments)
        assert result.exit_code == 0, result.output
        return str(result.stdout)

    document = json.loads(await run_command("status", "--json"))
    assert document["ready"]
    assert document["configuration_revision"] == 1
    members = json.loads(await run_command("members", "--json"))["members"]
    assert [row["host"] for row in members] == ["a1", "a2", "b3"]
    for command, heading in (
        ("status", "Router"),
        ("members", "Members"),
        ("queues", "Queues"),
        ("workspaces", "assistant (tokens)"),
        ("traces", "Spans"),
    ):
        assert heading in await run_command(command)


async def test_load_reports_shares_and_latencies(fleet: Fleet) -> None:
    targets = [f"--target=http://{plan.callers_address}" for plan in fleet.routers]
    arguments = ["load", "--key", build_workspace_key("oakcourt"), "--requests", "20"]
    arguments += ["--rate", "100", "--tokens", "3", "--json", *targets]
    result = await asyncio.to_thread(CliRunner().invoke, application, arguments)
    assert result.exit_code == 0, result.output
    document = json.loads(result.stdout)
    assert document["sent"] == document["answered"] == 20
    row = document["workloads"][0]
    assert row["tokens"] == 60
    assert 0 < row["first_byte"]["p50"] <= row["total"]["p50"] <= row["total"]["p99"]
