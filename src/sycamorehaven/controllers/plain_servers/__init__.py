"""Controllers of plain servers, which answer requests without a prompt."""

from __future__ import annotations
