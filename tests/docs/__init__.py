"""Tests that the documentation agrees with the code."""

from __future__ import annotations
