"""Logs, metrics, traces and the documents of the admin interface."""

from __future__ import annotations
