"""Tests of the figures on a given clock."""

from __future__ import annotations
