"""Spreads the news of backend servers that leave or serve again."""

from __future__ import annotations

import random as standard_random
import time
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from absl import logging
from mode import Service

from sycamorehaven.blackboard.leaving import LONGEST_GAP
from sycamorehaven.decisions.leaving import (
    LEAVING,
    LISTED,
    REPORTED,
    ListedView,
    Register,
    create_version,
    is_news,
    is_worth_repeating,
    judge_listing,
    judge_report,
    update_view,
)
from sycamorehaven.decisions.revisions import FANOUT, choose_targets
from sycamorehaven.transport.messages.servers import (
    NoticeRequest,
    ServerNews,
    ServerNotice,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

TICK = 0.25
"""Seconds between looks at what has become due."""
REFRESH = 1.0
"""Seconds between repeats of what still matters, to one member each."""
REFRESHED_ROWS = 24
"""Rows in one repeat."""
SECOND_ROUND = 0.5
"""Seconds after which news is passed on again, to other members."""
MOST_ROWS = 1_600
"""Rows in one answer: both sources of the target's 800 servers."""
MOST_HOPS = 16
ANSWER_WAIT = 0.5
"""Seconds in which peers are asked for news after a start or a pause."""
PEERS_ASKED = 3


class Asking(NamedTuple):
    """
    Peers have been asked for news.

    :ivar until: when the wait for an answer ends, monotonic seconds.
    """

    until: float


class Again(NamedTuple):
    """
    A notice to pass on once more.

    :ivar due_at: when, monotonic seconds.
    :ivar notice: the notice.
    """

    due_at: float
    notice: ServerNotice


class NoticeController(Service):
    """
    Keeps and spreads what is known of leaving servers.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
    :param wall_clock: seconds since the epoch, for versions.
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
        self._views: dict[str, ListedView] = {}
        self._asking: Asking | None = None
        self._again: list[Again] = []
        self._ticked_at: float | None = None
        self._refreshed_at = clock()
        self._place = 0
        link.subscribe(ServerNotice, self._take_notice)
        link.subscribe(NoticeRequest, self._answer)
        board.configuration.changed.subscribe(self._follow_configuration)

    def note_listed(self, listed: Mapping[str, bool]) -> None:
        """
        Take in a reading of the host list.

        :param listed: by backend server, whether it is listed as leaving.
        """
        now = self._clock()
        found: dict[str, str] = {}
        for server, leaving in listed.items():
            view = update_view(self._views.get(server), leaving=leaving, now=now)
            self._views[server] = view
            known = self._board.leaving.find(server, LISTED)
            state = judge_listing(view, known, now)
            if state is not None:
                found[server] = state
        self._tell(found, LISTED)

    def note_report(self, server: str, *, leaving: bool) -> None:
        """Take in what a server's load report says."""
        known = self._board.leaving.find(server, REPORTED)
        state = judge_report(leaving=leaving, known=known, now=self._clock())
        if state is not None:
            self._tell({server: state}, REPORTED)

    def note_refusal(self, server: str) -> None:
        """Take in that a server refused a call because it is leaving."""
        self._tell({server: LEAVING}, REPORTED)

    def tick(self) -> None:
        """Carry out what has become due; nothing without a configuration."""
        if self._board.configuration.current is None:
            return
        now = self._clock()
        paused = self._ticked_at is not None and now - self._ticked_at > LONGEST_GAP
        if self._ticked_at is None or paused:
            self._ask(now)
        self._ticked_at = now
        if self._asking is not None and now >= self._asking.until:
            self._asking = None
        if self._asking is None:
            self._board.leaving.update(now)
        while self._again and now >= self._again[0].due_at:
            self._pass_on(self._again.pop(0).notice)
        if now - self._refreshed_at >= REFRESH:
            self._refreshed_at = now
            self._repeat(now)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK)

    def _ask(self, now: float) -> None:
        hosts = self._choose_members(PEERS_ASKED)
        if not hosts:
            return
        self._asking = Asking(now + ANSWER_WAIT)
        self._board.leaving.suspend()
        for host in hosts:
            self._link.send(host, NoticeRequest())

    def _tell(self, found: Mapping[str, str], source: str) -> None:
        milliseconds = int(self._wall_clock() * 1_000)
        rows = []
        for server, state in found.items():
            known = self._board.leaving.find(server, source)
            version = create_version(known, milliseconds)
            rows.append(ServerNews(server, source, state, version))
        self._learn(rows, MOST_HOPS)

    def _learn(self, rows: list[ServerNews], hops: int) -> None:
        news = [row for row in rows if self._put(row)]
        if not news or hops <= 0:
            return
        notice = ServerNotice(hops - 1, news)
        self._again.append(Again(self._clock() + SECOND_ROUND, notice))
        self._pass_on(notice)

    def _pass_on(self, notice: ServerNotice) -> None:
        for host in self._choose_members(FANOUT):
            self._link.send(host, notice)

    def _put(self, row: ServerNews) -> bool:
        if not self._is_configured(row.server):
            return False
        known = self._board.leaving.find(row.server, row.source)
        if not is_news(row, known):
            return False
        if known is None or known.state != row.state:
            logging.info("server %s is %s by %s", row.server, row.state, row.source)
        register = Register(row.state, row.version, self._clock())
        self._board.leaving.put(row.server, row.source, register)
        return True

    def _is_configured(self, server: str) -> bool:
        configuration = self._board.configuration.current
        return configuration is not None and server in configuration.servers

    def _take_notice(self, delivery: Delivery) -> None:
        notice: ServerNotice = delivery.message
        newer = [
            ServerNews(row.server, row.source, known.state, known.version)
            for row in notice.rows
            if (known := self._board.leaving.find(row.server, row.source))
            and known.version > row.version
        ]
        self._learn(notice.rows, min(notice.hops, MOST_HOPS))
        if newer:
            self._link.send_to(delivery.address, ServerNotice(1, newer))
        if self._asking is not None and notice.hops == 0:
            self._asking = None
            self._board.leaving.update(self._clock())

    def _answer(self, delivery: Delivery) -> None:
        rows = self._list_rows(self._clock())[:MOST_ROWS]
        self._link.send_to(delivery.address, ServerNotice(0, rows))

    def _repeat(self, now: float) -> None:
        rows = self._list_rows(now)
        if not rows:
            return
        self._place = (self._place + REFRESHED_ROWS) % len(rows)
        turned = rows[self._place :] + rows[: self._place]
        notice = ServerNotice(1, list(islice(turned, REFRESHED_ROWS)))
        for host in self._choose_members(1):
            self._link.send(host, notice)

    def _list_rows(self, now: float) -> list[ServerNews]:
        return [
            ServerNews(server, source, register.state, register.version)
            for server, source, register in self._board.leaving.list()
            if is_worth_repeating(register, now)
        ]

    def _choose_members(self, count: int) -> list[str]:
        own = self._board.identity.host
        hosts = [m.host for m in self._board.members.list() if m.host != own]
        return choose_targets(hosts, count, self._random)

    def _follow_configuration(self) -> None:
        configuration = self._board.configuration.current
        if configuration is not None:
            self._board.leaving.retain(configuration.servers)
        if self._ticked_at is None:
            self.tick()
