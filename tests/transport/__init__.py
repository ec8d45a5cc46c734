"""Tests of the transport: listeners, clients and messages between routers."""

from __future__ import annotations
