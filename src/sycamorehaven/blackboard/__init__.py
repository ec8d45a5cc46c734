"""
The state of one router in typed sections.

Controllers share nothing else. Each section has one writing controller,
which its module names; all others read.
"""

from __future__ import annotations
