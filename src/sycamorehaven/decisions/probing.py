"""
Whom to probe, when to ask others for help, and whom to suspect.

Members are probed in a shuffled order that is gone through to its end before
it is shuffled again, so that each is probed within a bounded time. A probe
that is not acknowledged is repeated, directly and through other members,
before its target is reported as silent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from random import Random

    from sycamorehaven.transport.messages.membership import MemberRecord

PROBE_PERIOD = 0.5
"""Seconds between two targets."""
ACK_TIMEOUT = 0.3
"""Seconds for one attempt."""
ATTEMPTS = 3
"""Attempts before a target is reported as silent."""
HELPERS = 3
"""Members asked to probe the target at each repeated attempt."""


class Attempt(NamedTuple):
    """
    A probe to send.

    :ivar sequence: number that the acknowledgement echoes.
    :ivar host: the target.
    :ivar helpers: members to ask for an indirect probe.
    """

    sequence: int
    host: str
    helpers: tuple[str, ...]


class Target(NamedTuple):
    """
    A target that has not answered yet.

    :ivar host: its host.
    :ivar incarnation: incarnation that is probed.
    :ivar attempts: probes sent so far.
    :ivar sent_at: when the last was sent, monotonic seconds.
    """

    host: str
    incarnation: int
    attempts: int
    sent_at: float


class Round(NamedTuple):
    """
    What to do now.

    :ivar attempts: probes to send.
    :ivar silent: targets that did not answer any attempt.
    """

    attempts: list[Attempt]
    silent: list[Target]


class Prober:
    """
    The outstanding probes of one router.

    :param randomness: shuffles the order and picks helpers.
    """

    def __init__(self, randomness: Random) -> None:
        self._random = randomness
        self._order: list[str] = []
        self._targets: dict[int, Target] = {}
        self._sequence = 0
        self._next_at = 0.0

    def number(self) -> int:
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def advance(
        self, members: Mapping[str, MemberRecord], urgent: Collection[str], now: float
    ) -> Round:
        """
        Return the probes that are due.

        :param members: records by host, without this router.
        :param urgent: hosts to probe next.
        :param now: monotonic seconds.
        """
        attempts: list[Attempt] = []
        silent: list[Target] = []
        for sequence, target in list(self._targets.items()):
            if now - target.sent_at < ACK_TIMEOUT:
                continue
            if target.attempts < ATTEMPTS:
                attempts.append(self._repeat(sequence, target, members, now))
                continue
            del self._targets[sequence]
            silent.append(target)
        if now >= self._next_at:
            self._next_at = now + PROBE_PERIOD
            attempts += self._start(members, urgent, now)
        return Round(attempts, silent)

    def acknowledge(self, sequence: int) -> str | None:
        """Return the host whose probe was answered, or ``None``."""
        target = self._targets.pop(sequence, None)
        return target.host if target else None

    def reset(self, now: float) -> None:
        """Drop outstanding probes after a pause of this process."""
        self._targets.clear()
        self._next_at = now

    def pick(self, hosts: Collection[str], count: int) -> list[str]:
        """Return some of the hosts at random."""
        return self._random.sample(sorted(hosts), min(count, len(hosts)))

    def _start(
        self, members: Mapping[str, MemberRecord], urgent: Collection[str], now: float
    ) -> list[Attempt]:
        probed = {target.host for target in self._targets.values()}
        host = next((h for h in sorted(urgent) if h not in probed), None)
        host = host or self._take_next(members, probed)
        if host is None or host not in members:
            return []
        sequence = self.number()
        self._targets[sequence] = Target(host, members[host].incarnation, 1, now)
        return [Attempt(sequence, host, ())]

    def _take_next(
        self, members: Mapping[str, MemberRecord], probed: set[str]
    ) -> str | None:
        for _ in range(2):
            while self._order:
                host = self._order.pop()
                if host in members and host not in probed:
                    return host
            self._order = sorted(members)
            self._random.shuffle(self._order)
        return None

    def _repeat(
        self,
        sequence: int,
        target: Target,
        members: Mapping[str, MemberRecord],
        now: float,
    ) -> Attempt:
        self._targets[sequence] = target._replace(
            attempts=target.attempts + 1, sent_at=now
        )
        others = [host for host in members if host != target.host]
        return Attempt(sequence, target.host, tuple(self.pick(others, HELPERS)))
