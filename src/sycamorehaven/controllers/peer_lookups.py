"""Questions to other routers, of which any that knows may give the answer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

REPLY_TIMEOUT_SECONDS = 0.1
"""Time for the replies of other routers; many round trips between domains."""
MAX_REQUEST_ROUNDS = 2
"""Number of times that a router that does not reply is asked."""

Result = TypeVar("Result")


class PeerLookup(Generic[Result]):
    """
    A question to other routers that has not been answered.

    :param hosts: hosts that are asked.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._unanswered = set(hosts)
        self._result: Result | None = None
        self._is_decided = asyncio.Event()
        self._set_if_decided()

    @property
    def result(self) -> Result | None:
        """What a router told, ``None`` until one that knows has replied."""
        return self._result

    def add_reply(self, host: str, result: Result | None) -> None:
        """
        Record the reply of a host.

        :param result: ``None`` if the host does not know.
        """
        self._unanswered.discard(host)
        if self._result is None:
            self._result = result
        self._set_if_decided()

    async def ask(self, send_request: Callable[[str], object]) -> None:
        """
        Send the question until it is decided or was asked often enough.

        :param send_request: sends it to a host.
        """
        for _ in range(MAX_REQUEST_ROUNDS):
            for host in sorted(self._unanswered):
                send_request(host)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    await self._is_decided.wait()
            if self._is_decided.is_set():
                return

    def _set_if_decided(self) -> None:
        if self._result is not None or not self._unanswered:
            self._is_decided.set()
