"""Tests of the controllers."""

from __future__ import annotations
