"""Tests of the telemetry package."""

from __future__ import annotations
