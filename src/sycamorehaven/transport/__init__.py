"""
The network side of a router.

Listeners for callers, clients, operators and health checks; clients of
backend servers, engines and the platform; and the messages between routers.
"""

from __future__ import annotations
