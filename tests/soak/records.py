"""What callers, backend servers and the soak itself saw."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """
    One request of a caller; times in monotonic seconds.

    :ivar attempt: its id.
    :ivar route: name of its route.
    :ivar router: the router that it was sent to.
    :ivar key: key of its workspace.
    :ivar sent_at: when it was sent.
    :ivar ended_at: when its last byte came, or it broke.
    :ivar timeout: seconds that the caller waits.
    :ivar status: status of the answer, 0 for none.
    :ivar signed: whether the answer bears a server's signature.
    :ivar body: what came of the answer.
    :ivar outcome: ``"whole"``, ``"broken"`` or ``"cancelled"`` by the caller.
    """

    attempt: str
    route: str
    router: str
    key: str
    sent_at: float
    ended_at: float
    timeout: float
    status: int
    signed: bool
    body: bytes
    outcome: str


class Run(NamedTuple):
    """
    One run of a request at a backend server.

    :ivar attempt: id of the request.
    :ivar server: the server.
    :ivar service: what the server serves.
    :ivar path: path of the request.
    :ivar began_at: monotonic seconds.
    :ivar ended_at: the same, 0 while it runs.
    :ivar cut: whether its connection closed before its end.
    """

    attempt: str
    server: str
    service: str
    path: str
    began_at: float
    ended_at: float = 0.0
    cut: bool = False


SOAK_TARGET = "soak"
"""Target of the times at which the soak itself stood still."""


class Disturbance(NamedTuple):
    """
    A fault, or a change by the operator.

    :ivar kind: what was done.
    :ivar target: to what.
    :ivar began_at: monotonic seconds.
    :ivar ended_at: the same.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float


class SoakRecord(NamedTuple):
    """
    All that was seen.

    :ivar requests: requests of callers.
    :ivar runs: runs at servers.
    :ivar disturbances: faults and changes.
    :ivar log_events: lines of the routers' logs by request.
    :ivar unexpected_exits: processes that ended without being told to.
    """

    requests: list[CallerRequest]
    runs: list[Run]
    disturbances: list[Disturbance]
    log_events: dict[str, list[str]]
    unexpected_exits: list[str]

    def group_runs(self) -> dict[str, list[Run]]:
        """Return the runs by request."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.attempt, []).append(run)
        return runs

    def is_undisturbed(
        self, begins: float, ends: float, *targets: str, before: float
    ) -> bool:
        """
        Return whether nothing troubled some targets.

        :param before: seconds before ``begins`` that have to be calm, too.
        """
        return not any(
            disturbance.target in targets
            and disturbance.began_at <= ends
            and disturbance.ended_at >= begins - before
            for disturbance in self.disturbances
        )
