"""Tests of the load generator."""

from __future__ import annotations
