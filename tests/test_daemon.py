"""What the daemon loads before it is ready."""

from __future__ import annotations

import subprocess
import sys

from tests.support.loader import ROOT

PRINT_MODULES = (
    "import sys, sycamorehaven.daemon, sycamorehaven.gateway_process;"
    " print(*sys.modules)"
)
UNUSED_BY_GATEWAYS = ("sycamorehaven.router", "opentelemetry.sdk", "sycamorehaven.demo")


def test_gateway_starts_without_loading_what_only_other_routers_use() -> None:
    loaded = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "sycamorehaven.gateway" in loaded
    assert not [name for name in UNUSED_BY_GATEWAYS if name in loaded]
