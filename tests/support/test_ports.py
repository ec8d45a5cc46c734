"""Test the allocation of ports that are bound later."""

from __future__ import annotations

from tests.support.fleet import allocate_port

ALLOCATION_COUNT = 500


def test_no_port_is_allocated_twice() -> None:
    assert len({allocate_port() for _ in range(ALLOCATION_COUNT)}) == ALLOCATION_COUNT
