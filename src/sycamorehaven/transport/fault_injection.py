"""
Fault injection between routers, for tests on loopback addresses.

The setting ``[testing] peer_faults`` names a TOML file, which is read again
whenever it changes. All its keys are optional::

    cuts = [["127.0.0.1:7001", "127.0.0.1:7002"]]
    one_way = [["127.0.0.1:7001", "127.0.0.1:7003"]]
    loss = 0.2
    latest = 0.3
    seed = 7

``cuts`` lists pairs of addresses that cannot reach each other. ``one_way``
lists pairs of a sender and a receiver that the sender cannot reach; the
receiver may also be the platform or a backend server. ``loss`` is the
fraction of peer messages that are lost, ``latest`` the longest delay of a
peer message in seconds, and ``seed`` the seed of both.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

POLL_SECONDS = 0.05
"""Shortest time between two checks of the file for changes."""

LossRatio = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
DelaySeconds = Annotated[float, msgspec.Meta(ge=0.0, le=60.0)]


class PeerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """
    The contents of the file.

    :ivar cuts: pairs of addresses that cannot reach each other.
    :ivar one_way: pairs of a sender's address and a receiver's address that
        the sender cannot reach.
    :ivar loss: fraction of the messages that are lost.
    :ivar latest: longest delay of a message, seconds.
    :ivar seed: seed of the random losses and delays.
    """

    cuts: list[tuple[str, str]] = []
    one_way: list[tuple[str, str]] = []
    loss: LossRatio = 0.0
    latest: DelaySeconds = 0.0
    seed: int = 1


class _FileVersion(NamedTuple):
    modified_nanoseconds: int
    inode: int
    size: int


class FaultFileFilter:
    """
    A ``PeerFilter`` that injects the faults which a file describes.

    While the file cannot be read or is malformed, the previous faults stay
    in force.

    :param path: path of the file.
    :param address: this router's peer address. Only messages that it sends
        are lost at random, so that each message is at risk only once.
    :param clock: returns monotonic time, seconds.
    """

    def __init__(
        self, path: Path, address: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._path = path
        self._address = address
        self._clock = clock
        self._checked_at = float("-inf")
        self._file_version: _FileVersion | None = None
        self._faults = PeerFaults()
        self._blocked_pairs: frozenset[tuple[str, str]] = frozenset()
        self._random = random.Random(1)

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether no cut separates a sender from a receiver."""
        self._reload_if_changed()
        return (sender, receiver) not in self._blocked_pairs

    def should_deliver(self, sender: str, receiver: str) -> bool:
        """Return whether to deliver a message between two peer addresses."""
        if not self.can_reach(sender, receiver):
            return False
        if sender != self._address:
            return True
        return self._random.random() >= self._faults.loss

    def choose_delay(self) -> float:
        """Return the delay of the next message, seconds."""
        return self._random.uniform(0.0, self._faults.latest)

    def _reload_if_changed(self) -> None:
        now = self._clock()
        if now - self._checked_at < POLL_SECONDS:
            return
        self._checked_at = now
        try:
            stat = self._path.stat()
            file_version = _FileVersion(stat.st_mtime_ns, stat.st_ino, stat.st_size)
            if file_version != self._file_version:
                self._file_version = file_version
                self._load()
        except (OSError, UnicodeDecodeError, msgspec.MsgspecError) as error:
            logging.error(
                "the faults in %s cannot be read; the previous ones stay: %s",
                self._path,
                error,
            )

    def _load(self) -> None:
        faults = msgspec.toml.decode(self._path.read_bytes(), type=PeerFaults)
        both_ways = [*faults.cuts, *((b, a) for a, b in faults.cuts)]
        self._blocked_pairs = frozenset([*both_ways, *faults.one_way])
        self._random = random.Random(f"{faults.seed} {self._address}")
        self._faults = faults
