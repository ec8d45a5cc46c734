"""Tests of the package and of whole fleets."""

from __future__ import annotations
