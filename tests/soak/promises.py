"""What routers promise, checked against what was seen."""

from __future__ import annotations

import re
from bisect import bisect_left
from collections import defaultdict
from typing import TYPE_CHECKING

from tests.soak.backend import EVENTS, write_body, write_event
from tests.soak.faults import OPERATOR, STORE
from tests.soak.fleet import RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, SERVICES
from tests.soak.records import SOAK

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.soak.records import Record, Run, Sending

CONTACT = 4.0
"""Seconds without trouble after which bounds of time hold."""
ANSWER_SLACK = 0.5
"""Seconds past a deadline or a route's time limit."""
CANCEL_TIME = 0.5
"""Seconds in which a server is told that its caller has gone."""
CANCEL_SHARE = 0.25
"""Part of the cancelled runs that may last longer."""
ROUTE_TIMEOUT = 3.0
DRAIN_TIME = 3.0
"""Seconds after which a draining server gets nothing more."""
CONFIGURATION_TIME = 3.0
"""Seconds after which a configuration is in force."""
ATTEMPTS = {"look": 2, "book": 1, "stream": 2, "once-stream": 2}
"""Servers that one request may reach, by route."""
ONCE = ("book", "once-stream")
"""Routes whose requests may run once."""
NOT_RUN = (408, 421, 429, 503)
"""Statuses that tell that a request was not run."""
RECOVERED_SHARE = 0.25
"""Part of the requests that must be served once all faults are over."""
EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


def check_record(record: Record) -> list[str]:
    """Return what broke a promise, a line each."""
    return [finding for check in CHECKS for finding in check(record)]


def check_ends(record: Record) -> Iterator[str]:
    """No process ends by itself."""
    yield from record.ends


def check_once(record: Record) -> Iterator[str]:
    """A request that may run once runs once at most."""
    for attempt, runs in record.list_runs().items():
        if _find_route(runs[0]) in ONCE and len(runs) > 1:
            yield f"{attempt} ran {len(runs)} times: {runs}"


def check_attempts(record: Record) -> Iterator[str]:
    """A request reaches no more servers than its route allows."""
    for attempt, runs in record.list_runs().items():
        if len(runs) > ATTEMPTS[_find_route(runs[0])]:
            yield f"{attempt} reached too many servers: {runs}"


def check_refusals(record: Record) -> Iterator[str]:
    """A refusal that says "not run" is true."""
    runs = record.list_runs()
    for sending in record.sendings:
        if sending.status in NOT_RUN and sending.attempt in runs:
            yield f"{sending.attempt} got {sending.status}: {runs[sending.attempt]}"


def check_services(record: Record) -> Iterator[str]:
    """A request runs at the service of its route."""
    for run in record.runs:
        wanted = "model" if "stream" in run.path else "plain"
        if run.service != wanted or run.attempt not in run.path:
            yield f"{run.attempt} ran at {run.server}: {run}"


def check_answers(record: Record) -> Iterator[str]:
    """A success is a server's own answer, whole or visibly broken."""
    for sending in record.sendings:
        if sending.status != 200:  # noqa: PLR2004
            continue
        if not sending.signed:
            yield f"{sending.attempt} got a success without a signature"
        streams = "stream" in sending.route
        wanted = write_body(sending.attempt)
        if streams:
            wanted = b"".join(write_event(sending.attempt, n) for n in range(EVENTS))
        if not wanted.startswith(sending.body):
            yield f"{sending.attempt} got a foreign answer: {sending.body[:200]!r}"
        elif sending.outcome == "whole" and sending.body != wanted:
            yield f"{sending.attempt} got a part that looks whole"


def check_denials(record: Record) -> Iterator[str]:
    """A key that is in force is not refused."""
    for sending in record.sendings:
        if sending.status not in (401, 403, 404):
            continue
        if _is_settled(record, sending, STORE, OPERATOR):
            yield f"{sending.attempt} got {sending.status} with {sending.key}"


def check_patience(record: Record) -> Iterator[str]:
    """A request is answered by its deadline and by its route's time limit."""
    for sending in record.sendings:
        limit = min(sending.patience, ROUTE_TIMEOUT) + ANSWER_SLACK
        took = sending.done_at - sending.sent_at
        if sending.outcome == "cancelled" or took <= limit:
            continue
        if _is_settled(record, sending):
            yield f"{sending.attempt} was not answered within {took:.2f} s"


def check_cancellations(record: Record) -> Iterator[str]:
    """A server is told soon that a caller has gone."""
    late, seen, runs = [], 0, record.list_runs()
    names = tuple(SERVICES) + tuple(f"server-link/{name}" for name in SERVICES)
    for sending in record.sendings:
        if sending.outcome != "cancelled" or sending.route in ONCE:
            continue
        if not _is_settled(record, sending, *names):
            continue
        for run in runs.get(sending.attempt, []):
            seen += 1
            if run.ended_at == 0.0 or run.ended_at > sending.done_at + CANCEL_TIME:
                late.append(run.attempt)
    if len(late) > CANCEL_SHARE * seen:
        yield f"{len(late)} of {seen} runs went on without a caller: {late}"


def check_budget(record: Record) -> Iterator[str]:
    """Repeats stay within the budget of the whole fleet in each window."""
    fresh: dict[str, list[float]] = defaultdict(list)
    for sending in record.sendings:
        fresh["model" if "stream" in sending.route else "plain"].append(sending.sent_at)
    repeats: dict[str, list[float]] = defaultdict(list)
    for runs in record.list_runs().values():
        for run in sorted(runs, key=lambda run: run.began_at)[1:]:
            repeats[run.service].append(run.began_at)
    for service, times in repeats.items():
        times.sort()
        asked = sorted(fresh[service])
        for begins in times:
            ends = begins + RETRY_WINDOW
            count = bisect_left(times, ends) - bisect_left(times, begins)
            base = max(
                bisect_left(asked, ends - shift) - bisect_left(asked, begins - shift)
                for shift in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
            )
            if count > RETRY_RATIO * base + RETRY_SLACK:
                yield f"{count} repeats at {service} for {base} requests"
                break


def check_draining(record: Record) -> Iterator[str]:
    """A draining server gets nothing more after a while."""
    routers = {sending.attempt: sending for sending in record.sendings}
    for trouble in record.troubles:
        if trouble.kind != "drain_server":
            continue
        for run in record.runs:
            late = run.began_at - trouble.begins
            sending = routers.get(run.attempt)
            if run.server != trouble.target or sending is None:
                continue
            if not late > DRAIN_TIME or run.began_at > trouble.ends:
                continue
            if _is_settled(record, sending, STORE, f"store-link/{sending.router}"):
                yield f"{run.attempt} reached {run.server} {late:.1f} s after it left"


def check_lines(record: Record) -> Iterator[str]:
    """The log has a line for each request that its router refused."""
    if record.lines.get(""):
        return
    for sending in record.sendings:
        own = sending.status >= 500 or sending.status == 429  # noqa: PLR2004
        if own and not sending.signed and sending.attempt not in record.lines:
            yield f"{sending.attempt} got {sending.status} without a line"


def check_recovery(record: Record) -> Iterator[str]:
    """Requests are served once all faults are over."""
    played = [trouble for trouble in record.troubles if trouble.target != SOAK]
    over = max((trouble.ends for trouble in played), default=0.0)
    last = [s for s in record.sendings if s.sent_at > over + CONTACT]
    served = [s for s in last if s.status == 200 and s.outcome == "whole"]  # noqa: PLR2004
    if not last or len(served) < RECOVERED_SHARE * len(last):
        yield f"{len(served)} of {len(last)} requests were served after the faults"


CHECKS: tuple[Callable[[Record], Iterator[str]], ...] = (
    check_ends,
    check_once,
    check_attempts,
    check_refusals,
    check_services,
    check_answers,
    check_denials,
    check_patience,
    check_cancellations,
    check_budget,
    check_draining,
    check_lines,
    check_recovery,
)


def _find_route(run: Run) -> str:
    return run.path.split("/")[1]


def _is_settled(record: Record, sending: Sending, *others: str) -> bool:
    """Return whether a router was out of trouble long before a request."""
    targets = sending.router, f"door/{sending.router}", SOAK, *others
    return record.is_calm(sending.sent_at, sending.done_at, *targets, before=CONTACT)
