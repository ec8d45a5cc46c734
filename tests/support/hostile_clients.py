"""Clients that don't keep to the limits of HTTP, and crowds of them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BODY_BYTES = 4_194_304
"""Largest legal body, the default of ``maxBodyBytes``."""
OVERSIZE_BYTES = 16_777_216
"""Bytes that a client sends of a body far over the limit."""
PIECE_BYTES = 4_096
"""Size of the small pieces in which some bodies are sent."""
CHUNK_BYTES = 1_024
"""Size of the chunks of chunked bodies."""
SHORT_FIELDS_BYTES = 15_000
"""Size of a head of very short fields; with the others it is under 16 KiB."""
LONG_FIELD = b"x" * 8_000
"""Value of one field of an endless head; each field is of legal size."""
ENDLESS_FIELDS = 500
PIPELINED_REQUESTS = 400
"""Requests that a client sends without reading an answer."""
PIPELINED_BODIES = 24
PIPELINED_BODY_BYTES = 400_000
"""Size of each pipelined body."""
DRIP_SECONDS = 0.2
"""Pause after each byte that a slow client sends or reads."""
SEND_TIMEOUT_SECONDS = 3.0
"""Time after which a client gives up sending."""
SETTLED_SECONDS = 1.0
"""The crowd has arrived once the memory has not grown for so long."""
MAX_SETTLE_SECONDS = 10.0
CONNECTING_AT_A_TIME = 100
"""Connections that are opened at once; fewer than the kernel queues."""


class Target(NamedTuple):
    """
    What the clients of a crowd ask for.

    :ivar name: names the target in the message of a failed test.
    :ivar address: ``ip:port`` of the listener.
    :ivar path: path of the requests.
    :ivar headers: header lines that make the request legal.
    :ivar large_path: path whose response is larger than the buffers of a
        connection, or that of the others if there is none.
    """

    name: str
    address: str
    path: str
    headers: bytes
    large_path: str

    def build_head(self, method: str = "POST", extra: bytes = b"") -> bytes:
        """Return the head of a request without the empty line."""
        line = f"{method} {self.path} HTTP/1.1\r\n".encode()
        return line + self.headers + extra


def send_short_body(target: Target) -> Iterator[bytes]:
    """Yield a body of legal size but for its last byte, in one piece."""
    yield _build_length_head(target, BODY_BYTES) + b"x" * (BODY_BYTES - 1)


def send_body_in_pieces(target: Target) -> Iterator[bytes]:
    """Yield the same body in small pieces."""
    yield _build_length_head(target, BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES


def send_body_in_chunks(target: Target) -> Iterator[bytes]:
    """Yield a chunked body of legal size without its last chunk."""
    yield target.build_head(extra=b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    for _ in range(BODY_BYTES // CHUNK_BYTES // 64 - 1):
        yield chunk * 64


def send_oversized_body(target: Target) -> Iterator[bytes]:
    """Yield much of a body whose stated length is far over the limit."""
    yield _build_length_head(target, 1 << 40)
    for _ in range(OVERSIZE_BYTES // 65_536):
        yield b"x" * 65_536


def send_oversized_chunks(target: Target) -> Iterator[bytes]:
    """Yield much of a chunked body far over the limit."""
    yield target.build_head(extra=b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(OVERSIZE_BYTES // 65_536):
        yield b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def send_large_chunk(target: Target) -> Iterator[bytes]:
    """Yield a body of legal size as one chunk that lacks its last byte."""
    yield target.build_head(extra=b"Transfer-Encoding: chunked\r\n\r\n")
    yield b"%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)


def send_tiny_chunks(target: Target) -> Iterator[bytes]:
    """Yield a body of legal size in chunks of one byte, without its end."""
    yield target.build_head(extra=b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(BODY_BYTES // CHUNK_BYTES - 1):
        yield b"1\r\nx\r\n" * CHUNK_BYTES


def send_empty_lines(_target: Target) -> Iterator[bytes]:
    """Yield empty lines, and no request."""
    for _ in range(OVERSIZE_BYTES // 65_536):
        yield b"\r\n" * 32_768


def build_short_fields(size: int = SHORT_FIELDS_BYTES) -> bytes:
    """Return header lines of very short fields with different names."""
    lines, length, number = [], 0, 0
    while length < size:
        lines.append(b"%x:\r\n" % number)
        length += len(lines[-1]) + 1
        number += 1
    return b"".join(lines)


def send_short_fields(target: Target) -> Iterator[bytes]:
    """Yield a head of legal size with very many fields, and half a body."""
    extra = build_short_fields() + b"Content-Length: 2\r\n\r\nx"
    yield target.build_head(extra=extra)


def send_whole_short_fields(target: Target) -> Iterator[bytes]:
    """Yield a whole request of legal size with very many fields."""
    yield target.build_head("GET", build_short_fields() + b"\r\n")


def send_whole_body(target: Target) -> Iterator[bytes]:
    """Yield a request with a body of the largest legal size in 64 pieces."""
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield target.build_head("PUT", length)
    for _ in range(64):
        yield b"x" * (BODY_BYTES // 64)


def send_endless_head(target: Target) -> Iterator[bytes]:
    """Yield fields of legal size, and no end of the head."""
    yield target.build_head()
    for number in range(ENDLESS_FIELDS):
        yield b"x%d: %b\r\n" % (number, LONG_FIELD)


def send_endless_short_fields(target: Target) -> Iterator[bytes]:
    """Yield a head without an end whose fields are very short."""
    yield target.build_head()
    for _ in range(ENDLESS_FIELDS):
        yield build_short_fields(2_000)


def send_pipelined_requests(target: Target) -> Iterator[bytes]:
    """Yield many requests, whose answers nobody reads."""
    yield (target.build_head("GET") + b"\r\n") * PIPELINED_REQUESTS


def send_pipelined_bodies(target: Target) -> Iterator[bytes]:
    """Yield a request with a large answer, and many whole bodies after it."""
    yield target._replace(path=target.large_path).build_head("GET") + b"\r\n"
    for _ in range(PIPELINED_BODIES):
        head = _build_length_head(target, PIPELINED_BODY_BYTES)
        yield head + b"x" * PIPELINED_BODY_BYTES


def request_large_answer(target: Target) -> Iterator[bytes]:
    """Yield a request for a large response."""
    yield target._replace(path=target.large_path).build_head("GET") + b"\r\n"


def send_nothing(_target: Target) -> Iterator[bytes]:
    """Yield nothing."""
    yield from ()


def send_half_head(target: Target) -> Iterator[bytes]:
    """Yield the first part of a head."""
    yield target.build_head()


def send_half_body(target: Target) -> Iterator[bytes]:
    """Yield a whole head and the first half of a small body."""
    yield _build_length_head(target, 2_000) + b"x" * 1_000


def _build_length_head(target: Target, length: int) -> bytes:
    return target.build_head(extra=b"Content-Length: %d\r\n\r\n" % length)


class Crowd:
    """
    Clients that stay connected until the crowd is closed.

    :param drip: byte that a client keeps sending slowly once it has sent
        everything else, or b"".
    :param reads_slowly: whether clients read, a byte at a time.
    """

    def __init__(self, drip: bytes = b"", *, reads_slowly: bool = False) -> None:
        self._drip = drip
        self._reads_slowly = reads_slowly
        self._sockets: list[socket.socket] = []
        self._drips: list[asyncio.Task[None]] = []
        self._connecting = asyncio.Semaphore(CONNECTING_AT_A_TIME)

    async def send(
        self, target: Target, count: int, pieces: Callable[[Target], Iterator[bytes]]
    ) -> None:
        """Connect clients, and wait until each has sent what it can."""
        await asyncio.gather(*(self._send(target, pieces) for _ in range(count)))

    async def close(self) -> None:
        """Close the connections of all clients."""
        for task in self._drips:
            task.cancel()
        await asyncio.gather(*self._drips, return_exceptions=True)
        for connection in self._sockets:
            connection.close()

    async def _send(
        self, target: Target, pieces: Callable[[Target], Iterator[bytes]]
    ) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        self._sockets.append(connection)
        host, _, port = target.address.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with self._connecting, asyncio.timeout(SEND_TIMEOUT_SECONDS):
                await loop.sock_connect(connection, (host, int(port)))
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                for piece in pieces(target):
                    await loop.sock_sendall(connection, piece)
            if self._drip or self._reads_slowly:
                self._drips.append(asyncio.create_task(self._keep_on(connection)))

    async def _keep_on(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(DRIP_SECONDS)
                if self._drip:
                    await loop.sock_sendall(connection, self._drip)
                if self._reads_slowly:
                    with contextlib.suppress(BlockingIOError):
                        connection.recv(1)


class ProcessWatch:
    """
    Watches the memory and the descriptors of a process.

    :param pid: id of the process.
    :ivar most_descriptors: largest number of open descriptors seen.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self.most_descriptors = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def peak_megabytes(self) -> float:
        """Largest resident memory up to now."""
        return self._read_megabytes("VmHWM")

    @property
    def megabytes(self) -> float:
        """Resident memory."""
        return self._read_megabytes("VmRSS")

    async def settle(self) -> None:
        """Wait until the memory no longer grows, within a limit."""
        peak, quiet, waited = self.peak_megabytes, 0.0, 0.0
        while quiet < SETTLED_SECONDS and waited < MAX_SETTLE_SECONDS:
            await asyncio.sleep(0.1)
            waited += 0.1
            quiet = quiet + 0.1 if self.peak_megabytes <= peak else 0.0
            peak = max(peak, self.peak_megabytes)

    def _read_megabytes(self, field: str) -> float:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1_024
        return 0.0

    async def _watch(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            while True:
                opened = len(os.listdir(self._folder / "fd"))
                self.most_descriptors = max(self.most_descriptors, opened)
                await asyncio.sleep(0.02)
