"""Tests of the decision logic."""

from __future__ import annotations
