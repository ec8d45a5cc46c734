"""
Small stand-ins for what the fleet meets but does not own.

The demo and the tests run them; each can also run as a process.
"""

from __future__ import annotations
