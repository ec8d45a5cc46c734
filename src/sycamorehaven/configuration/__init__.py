"""The operators' one text: its tables, its checks and its accepted form."""

from __future__ import annotations
