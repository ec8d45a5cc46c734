"""An open-loop load generator: requests start on time whatever the answers."""

from __future__ import annotations
