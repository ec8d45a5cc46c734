"""Typed errors; each has a code and a message that names the remedy."""

from __future__ import annotations
