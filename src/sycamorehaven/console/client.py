"""HTTP client of the read-only interface that routers offer to operators."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from sycamorehaven.exceptions.console import (
    AdminAnswerMalformed,
    AdminRejected,
    AdminUnreachable,
)

RESPONSE_TIMEOUT_SECONDS = 5.0
"""Maximum time to receive a response."""


class AdminClient:
    """
    Fetches documents from the ``[admin]`` listener of one router.

    :param address: URL or ``ip:port`` of the listener.
    :param key: admin key, or "" if the router requires none.
    """

    def __init__(self, address: str, key: str = "") -> None:
        self._url = address if "://" in address else f"http://{address}"
        self._key = key

    def get_document(self, path: str, **query: str) -> dict[str, Any]:
        """
        Fetch a document.

        :param path: path of the document.
        :param query: query parameters.
        :raises ConsoleError: if the router does not answer with a document.
        """
        status, body = asyncio.run(self._fetch(path, query))
        try:
            document = msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            raise AdminAnswerMalformed(
                f'response of "{self._url}" is not a JSON object'
            ) from error
        if status != 200:
            raise _create_rejection(status, document)
        return document

    async def _fetch(self, path: str, query: dict[str, str]) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(headers=headers, timeout=timeout) as client,
                client.get(self._url.rstrip("/") + path, params=query) as response,
            ):
                return response.status, await response.read()
        except aiohttp.InvalidURL as error:
            raise AdminUnreachable(
                f"address {self._url!r} is not a valid URL"
            ) from error
        except TimeoutError as error:
            raise AdminUnreachable(
                f'router at "{self._url}" did not answer in time'
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AdminUnreachable(
                f'router at "{self._url}" cannot be reached: {error}'
            ) from error


def _create_rejection(status: int, document: dict[str, Any]) -> AdminRejected:
    detail = str(document.get("detail", f"status {status}"))
    remedy = document.get("remedy")
    return AdminRejected(detail, remedy=str(remedy) if remedy else None)
