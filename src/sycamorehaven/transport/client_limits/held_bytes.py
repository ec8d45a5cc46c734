"""The memory that the requests of one connection occupy."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING

from aiohttp.http import RawRequestMessage

from sycamorehaven.decisions.client_limits.byte_budget import measure_head
from sycamorehaven.transport.request_framing import HEAD_END

if TYPE_CHECKING:
    from collections.abc import Sequence

LAST_CHUNK = b"\r\n0\r\n"
"""What comes before the trailers of a chunked body."""


class HeldBytes:
    """
    Bytes of memory of each request that has not ended, in their order.

    Each method returns by how many bytes they have grown.

    :ivar head_size: bytes of the incomplete head at the end, or of trailers,
        as they arrived.
    """

    def __init__(self) -> None:
        self._costs: deque[int] = deque()
        self.head_size = 0
        self._head_fields = 0
        self._head_cost = 0

    @property
    def has_requests(self) -> bool:
        """Whether a request whose head is complete has not ended."""
        return bool(self._costs)

    @property
    def total(self) -> int:
        """Bytes of all requests and of the incomplete head."""
        return sum(self._costs) + self._head_cost

    @property
    def ahead(self) -> int:
        """Bytes behind the first request."""
        return sum(itertools.islice(self._costs, 1, None)) + self._head_cost

    def add_requests(self, messages: Sequence[object], data: bytes) -> int:
        """
        Add requests whose heads are now complete.

        :param messages: the heads, as aiohttp parsed them.
        :param data: the received bytes that complete them.
        """
        fields = sum(
            len(message.raw_headers)
            for message in messages
            if isinstance(message, RawRequestMessage)
        )
        size = self.head_size + len(data)
        head_end = data.find(HEAD_END) if len(messages) == 1 else -1
        head = size if head_end < 0 else self.head_size + head_end
        cost = measure_head(head, fields) + size - head
        self._costs.extend([0] * (len(messages) - 1))
        self._costs.append(cost)
        return cost + self.clear_head()

    def add_body(self, size: int) -> int:
        """
        Add bytes to the last request.

        Those of a request that has ended are discarded as they arrive.
        """
        if not self._costs:
            return 0
        self._costs[-1] += size
        return size

    def add_head(self, data: bytes, max_fields: int) -> int:
        """
        Add bytes to the incomplete head.

        :param max_fields: fields at which the parser gives up.
        """
        self.head_size += len(data)
        self._head_fields += min(data.count(b"\n"), max_fields)
        cost = measure_head(self.head_size, self._head_fields)
        grown, self._head_cost = cost - self._head_cost, cost
        return grown

    def end_request(self) -> int:
        """Remove the first request."""
        return -self._costs.popleft() if self._costs else 0

    def clear(self) -> int:
        """Remove everything."""
        held = sum(self._costs)
        self._costs.clear()
        return self.clear_head() - held

    def clear_head(self) -> int:
        """Remove the incomplete head."""
        cost = self._head_cost
        self.head_size = self._head_fields = self._head_cost = 0
        return -cost


def find_rest(data: bytes, body_bytes: int) -> bytes:
    """
    Return what follows the last complete request in received data.

    :param body_bytes: length of the body of that request.
    """
    if data.endswith(HEAD_END):
        return b""
    rest = len(data) - data.rfind(HEAD_END) - len(HEAD_END) - body_bytes
    return data[-rest:] if rest > 0 else b""


def find_trailers(data: bytes) -> bytes:
    """
    Return the trailers in received data of a chunked body.

    The parser keeps them like headers, although nothing uses them.
    """
    start = data.rfind(LAST_CHUNK)
    return data[start + len(LAST_CHUNK) :] if start >= 0 else b""
