"""A client that sends bookings with idempotency tokens through a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tests.support.fleet import wait_for

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

BOOKINGS_PATH = "/v1/services/bookings/bookings"
TOKENS_PATH = "/v1/idempotency-tokens"


class BookingReply(NamedTuple):
    """
    The response to a booking.

    :ivar status: HTTP status.
    :ivar document: JSON document of the body.
    :ivar retry_after: value of the ``Retry-After`` header, or "".
    """

    status: int
    document: dict[str, Any]
    retry_after: str = ""

    @property
    def code(self) -> str:
        """Code of the refusal, or "" if the booking was not refused."""
        return str(self.document.get("code", ""))

    @property
    def was_run(self) -> str:
        """Whether the refusal says that the booking ran, or ""."""
        return str(self.document.get("was_run", ""))


class BookingClient:
    """
    Creates idempotency tokens and sends bookings with them.

    :param fleet: the fleet that receives the requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def create_token(self, router: int, lifetime: float = 0.0) -> str:
        """
        Have a router create an idempotency token and return it.

        :param lifetime: seconds for which the token is valid; 0 for the
            router's default.
        """
        headers = {"Token-Lifetime": str(lifetime)} if lifetime else {}
        request = self._fleet.build_request(router, TOKENS_PATH, headers=headers)
        async with self._fleet.client.post(**request) as response:
            assert response.status == 201, await response.text()
            return str((await response.json())["idempotency_token"])

    async def book(
        self, router: int, token: str, body: str, **headers: str
    ) -> BookingReply:
        """
        Send a booking and return the response.

        :param headers: further headers, with ``_`` in place of ``-``.
        """
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        request = self._fleet.build_request(
            router, BOOKINGS_PATH, headers={"Idempotency-Token": token, **named}
        )
        async with self._fleet.client.post(data=body, **request) as response:
            document = await response.json(content_type=None)
            retry_after = response.headers.get("Retry-After", "")
            return BookingReply(response.status, document, retry_after)

    async def read_token_state(self, router: int, token: str) -> str:
        """Return the state of a token that a router reports."""
        request = self._fleet.build_request(router, f"{TOKENS_PATH}/{token}")
        async with self._fleet.client.get(**request) as response:
            return str((await response.json())["state"])

    async def wait_until_started(self, *bookings: str) -> None:
        """Wait until the stand-in servers have started to run all bookings."""

        async def is_begun() -> bool:
            runs = self._fleet.count_executions()
            return all(runs[body] for body in bookings)

        await wait_for(is_begun)
