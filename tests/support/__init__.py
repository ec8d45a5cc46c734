"""Test doubles, harnesses and the test runner."""

from __future__ import annotations
