"""Carries out the evacuation of failure domains."""

from __future__ import annotations
