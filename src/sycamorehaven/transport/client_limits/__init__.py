"""Connections of clients, held to limits of memory, time and number."""

from __future__ import annotations
