"""Logs, metrics and traces."""

from __future__ import annotations
