"""Request routers that share serving capacity fairly between workspaces."""

from __future__ import annotations

__version__ = "0.1.0"
