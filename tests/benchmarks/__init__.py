"""Tests of the benchmarks that run on a virtual clock."""

from __future__ import annotations
