"""Test the allocation of ports that are bound later."""

from __future__ import annotations

import subprocess
import sys

from tests.support.fleet import PORTS_PER_RESERVATION, allocate_port

ALLOCATION_COUNT = 500
TRY_TO_RESERVE = (
    "from tests.support.fleet import reserve_ports; print(reserve_ports({}))"
)


def test_no_port_is_allocated_twice() -> None:
    assert len({allocate_port() for _ in range(ALLOCATION_COUNT)}) == ALLOCATION_COUNT


def test_ports_of_another_test_run_are_not_allocated() -> None:
    port = allocate_port()
    script = TRY_TO_RESERVE.format(port - port % PORTS_PER_RESERVATION)
    output = subprocess.run(
        [sys.executable, "-c", script], check=True, capture_output=True, text=True
    ).stdout
    assert output.strip() == "False"
