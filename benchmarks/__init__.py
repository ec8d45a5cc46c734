"""Benchmarks with bounds taken from the targets."""

from __future__ import annotations
