"""Time limits of the bodies of backend servers' responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader

from sycamorehaven.exceptions.backends import RunPreempted, ServerSilent
from sycamorehaven.transport.responses import BodyDeadlinePassed, HttpBackendResponse

if TYPE_CHECKING:
    import aiohttp

SILENCE_SECONDS = 0.2


class ConnectedProtocol(BaseProtocol):
    """A protocol whose connection is open."""

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return True

    def resume_reading(self, resume_parser: bool = True) -> None:  # noqa: FBT001, FBT002
        """Do nothing, since nothing is paused."""


class FakeResponse:
    """A response whose body a test feeds."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.content = StreamReader(ConnectedProtocol(loop), 65_536, loop=loop)
        self.connection = None
        self.headers: dict[str, str] = {}
        self.is_closed = False

    def close(self) -> None:
        """Record that the response was closed."""
        self.is_closed = True


def create_response(
    lost: list[str] | None = None,
) -> tuple[FakeResponse, HttpBackendResponse]:
    """Return a response with a limit on the silence in its body."""
    fake = FakeResponse()
    response = HttpBackendResponse(
        cast("aiohttp.ClientResponse", cast("Any", fake)),
        SILENCE_SECONDS,
        lambda: (lost if lost is not None else []).append("lost"),
        lambda: None,
    )
    return fake, response


async def fail_to_read(response: HttpBackendResponse) -> BaseException:
    """Return what the next read raises."""
    try:
        async with asyncio.timeout(5.0):
            await response.read_chunk()
    except Exception as error:  # noqa: BLE001
        return error
    raise AssertionError("the read returned a chunk")


async def test_silence_ends_a_read_and_slow_chunks_do_not() -> None:
    lost: list[str] = []
    fake, response = create_response(lost)
    for _ in range(4):
        loop = asyncio.get_running_loop()
        loop.call_later(0.6 * SILENCE_SECONDS, fake.content.feed_data, b"x")
        assert await response.read_chunk() == b"x"
    assert isinstance(await fail_to_read(response), ServerSilent)
    assert lost == ["lost"]


async def test_time_that_the_client_takes_is_no_silence() -> None:
    fake, response = create_response()
    fake.content.feed_data(b"x")
    assert await response.read_chunk() == b"x"
    await asyncio.sleep(2 * SILENCE_SECONDS)
    asyncio.get_running_loop().call_later(0.01, fake.content.feed_data, b"y")
    assert await response.read_chunk() == b"y"


async def test_body_without_end_is_ended_at_its_deadline() -> None:
    fake, response = create_response()
    response.set_deadline(asyncio.get_running_loop().time() + 0.1)
    error: BaseException | None = None
    for _ in range(100_000):
        fake.content.feed_data(b"x")
        try:
            await response.read_chunk()
        except BodyDeadlinePassed as passed:
            error = passed
            break
        await asyncio.sleep(0)
    assert isinstance(error, BodyDeadlinePassed)


async def test_silent_body_is_ended_at_its_deadline() -> None:
    lost: list[str] = []
    _, response = create_response(lost)
    response.set_deadline(asyncio.get_running_loop().time() + SILENCE_SECONDS / 2)
    assert isinstance(await fail_to_read(response), BodyDeadlinePassed)
    assert not lost


async def test_deadline_that_is_set_late_ends_a_silent_body_in_time() -> None:
    fake, response = create_response()
    response.set_chunk_timeout(3.0)
    fake.content.feed_data(b"x")
    assert await response.read_chunk() == b"x"
    loop = asyncio.get_running_loop()
    response.set_deadline(loop.time() + 0.1)
    async with asyncio.timeout(1.0):
        assert isinstance(await fail_to_read(response), BodyDeadlinePassed)


async def test_interrupted_read_is_preempted() -> None:
    _, response = create_response()
    asyncio.get_running_loop().call_later(0.01, response.interrupt)
    assert isinstance(await fail_to_read(response), RunPreempted)
    assert isinstance(await fail_to_read(response), RunPreempted)
