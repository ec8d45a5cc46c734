"""Decision logic without I/O; time and randomness are passed as arguments."""

from __future__ import annotations
