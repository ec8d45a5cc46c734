"""Which failure domains are evacuated, and what that means for requests."""

from __future__ import annotations
