"""Benchmarks, whose bounds come from the project's target figures."""

from __future__ import annotations
