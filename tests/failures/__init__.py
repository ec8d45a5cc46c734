"""Tests that inject failures into fleets of real processes."""

from __future__ import annotations
