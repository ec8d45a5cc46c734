"""Checks of a router that faces clients that don't keep to the limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from tests.support.fleet import wait_for
from tests.support.hostile_clients import Crowd, ProcessWatch, Target
from tests.support.hostile_routers import MEMORY_MEGABYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
MAX_DESCRIPTORS = 496
"""Bound of open descriptors, those to servers, peers and the store included;
the router must never be unable to open another."""
ANSWER_SECONDS = 10.0
"""Time in which one ordinary request must be answered; a rejection that tells
when to come back is no answer."""


class HostileRouter(Protocol):
    """A router process and what its clients may ask for."""

    watch: ProcessWatch
    targets: tuple[Target, ...]

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        ...

    async def is_served(self) -> bool:
        """Return whether an ordinary request to each listener is answered."""
        ...


async def check_crowd(
    router: HostileRouter,
    count: int,
    pieces: Callable[[Target], Iterator[bytes]],
    drip: bytes = b"",
    *,
    reads_slowly: bool = False,
) -> None:
    """
    Check that a router outlives a crowd at each of its targets.

    :param count: clients at each target.
    :param pieces: yields what one of them sends.
    :param drip: byte that each sends slowly after that.
    :param reads_slowly: whether they read slowly.
    """
    crowd, faults, watch = Crowd(drip, reads_slowly=reads_slowly), [], router.watch
    try:
        for target in router.targets:
            megabytes = watch.megabytes
            await crowd.send(target, count, pieces)
            if router.is_alive():
                await watch.settle()
            if not router.is_alive():
                faults.append(f"{target.name}: the process has ended")
                break
            peak = watch.peak_megabytes
            if peak > MEMORY_MEGABYTES:
                faults.append(f"{target.name}: {megabytes:.0f} MB grew to {peak:.0f}")
            if watch.most_descriptors > MAX_DESCRIPTORS:
                faults.append(f"{target.name}: {watch.most_descriptors} descriptors")
            if not await is_served_in_time(router):
                faults.append(f"{target.name}: no answer to an ordinary request")
                break
            print(f"{target.name}: {peak:.0f} MB, {watch.most_descriptors} open")
    finally:
        await crowd.close()
    assert not faults, "; ".join(faults)


async def exchange(target: Target, pieces: Iterator[bytes], pause: float = 0.0) -> int:
    """
    Send the pieces of one request; return the status of the response.

    :param pause: seconds between two pieces.
    """
    host, _, port = target.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause)
        return int((await reader.readline()).split()[1])
    finally:
        writer.close()


async def is_served_in_time(router: HostileRouter) -> bool:
    """Return whether ordinary requests are answered in the end."""
    try:
        await wait_for(router.is_served, ANSWER_SECONDS)
    except TimeoutError:
        return False
    return True
