"""Requests to servers that say otherwise before they are written."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

from sycamorehaven.exceptions.backends import ServerUnwilling
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import RequestHead, RoutedRequest, SendPlan
from sycamorehaven.transport.routed_backend_client import RoutedBackendClient
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import ServerStatement
    from tests.support.gateway_harness import GatewayHarness


class UnwillingObserver:
    """
    An observer for which a server has closed while a connection was opened.

    :ivar checks: number of checks.
    """

    def __init__(self) -> None:
        self.checks = 0

    def check_open(self, server: ServerRecord, copy_source: str = "") -> None:  # noqa: ARG002
        """Refuse each request that has got its connection."""
        self.checks += 1
        raise ServerUnwilling(f"server {server.id} rests", was_sent=False)

    def record_response(
        self,
        server: ServerRecord,
        request: str,
        statement: ServerStatement,
        sent_at: float,
    ) -> None:
        """Record nothing."""


async def test_request_that_waited_for_its_connection_reaches_no_resting_server(
    harness: GatewayHarness,
) -> None:
    target = harness.servers[0]
    server = ServerRecord("s1", 1, "plain", target.address, "a", 8, draining=False)
    head = RequestHead("a1", 3.0, "", "", (), 0, 0, None)
    request = RoutedRequest(
        head, "GET", "/look/x", (), b"", STREAMING_ROUTE, "plain", "", 0.0, 3.0
    )
    observer = UnwillingObserver()
    client = RoutedBackendClient(PlatformHeaderCodec(), observer)
    for is_repeat in (False, True, False):
        plan = SendPlan(server, is_repeat=is_repeat)
        with TestCase().assertRaises(ServerUnwilling) as context:
            await client.send(plan, request, remaining=3.0, silence_timeout=3.0)
        assert not context.exception.was_sent
    await client.close()
    assert observer.checks == 3
    assert not target.received_headers
