"""A demonstration fleet of routers and stand-in servers in one process."""

from __future__ import annotations
