"""Services that read the blackboard and write their own section of it."""

from __future__ import annotations
