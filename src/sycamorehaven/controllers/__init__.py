"""
Services that act on the shared state of a router (the blackboard).

Each controller reads any section of the blackboard and writes only its own.
"""

from __future__ import annotations
