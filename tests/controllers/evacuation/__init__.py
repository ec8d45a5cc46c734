"""Tests of the evacuation of failure domains."""

from __future__ import annotations
