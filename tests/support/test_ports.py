"""Ports that tests draw before they bind them."""

from __future__ import annotations

from tests.support.fleet import find_port

DRAWS = 500


def test_no_port_is_drawn_twice() -> None:
    assert len({find_port() for _ in range(DRAWS)}) == DRAWS
