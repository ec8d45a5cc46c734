"""Keeps one request from servers that it would crash."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from sycamorehaven.controllers.routed_refusals import create_quarantine_refusal
from sycamorehaven.decisions.strikes import SuspectKeys, hash_part

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sycamorehaven.controllers.forwarding import ForwardingController
    from sycamorehaven.decisions.crash_blame import Culprit
    from sycamorehaven.exceptions.refusals import Refusal
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import RoutedRequest


class CrashGuard:
    """
    Applies the strikes of the fleet to one request, and adds to them.

    :param controller: provides the strikes and the context.
    :param request: the request.
    """

    def __init__(
        self, controller: ForwardingController, request: RoutedRequest
    ) -> None:
        self._strikes = controller.strikes
        self._context = controller.context
        self._request = request
        self._keys = SuspectKeys.from_request(request)
        self._tried: set[frozenset[int]] = set()
        self._interrupted_by: Culprit | None = None
        self._timeout: asyncio.Timeout | None = None

    @property
    def suspect_keys(self) -> SuspectKeys:
        """What of the request may crash a server."""
        return self._keys

    @property
    def interrupted_by(self) -> Culprit | None:
        """What the request was interrupted for, ``None`` if it was not."""
        return self._interrupted_by

    @property
    def is_blamed(self) -> bool:
        """Whether the request is blamed, and is not the one that is tried."""
        culprits = self._strikes.find_culprits(self._keys)
        return any(culprit.keys not in self._tried for culprit in culprits)

    async def admit(self) -> None:
        """
        Check that the request may be sent to servers, or be tried at one.

        :raises CrashSuspected: if it may not.
        """
        culprits = self._strikes.find_culprits(self._keys)
        if not culprits:
            return
        now = self._context.clock()
        culprit = max(culprits, key=lambda culprit: culprit.blocked_until)
        if now < culprit.blocked_until or not await self._strikes.try_acquire_trial(
            culprit
        ):
            raise self._create_refusal(culprit, may_have_run=False)
        self._tried = {culprit.keys for culprit in culprits}
        self._context.decision_log.record(
            "suspect_tried",
            request=self._request.head.attempt_id,
            suspect=culprit.name,
            crashes=len(culprit.losses),
        )

    def check(self, *, may_have_run: bool) -> None:
        """
        Check that the request is not blamed by now.

        :param may_have_run: whether any attempt may have run on a server.
        :raises Refusal: if it is, and is not the one that is tried.
        """
        for culprit in self._strikes.find_culprits(self._keys):
            if culprit.keys not in self._tried:
                raise self._create_refusal(culprit, may_have_run=may_have_run)

    @contextlib.contextmanager
    def interrupt_through(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """
        Let a timeout expire at once if the request is blamed meanwhile.

        It does no longer once a server has begun the answer.
        """
        self._timeout = timeout
        self._strikes.add_waiting(self)
        try:
            yield
        finally:
            self._strikes.remove_waiting(self)

    def interrupt(self, culprit: Culprit) -> None:
        """End the waiting for an answer, because the request is blamed."""
        if culprit.keys in self._tried or self._timeout is None:
            return
        # A timeout that has expired can't be made to expire again.
        if self._timeout.expired():
            return
        self._interrupted_by = culprit
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def create_interruption_refusal(self, *, may_have_run: bool) -> Refusal:
        """
        Return the refusal of an interrupted request.

        :param may_have_run: whether any attempt may have run on a server.
        """
        assert self._interrupted_by is not None
        return self._create_refusal(self._interrupted_by, may_have_run=may_have_run)

    def report_loss(self, server: ServerRecord, *, has_begun: bool) -> None:
        """
        Record that a server was lost while it ran the request.

        :param has_begun: whether it had begun its answer.
        """
        self._tried.clear()
        self._strikes.report_loss(
            self._keys, server.incarnation_id, has_begun=has_begun
        )

    def report_begin(self) -> None:
        """Record that a server has begun the answer."""
        self._strikes.remove_waiting(self)
        self._strikes.report_begin(self._keys)

    def report_progress(self, server: ServerRecord, sent_at: float) -> None:
        """
        Record that a server goes on with the answer.

        :param sent_at: when the request was sent, in monotonic seconds.
        """
        self._strikes.report_progress(server.incarnation_id, sent_at)

    def report_success(self) -> None:
        """Record that a server has answered the request completely."""
        self._strikes.report_success(self._keys)

    def _create_refusal(self, culprit: Culprit, *, may_have_run: bool) -> Refusal:
        service, now = self._request.service, self._context.clock()
        parts = [
            part.key
            for part in self._request.head.prompt_parts
            if hash_part(service, part.key) in culprit.keys
        ]
        refusal = create_quarantine_refusal(
            culprit, parts, now, may_have_run=may_have_run
        )
        kind = "request" if culprit.is_request else "part"
        self._context.metrics.quarantined_requests.labels(kind).inc()
        self._context.decision_log.record(
            "quarantined",
            request=self._request.head.attempt_id,
            workspace=self._request.workspace,
            suspect=culprit.name,
            kind=kind,
            parts=parts,
            crashes=len(culprit.losses),
            servers={
                server: round(now - lost_at, 3)
                for server, lost_at in culprit.losses.items()
            },
            may_have_run=may_have_run,
            retry_after=refusal.retry_after,
        )
        return refusal
