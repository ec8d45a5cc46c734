"""
Limits for clients that nobody controls.

They address crowds of clients that fill a router's memory or its descriptors:
incomplete bodies and heads, heads of very many fields, pipelined requests, and
connections that send or read very slowly.
"""

from __future__ import annotations
