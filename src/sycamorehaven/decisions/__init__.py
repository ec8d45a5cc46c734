"""Policy without I/O, clock or global randomness; both are arguments."""

from __future__ import annotations
