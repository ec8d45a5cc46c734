"""
Failure detection: which members to probe and which to report as unresponsive.

Members are probed in a shuffled order that is completed before it is shuffled
again, so that every member is probed within a bounded time. A probe that is
not acknowledged is repeated, both directly and through other members, before
its target is reported as unresponsive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from random import Random

    from sycamorehaven.transport.messages.membership import MemberRecord

PROBE_INTERVAL_SECONDS = 0.5
"""Time between the first probes of two targets."""
ACK_TIMEOUT_SECONDS = 0.3
"""Time to wait for the acknowledgement of one attempt."""
MAX_ATTEMPTS = 3
"""Attempts before a target is reported as unresponsive."""
INDIRECT_PROBES = 3
"""Number of members that are asked to probe the target at each repeat."""


class ProbeAttempt(NamedTuple):
    """
    Probe to send to a member.

    :ivar sequence: sequence number that the acknowledgement repeats.
    :ivar host: host to probe.
    :ivar helpers: hosts to ask for an indirect probe of the same target.
    """

    sequence: int
    host: str
    helpers: tuple[str, ...]


class PendingProbe(NamedTuple):
    """
    Probe that has not been acknowledged yet.

    :ivar host: probed host.
    :ivar incarnation: incarnation of the probed router.
    :ivar attempts: number of probes that were sent.
    :ivar sent_at: when the last of them was sent, monotonic seconds.
    """

    host: str
    incarnation: int
    attempts: int
    sent_at: float


class ProbeRound(NamedTuple):
    """
    Result of one check of the outstanding probes.

    :ivar attempts: probes to send now.
    :ivar unresponsive: targets that did not acknowledge any attempt.
    """

    attempts: list[ProbeAttempt]
    unresponsive: list[PendingProbe]


class Prober:
    """
    Chooses the members that one router probes, and tracks its probes.

    :param randomness: source of the probing order and of the helpers.
    """

    def __init__(self, randomness: Random) -> None:
        self._randomness = randomness
        self._host_order: list[str] = []
        self._pending: dict[int, PendingProbe] = {}
        self._sequence = 0
        self._next_probe_at = 0.0

    def create_sequence_number(self) -> int:
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def collect_due_probes(
        self,
        members: Mapping[str, MemberRecord],
        priority_hosts: Collection[str],
        now: float,
    ) -> ProbeRound:
        """
        Return the probes to send now and the targets that failed.

        :param members: records by host, without this router.
        :param priority_hosts: hosts to probe before the others.
        :param now: monotonic seconds.
        """
        attempts: list[ProbeAttempt] = []
        unresponsive: list[PendingProbe] = []
        for sequence, probe in list(self._pending.items()):
            if now - probe.sent_at < ACK_TIMEOUT_SECONDS:
                continue
            if probe.attempts < MAX_ATTEMPTS:
                attempts.append(self._repeat_probe(sequence, probe, members, now))
                continue
            del self._pending[sequence]
            unresponsive.append(probe)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS
            attempts += self._start_probe(members, priority_hosts, now)
        return ProbeRound(attempts, unresponsive)

    def acknowledge(self, sequence: int) -> str | None:
        """Return the host of an acknowledged probe, ``None`` if unknown."""
        probe = self._pending.pop(sequence, None)
        return probe.host if probe else None

    def reset(self, now: float) -> None:
        """Drop all outstanding probes after this process was paused."""
        self._pending.clear()
        self._next_probe_at = now

    def sample_hosts(self, hosts: Collection[str], count: int) -> list[str]:
        """Return up to ``count`` hosts, drawn at random."""
        return self._randomness.sample(sorted(hosts), min(count, len(hosts)))

    def _start_probe(
        self,
        members: Mapping[str, MemberRecord],
        priority_hosts: Collection[str],
        now: float,
    ) -> list[ProbeAttempt]:
        pending_hosts = {probe.host for probe in self._pending.values()}
        host = next(
            (
                candidate
                for candidate in sorted(priority_hosts)
                if candidate not in pending_hosts
            ),
            None,
        )
        host = host or self._choose_next_host(members, pending_hosts)
        if host is None or host not in members:
            return []
        sequence = self.create_sequence_number()
        self._pending[sequence] = PendingProbe(host, members[host].incarnation, 1, now)
        return [ProbeAttempt(sequence, host, ())]

    def _choose_next_host(
        self, members: Mapping[str, MemberRecord], pending_hosts: set[str]
    ) -> str | None:
        for _ in range(2):
            while self._host_order:
                host = self._host_order.pop()
                if host in members and host not in pending_hosts:
                    return host
            self._host_order = sorted(members)
            self._randomness.shuffle(self._host_order)
        return None

    def _repeat_probe(
        self,
        sequence: int,
        probe: PendingProbe,
        members: Mapping[str, MemberRecord],
        now: float,
    ) -> ProbeAttempt:
        self._pending[sequence] = probe._replace(
            attempts=probe.attempts + 1, sent_at=now
        )
        others = [host for host in members if host != probe.host]
        return ProbeAttempt(
            sequence, probe.host, tuple(self.sample_hosts(others, INDIRECT_PROBES))
        )
