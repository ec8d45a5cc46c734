"""Narrows the candidates of a request down to the plain servers to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.plain_servers.choice import (
    ServerState,
    TrialSchedule,
    are_overloaded,
    compute_preference,
    find_best_servers,
)
from sycamorehaven.decisions.plain_servers.load_average import LoadAverage

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.candidates import CandidateFinder, PendingRequest
    from sycamorehaven.controllers.service_load import ServerView, ServiceLoad
    from sycamorehaven.decisions.placement import Candidate

SINGLE_RUN_SMOOTHING_RATIO = 0.05
"""Weight of the newest request in the fraction of those that may run once."""
MIN_FREE_SLOTS = 0.5
"""Free slots with which a server counts at least while others fail. How much
it gets then follows from the average load of all servers."""


class PlainServerSelector:
    """
    Leaves out the plain servers that fail, and estimates times at the others.

    :param board: shared state of this router.
    :param finder: finds the servers with capacity for a request.
    """

    def __init__(self, board: Blackboard, finder: CandidateFinder) -> None:
        self._board = board
        self._finder = finder
        self._trials: dict[str, TrialSchedule] = {}
        self._averages: dict[str, LoadAverage] = {}
        self._observed: dict[str, tuple[float, ServerState]] = {}
        self._single_run_ratios: dict[str, float] = {}
        board.routing.changed.subscribe(self._forget_departed)

    def list_candidates(
        self, pending: PendingRequest, load: ServiceLoad, now: float
    ) -> list[Candidate]:
        """
        Return the servers that a request may go to now.

        :param load: the servers of the request's service.
        """
        service = pending.request.service
        if pending.prefixes or not self._board.routing.has_plain_servers(service):
            return self._finder.list_candidates(pending, load)
        states = {
            name: self._observe(view, now)
            for name, view in load.map_available(pending.excluded_servers).items()
        }
        self._update_trials(states, now)
        return [
            self._estimate(candidate, pending, states[candidate.server.id], now)
            for candidate in self._list_usable(pending, load, states, now)
        ]

    def record_request(self, pending: PendingRequest) -> None:
        """Count an attempt that is to be made."""
        service = pending.request.service
        if not self._board.routing.has_plain_servers(service):
            return
        ratio = self._single_run_ratios.get(service, 0.5)
        ratio += (float(not _can_repeat(pending)) - ratio) * SINGLE_RUN_SMOOTHING_RATIO
        self._single_run_ratios[service] = ratio

    def record_placement(self, server: str, now: float) -> None:
        """Record that a request goes to a server, which may be a trial."""
        trial = self._trials.get(server)
        if trial is not None and trial.is_due(now):
            trial.take(self._board.members.count(), now)

    def _forget_departed(self) -> None:
        servers = self._board.routing.list_server_ids()
        for name in self._averages.keys() - servers:
            self._averages.pop(name)
            self._observed.pop(name, None)
            self._trials.pop(name, None)

    def _observe(self, view: ServerView, now: float) -> ServerState:
        name, requests = view.server.id, view.running_requests
        # All requests of a pass see the same states.
        known = self._observed.get(name)
        if known is not None and known[0] == now:
            return known[1]
        slots = view.server.slots
        average = self._averages.get(name)
        if average is None:
            average = self._averages[name] = LoadAverage(requests, slots, now)
        average.update(requests, slots, now)
        state = ServerState(
            self._board.plain_servers.estimate_failures(name, now),
            slots,
            average.requests,
            average.busy_slots,
        )
        self._observed[name] = now, state
        return state

    def _list_usable(
        self,
        pending: PendingRequest,
        load: ServiceLoad,
        states: Mapping[str, ServerState],
        now: float,
    ) -> list[Candidate]:
        """Return the candidates among the servers that a request may go to."""
        best = find_best_servers(states) if states else set()
        if len(best) == len(states) or are_overloaded(states.values()):
            return self._finder.list_candidates(pending, load)
        usable = self._choose_usable(pending, states, best, now)
        candidates = self._finder.list_candidates(pending, load, includes_full=True)
        return [
            candidate._replace(
                running_requests=min(
                    states[candidate.server.id].requests,
                    candidate.server.slots - MIN_FREE_SLOTS,
                )
            )
            for candidate in candidates
            if candidate.server.id in usable
        ]

    def _choose_usable(
        self,
        pending: PendingRequest,
        states: Mapping[str, ServerState],
        best: Collection[str],
        now: float,
    ) -> Collection[str]:
        """Return the ids of the servers that a request may go to now."""
        can_repeat = _can_repeat(pending)
        if can_repeat:
            for name, trial in self._trials.items():
                if name in states and name not in best and trial.is_due(now):
                    return {name}
        ratio = self._single_run_ratios.get(pending.request.service, 0.5)
        preference = compute_preference(states, best, ratio)
        part = preference.repeatable if can_repeat else preference.single_run
        return best if pending.position < part else states.keys() - best

    def _update_trials(self, states: Mapping[str, ServerState], now: float) -> None:
        members, host = self._board.members.count(), self._board.identity.host
        for name, state in states.items():
            if not state.estimate.is_failing:
                self._trials.pop(name, None)
            elif name not in self._trials:
                self._trials[name] = TrialSchedule(host, name, members, now)

    def _estimate(
        self,
        candidate: Candidate,
        pending: PendingRequest,
        state: ServerState,
        now: float,
    ) -> Candidate:
        """Return a candidate with the expected failure ratio and time."""
        section = self._board.plain_servers
        slowdown = section.get_slowdown(candidate.server.id)
        usual_seconds = section.service_times.get(pending.request.route.name)
        return candidate._replace(
            error_ratio=state.estimate.combine_ratio(candidate.error_ratio),
            service_seconds=usual_seconds * slowdown.estimate_factor(now),
        )


def _can_repeat(pending: PendingRequest) -> bool:
    """Return whether a request may be sent to another server if it fails."""
    route = pending.request.route
    return (
        route.is_repeatable and len(pending.excluded_servers) + 1 < route.max_attempts
    )
