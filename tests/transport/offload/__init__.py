"""Tests of requests that are offloaded to other routers."""

from __future__ import annotations
