"""Tests of the sections of the blackboard."""

from __future__ import annotations
