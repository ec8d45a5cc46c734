"""
The network side of a router.

Listeners for callers, clients, operators and health checks; clients of
backend servers, engines and the platform; and the messages between routers.
Callers name the service that they call; the requests of clients match one of
the published routes, which chooses the service.
"""

from __future__ import annotations
