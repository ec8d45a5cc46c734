"""
An open-loop load generator.

Requests start on schedule, even while earlier ones are unanswered.
"""

from __future__ import annotations
