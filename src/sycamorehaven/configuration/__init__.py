"""The fleet's configuration text: its schema, validation, model and deltas."""

from __future__ import annotations
