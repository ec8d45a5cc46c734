"""Connections whose request another router answers."""

from __future__ import annotations
