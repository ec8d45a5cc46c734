"""The command-line tool for operators."""

from __future__ import annotations
