"""Bookings with idempotency tokens through a fleet of processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tests.support.fleet import wait_for

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

BOOKINGS_PATH = "/v1/services/bookings/bookings"
TOKENS_PATH = "/v1/idempotency-tokens"


class BookingReply(NamedTuple):
    """
    What a caller got.

    :ivar status: HTTP status.
    :ivar document: the JSON document.
    :ivar retry_after: the header, or "".
    """

    status: int
    document: dict[str, Any]
    retry_after: str = ""

    @property
    def code(self) -> str:
        """Code of the refusal, or ""."""
        return str(self.document.get("code", ""))

    @property
    def was_run(self) -> str:
        """What the refusal says, or ""."""
        return str(self.document.get("was_run", ""))


class BookingClient:
    """
    Mints tokens and books with them.

    :param fleet: where to send requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def create_token(self, router: int, lifetime: float = 0.0) -> str:
        """Return a token that a router minted."""
        headers = {"Token-Lifetime": str(lifetime)} if lifetime else {}
        request = self._fleet.build_request(router, TOKENS_PATH, headers=headers)
        async with self._fleet.client.post(**request) as response:
            assert response.status == 201, await response.text()
            return str((await response.json())["idempotency_token"])

    async def book(
        self, router: int, token: str, body: str, **headers: str
    ) -> BookingReply:
        """Send a booking and return what came."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        request = self._fleet.build_request(
            router, BOOKINGS_PATH, headers={"Idempotency-Token": token, **named}
        )
        async with self._fleet.client.post(data=body, **request) as response:
            document = await response.json(content_type=None)
            retry_after = response.headers.get("Retry-After", "")
            return BookingReply(response.status, document, retry_after)

    async def read_token_state(self, router: int, token: str) -> str:
        """Return the state of a token as a router tells it."""
        request = self._fleet.build_request(router, f"{TOKENS_PATH}/{token}")
        async with self._fleet.client.get(**request) as response:
            return str((await response.json())["state"])

    async def wait_until_started(self, *bookings: str) -> None:
        """Wait until the stand-ins have begun to run bookings."""

        async def is_begun() -> bool:
            runs = self._fleet.count_executions()
            return all(runs[body] for body in bookings)

        await wait_for(is_begun)
