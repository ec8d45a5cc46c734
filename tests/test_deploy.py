"""The deploy file of the users' platform."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib

from tests.support.loader import ROOT


def read_deploy_file() -> dict[str, object]:
    """Return the role of the routers in the deploy file."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role: dict[str, object] = document["roles"]["router"]
    return role


def test_router_starts_without_loading_certificates() -> None:
    environment = read_deploy_file()["env"]
    assert isinstance(environment, dict)
    loaded = subprocess.run(
        [
            sys.executable,
            "-c",
            "import ssl; print(len(ssl.create_default_context().get_ca_certs()))",
        ],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        check=True,
    )
    assert loaded.stdout.strip() == "0"
