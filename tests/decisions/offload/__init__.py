"""Tests of the choice of the router that answers a request."""

from __future__ import annotations
