"""Exceptions with a stable code and a message that names the remedy."""

from __future__ import annotations
