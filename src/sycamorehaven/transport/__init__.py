"""Connections to callers, backend servers, the platform and other routers."""

from __future__ import annotations
