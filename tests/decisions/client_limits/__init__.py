"""Tests of the limits of clients."""

from __future__ import annotations
