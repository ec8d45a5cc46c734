"""Records of what callers, backend servers and the soak itself observed."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """
    A request of a caller, with times in monotonic seconds.

    :ivar attempt: attempt id of the request.
    :ivar route: name of the route.
    :ivar router: host of the router that received the request.
    :ivar key: API key that was sent.
    :ivar sent_at: time at which the request was sent.
    :ivar ended_at: time at which the answer ended or the connection failed.
    :ivar timeout: deadline that was sent, in seconds from the start.
    :ivar status: HTTP status of the answer, 0 without an answer.
    :ivar signed: whether the answer carries the signature of a server.
    :ivar body: the part of the body that was received.
    :ivar outcome: ``"whole"`` for a complete answer, ``"broken"`` for a failed
        connection or ``"cancelled"`` by the caller.
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

    :ivar attempt: attempt id of the request.
    :ivar server: id of the server.
    :ivar service: name of the service that the server serves.
    :ivar path: path of the request.
    :ivar began_at: start of the run in monotonic seconds.
    :ivar ended_at: end of the run in monotonic seconds, 0 while it runs.
    :ivar cut: whether the connection was closed before the run ended.
    """

    attempt: str
    server: str
    service: str
    path: str
    began_at: float
    ended_at: float = 0.0
    cut: bool = False


SOAK_TARGET = "soak"
"""Target of the disturbances during which the soak itself stalled."""


class Disturbance(NamedTuple):
    """
    A fault, a change by the operator or a stall of the soak itself.

    :ivar kind: kind of the fault or change.
    :ivar target: the process, connection or role that was disturbed.
    :ivar began_at: start in monotonic seconds.
    :ivar ended_at: end in monotonic seconds.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float


class SoakRecord(NamedTuple):
    """
    Everything that was observed during a soak.

    :ivar requests: requests of the callers.
    :ivar runs: runs of requests at the backend servers.
    :ivar disturbances: everything that may have delayed requests.
    :ivar log_events: events in the routers' logs by attempt id; under "" those
        that report omitted lines.
    :ivar unexpected_exits: descriptions of processes that exited unexpectedly.
    """

    requests: list[CallerRequest]
    runs: list[Run]
    disturbances: list[Disturbance]
    log_events: dict[str, list[str]]
    unexpected_exits: list[str]

    def group_runs(self) -> dict[str, list[Run]]:
        """Return the runs grouped by attempt id."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.attempt, []).append(run)
        return runs

    def is_undisturbed(
        self, begins: float, ends: float, *targets: str, before: float
    ) -> bool:
        """
        Return whether no disturbance of the targets overlaps a period.

        :param begins: start of the period in monotonic seconds.
        :param ends: end of the period in monotonic seconds.
        :param targets: targets of disturbances that count.
        :param before: seconds before the period that must be undisturbed, too.
        """
        return not any(
            disturbance.target in targets
            and disturbance.began_at <= ends
            and disturbance.ended_at >= begins - before
            for disturbance in self.disturbances
        )
