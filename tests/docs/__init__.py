"""Tests that pages agree with the code."""

from __future__ import annotations
