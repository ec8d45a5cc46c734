"""
Spreads notices of backend servers that are leaving or serve again.

A notice is gossiped: each router that learns something new from it forwards
it to a few members, twice. What still matters is also repeated regularly, so
that lost messages delay a notice but do not lose it.
"""

from __future__ import annotations

import random as standard_random
import time
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from absl import logging
from mode import Service

from sycamorehaven.blackboard.departures import STALE_AFTER_SECONDS
from sycamorehaven.decisions.configuration_polling import (
    GOSSIP_FANOUT,
    choose_gossip_targets,
)
from sycamorehaven.decisions.server_departure import (
    HOST_LIST_SOURCE,
    LEAVING,
    SERVER_SOURCE,
    HostListObservation,
    StateRegister,
    create_version,
    decide_state_from_listing,
    decide_state_from_report,
    is_newer_state,
    should_repeat,
    update_observation,
)
from sycamorehaven.transport.messages.servers import (
    NoticeRequest,
    ServerNotice,
    ServerStateRow,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

TICK_PERIOD_SECONDS = 0.25
"""Interval at which scheduled messages and timeouts are checked."""
REPEAT_PERIOD_SECONDS = 1.0
"""Interval at which current notices are repeated to one random member."""
MAX_ROWS_PER_REPEAT = 24
"""Rows in one repeat; the others follow in turn."""
SECOND_FORWARD_DELAY_SECONDS = 0.5
"""Time after which a notice is forwarded again, to other random members."""
MAX_ROWS_PER_REPLY = 1_600
"""
Rows in one reply.

Two, one for each source, for each of the 800 servers of the target fleet.
"""
MAX_HOPS = 16
"""Times that a notice may be forwarded from router to router."""
REPLY_TIMEOUT_SECONDS = 0.5
"""Time for which replies of peers are awaited after a start or a pause."""
REQUEST_FANOUT = 3
"""Peers asked for their notices after a start or a pause."""


class PendingNoticeRequest(NamedTuple):
    """
    A request for notices that was sent to peers and is not answered yet.

    :ivar deadline: when the wait for a reply ends, monotonic seconds.
    """

    deadline: float


class ScheduledForward(NamedTuple):
    """
    A notice that is to be forwarded a second time.

    :ivar due_at: when it is to be forwarded, monotonic seconds.
    :ivar notice: the notice.
    """

    due_at: float
    notice: ServerNotice


class ServerNoticeController(Service):
    """
    Records which servers are leaving and spreads this to the other routers.

    After a start or a pause of the process the recorded states may be
    outdated, so no new work is sent to any server until a peer has replied
    with its states or the wait for a reply has ended.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param clock: returns the monotonic time in seconds.
    :param wall_clock: returns seconds since the epoch, for version numbers.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._wall_clock = wall_clock
        self._random: Random = standard_random.Random(board.identity.incarnation)
        self._list_observations: dict[str, HostListObservation] = {}
        self._pending_request: PendingNoticeRequest | None = None
        self._scheduled_forwards: list[ScheduledForward] = []
        self._last_tick_at: float | None = None
        self._last_repeat_at = clock()
        self._repeat_offset = 0
        link.subscribe(ServerNotice, self._handle_notice)
        link.subscribe(NoticeRequest, self._handle_request)
        board.configuration.changed.subscribe(self._handle_configuration_change)

    def record_listing(self, listed: Mapping[str, bool]) -> None:
        """
        Record a reading of the host list.

        The host list controller calls this.

        :param listed: whether each backend server is listed as leaving.
        """
        now = self._clock()
        states: dict[str, str] = {}
        for server, leaving in listed.items():
            observation = update_observation(
                self._list_observations.get(server), leaving=leaving, now=now
            )
            self._list_observations[server] = observation
            known = self._board.departures.find_register(server, HOST_LIST_SOURCE)
            state = decide_state_from_listing(observation, known, now)
            if state is not None:
                states[server] = state
        self._publish_states(states, HOST_LIST_SOURCE)

    def record_load_report(self, server: str, *, leaving: bool) -> None:
        """Record the leaving state from a server's load report."""
        known = self._board.departures.find_register(server, SERVER_SOURCE)
        state = decide_state_from_report(
            leaving=leaving, known=known, now=self._clock()
        )
        if state is not None:
            self._publish_states({server: state}, SERVER_SOURCE)

    def record_refusal(self, server: str) -> None:
        """Record that a server refused a call because it is leaving."""
        self._publish_states({server: LEAVING}, SERVER_SOURCE)

    def tick(self) -> None:
        """Send what is due; do nothing while there is no configuration."""
        if self._board.configuration.current is None:
            return
        now = self._clock()
        was_paused = (
            self._last_tick_at is not None
            and now - self._last_tick_at > STALE_AFTER_SECONDS
        )
        if self._last_tick_at is None or was_paused:
            self._request_notices(now)
        self._last_tick_at = now
        if self._pending_request is not None and now >= self._pending_request.deadline:
            self._pending_request = None
        if self._pending_request is None:
            self._board.departures.mark_updated(now)
        while self._scheduled_forwards and now >= self._scheduled_forwards[0].due_at:
            self._forward(self._scheduled_forwards.pop(0).notice)
        if now - self._last_repeat_at >= REPEAT_PERIOD_SECONDS:
            self._last_repeat_at = now
            self._send_repeat(now)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_PERIOD_SECONDS)

    def _request_notices(self, now: float) -> None:
        hosts = self._choose_members(REQUEST_FANOUT)
        if not hosts:
            return
        self._pending_request = PendingNoticeRequest(now + REPLY_TIMEOUT_SECONDS)
        self._board.departures.mark_stale()
        for host in hosts:
            self._link.send(host, NoticeRequest())

    def _publish_states(self, states: Mapping[str, str], source: str) -> None:
        milliseconds = int(self._wall_clock() * 1_000)
        rows = []
        for server, state in states.items():
            known = self._board.departures.find_register(server, source)
            version = create_version(known, milliseconds)
            rows.append(ServerStateRow(server, source, state, version))
        self._merge_rows(rows, MAX_HOPS)

    def _merge_rows(self, rows: list[ServerStateRow], hops: int) -> None:
        newer_rows = [row for row in rows if self._store_row(row)]
        if not newer_rows or hops <= 0:
            return
        notice = ServerNotice(hops - 1, newer_rows)
        self._scheduled_forwards.append(
            ScheduledForward(self._clock() + SECOND_FORWARD_DELAY_SECONDS, notice)
        )
        self._forward(notice)

    def _forward(self, notice: ServerNotice) -> None:
        for host in self._choose_members(GOSSIP_FANOUT):
            self._link.send(host, notice)

    def _store_row(self, row: ServerStateRow) -> bool:
        """Store a row if it is news; return whether it was stored."""
        if not self._is_configured(row.server):
            return False
        known = self._board.departures.find_register(row.server, row.source)
        if not is_newer_state(row, known):
            return False
        if known is None or known.state != row.state:
            logging.info(
                "server %s is %s according to source %s",
                row.server,
                row.state,
                row.source,
            )
        register = StateRegister(row.state, row.version, self._clock())
        self._board.departures.put_register(row.server, row.source, register)
        return True

    def _is_configured(self, server: str) -> bool:
        configuration = self._board.configuration.current
        return configuration is not None and server in configuration.servers

    def _handle_notice(self, delivery: Delivery) -> None:
        notice: ServerNotice = delivery.message
        newer_rows = [
            ServerStateRow(row.server, row.source, known.state, known.version)
            for row in notice.rows
            if (known := self._board.departures.find_register(row.server, row.source))
            and known.version > row.version
        ]
        self._merge_rows(notice.rows, min(notice.hops, MAX_HOPS))
        if newer_rows:
            self._link.send_to(delivery.address, ServerNotice(1, newer_rows))
        if self._pending_request is not None and notice.hops == 0:
            self._pending_request = None
            self._board.departures.mark_updated(self._clock())

    def _handle_request(self, delivery: Delivery) -> None:
        rows = self._list_rows(self._clock())[:MAX_ROWS_PER_REPLY]
        self._link.send_to(delivery.address, ServerNotice(0, rows))

    def _send_repeat(self, now: float) -> None:
        rows = self._list_rows(now)
        if not rows:
            return
        self._repeat_offset = (self._repeat_offset + MAX_ROWS_PER_REPEAT) % len(rows)
        rotated = rows[self._repeat_offset :] + rows[: self._repeat_offset]
        notice = ServerNotice(1, list(islice(rotated, MAX_ROWS_PER_REPEAT)))
        for host in self._choose_members(1):
            self._link.send(host, notice)

    def _list_rows(self, now: float) -> list[ServerStateRow]:
        return [
            ServerStateRow(server, source, register.state, register.version)
            for server, source, register in self._board.departures.list_registers()
            if should_repeat(register, now)
        ]

    def _choose_members(self, count: int) -> list[str]:
        own = self._board.identity.host
        hosts = [m.host for m in self._board.members.list() if m.host != own]
        return choose_gossip_targets(hosts, count, self._random)

    def _handle_configuration_change(self) -> None:
        configuration = self._board.configuration.current
        if configuration is not None:
            self._board.departures.retain_servers(configuration.servers)
        if self._last_tick_at is None:
            self.tick()
