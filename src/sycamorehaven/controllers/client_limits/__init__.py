"""Memory for what clients take slowly."""

from __future__ import annotations
