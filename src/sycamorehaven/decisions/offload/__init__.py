"""Requests that are left to another router of the failure domain."""

from __future__ import annotations
