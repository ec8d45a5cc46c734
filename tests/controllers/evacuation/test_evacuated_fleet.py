"""A fleet with schedulers of engines, while a failure domain is evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.routing.model import Evacuation
from tests.support.engine_fleet_simulation import (
    EngineFleetSimulation,
    compute_rates,
)

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.members import Member
    from sycamorehaven.controllers.reservations import ServerReservation
    from sycamorehaven.routing.requests import RoutedRequest

ROUTERS = 24
ENGINES = 12
BEGINS_AT = 2.0
ENDS_AT = 5.0
SPREAD_SECONDS = 0.8
"""Time between the first and the last router that learns of a change."""
LOAD = 0.55
"""Part of what the engines read; three quarters of them can do it."""


class EvacuatedFleet(EngineFleetSimulation):
    """
    Evacuates the failure domain ``a`` for a while.

    :ivar placed: failure domain and time of each placement.
    """

    def __init__(self) -> None:
        self.boards: list[Blackboard] = []
        super().__init__(ROUTERS, ENGINES)
        self.placed: list[tuple[str, float]] = []

    def _start_router(
        self, board: Blackboard, members: dict[str, Member], offset: float
    ) -> None:
        self.boards.append(board)
        super()._start_router(board, members, offset)
        begin, end = (Evacuation("a", 2),), ()
        late = offset * SPREAD_SECONDS
        for delay, revision, evacuations in ((BEGINS_AT, 2, begin), (ENDS_AT, 3, end)):

            def apply(
                revision: int = revision,
                evacuations: tuple[Evacuation, ...] = evacuations,
            ) -> None:
                snapshot = self.build_snapshot()._replace(
                    revision=revision, evacuations=evacuations
                )
                board.routing.apply_snapshot(snapshot, self._clock())

            self.schedule(delay + late, apply)

    def _run_on_engine(
        self, request: RoutedRequest, reservation: ServerReservation
    ) -> None:
        at = self._clock() - self._started_at
        self.placed.append((reservation.server.failure_domain, at))
        super()._run_on_engine(request, reservation)


async def test_evacuated_engines_with_schedulers_get_nothing() -> None:
    fleet = EvacuatedFleet()
    rate = LOAD * fleet.read_rate / 8_000
    await fleet.run(compute_rates(rate, 4, 0.2), 7.0)
    late = BEGINS_AT + SPREAD_SECONDS
    during = [domain for domain, at in fleet.placed if late < at < ENDS_AT]
    after = [domain for domain, at in fleet.placed if at > ENDS_AT + SPREAD_SECONDS]
    assert "a" not in during
    assert "a" in after
    begun = sum(map(len, fleet.begins.values()))
    print(f"{begun} of {sum(fleet.asked.values())} requests began")
    assert begun > 0.97 * sum(fleet.asked.values())
