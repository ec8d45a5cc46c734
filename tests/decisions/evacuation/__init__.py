"""Tests of the decisions on evacuated failure domains."""

from __future__ import annotations
