"""A small fleet with stand-ins around it, in one process."""

from __future__ import annotations
