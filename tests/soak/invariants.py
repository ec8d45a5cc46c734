"""Check the record of a soak against the guarantees of the routers."""

from __future__ import annotations

import re
from bisect import bisect_left
from collections import defaultdict
from typing import TYPE_CHECKING

from tests.soak.backend import STREAM_EVENT_COUNT, build_body, build_event
from tests.soak.faults import EVACUATION_KIND, OPERATOR_TARGET, STORE_TARGET
from tests.soak.fleet import (
    EVACUATION_SECONDS,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_SECONDS,
    SERVICE_BY_SERVER,
    SOUTH_SERVERS,
)
from tests.soak.records import SOAK_TARGET

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.soak.records import CallerRequest, Run, SoakRecord

SETTLING_SECONDS = 4.0
"""Seconds without disturbance after which time limits are checked."""
ANSWER_MARGIN_SECONDS = 0.5
"""Seconds by which an answer may exceed a deadline or a route's timeout."""
CANCEL_SECONDS = 0.5
"""Seconds within which a server learns that the caller disconnected."""
LATE_CANCELLATION_RATIO = 0.25
"""Ratio of the cancelled runs that may go on for longer."""
ROUTE_TIMEOUT_SECONDS = 3.0
DRAIN_SECONDS = 3.0
"""Seconds after which a draining server receives no more requests."""
CONFIGURATION_SECONDS = 3.0
"""Seconds after its publication at which a configuration is in force."""
MAX_ATTEMPTS_BY_ROUTE = {"look": 2, "book": 1, "stream": 2, "once-stream": 2}
"""Largest number of servers that may run one request, by route."""
RUN_ONCE_ROUTES = ("book", "once-stream")
"""Routes whose requests may run at most once."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""HTTP statuses that say that the request was not run."""
RECOVERED_RATIO = 0.25
"""Ratio of the requests that must be served after the last fault."""
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


def check_record(record: SoakRecord) -> list[str]:
    """Return a line for each violated guarantee."""
    return [finding for check in CHECKS for finding in check(record)]


def check_unexpected_exits(record: SoakRecord) -> Iterator[str]:
    """No process exits unexpectedly."""
    yield from record.unexpected_exits


def check_single_runs(record: SoakRecord) -> Iterator[str]:
    """A request that may run only once does not run twice."""
    for attempt, runs in record.group_runs().items():
        if _find_route(runs[0]) in RUN_ONCE_ROUTES and len(runs) > 1:
            yield f"{attempt} ran {len(runs)} times: {runs}"


def check_attempts(record: SoakRecord) -> Iterator[str]:
    """A request runs at no more servers than its route allows."""
    for attempt, runs in record.group_runs().items():
        if len(runs) > MAX_ATTEMPTS_BY_ROUTE[_find_route(runs[0])]:
            yield f"{attempt} reached too many servers: {runs}"


def check_refusals(record: SoakRecord) -> Iterator[str]:
    """A request that was refused as "not run" did not run."""
    runs = record.group_runs()
    for request in record.requests:
        if request.status in NOT_RUN_STATUSES and request.attempt in runs:
            yield f"{request.attempt} got {request.status}: {runs[request.attempt]}"


def check_services(record: SoakRecord) -> Iterator[str]:
    """A request runs at a server of its route's service."""
    for run in record.runs:
        expected = "model" if "stream" in run.path else "plain"
        if run.service != expected or run.attempt not in run.path:
            yield f"{run.attempt} ran at {run.server}: {run}"


def check_answers(record: SoakRecord) -> Iterator[str]:
    """A successful answer is a server's own: complete or visibly broken."""
    for request in record.requests:
        if request.status != 200:  # noqa: PLR2004
            continue
        if not request.signed:
            yield f"{request.attempt} got a success without a signature"
        is_stream = "stream" in request.route
        expected = build_body(request.attempt)
        if is_stream:
            expected = b"".join(
                build_event(request.attempt, n) for n in range(STREAM_EVENT_COUNT)
            )
        if not expected.startswith(request.body):
            yield f"{request.attempt} got a foreign answer: {request.body[:200]!r}"
        elif request.outcome == "whole" and request.body != expected:
            yield f"{request.attempt} got a part that looks whole"


def check_authorization(record: SoakRecord) -> Iterator[str]:
    """A valid key is not rejected."""
    for request in record.requests:
        if request.status not in (401, 403, 404):
            continue
        if _is_settled(record, request, STORE_TARGET, OPERATOR_TARGET):
            yield f"{request.attempt} got {request.status} with {request.key}"


def check_deadlines(record: SoakRecord) -> Iterator[str]:
    """A request is answered within its deadline and its route's timeout."""
    for request in record.requests:
        limit = min(request.timeout, ROUTE_TIMEOUT_SECONDS) + ANSWER_MARGIN_SECONDS
        took = request.ended_at - request.sent_at
        if request.outcome == "cancelled" or took <= limit:
            continue
        if _is_settled(record, request):
            yield f"{request.attempt} was not answered within {took:.2f} s"


def check_cancellations(record: SoakRecord) -> Iterator[str]:
    """A server soon learns that the caller disconnected."""
    late, seen, runs = [], 0, record.group_runs()
    names = tuple(SERVICE_BY_SERVER) + tuple(
        f"server-link/{name}" for name in SERVICE_BY_SERVER
    )
    for request in record.requests:
        if request.outcome != "cancelled" or request.route in RUN_ONCE_ROUTES:
            continue
        if not _is_settled(record, request, *names):
            continue
        for run in runs.get(request.attempt, []):
            seen += 1
            if run.ended_at == 0.0 or run.ended_at > request.ended_at + CANCEL_SECONDS:
                late.append(run.attempt)
    if len(late) > LATE_CANCELLATION_RATIO * seen:
        yield f"{len(late)} of {seen} runs went on without a caller: {late}"


def check_retry_budget(record: SoakRecord) -> Iterator[str]:
    """Retries stay within the fleet's retry budget in every window."""
    request_times: dict[str, list[float]] = defaultdict(list)
    for request in record.requests:
        request_times["model" if "stream" in request.route else "plain"].append(
            request.sent_at
        )
    retry_times: dict[str, list[float]] = defaultdict(list)
    for runs in record.group_runs().values():
        for run in sorted(runs, key=lambda run: run.began_at)[1:]:
            retry_times[run.service].append(run.began_at)
    for service, times in retry_times.items():
        times.sort()
        sorted_request_times = sorted(request_times[service])
        for begins in times:
            ends = begins + RETRY_WINDOW_SECONDS
            count = bisect_left(times, ends) - bisect_left(times, begins)
            base = max(
                bisect_left(sorted_request_times, ends - shift)
                - bisect_left(sorted_request_times, begins - shift)
                for shift in (0.0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
            )
            if count > RETRY_RATIO * base + RETRY_SLACK:
                yield f"{count} repeats at {service} for {base} requests"
                break


def check_draining(record: SoakRecord) -> Iterator[str]:
    """A draining server soon receives no more requests."""
    requests = {request.attempt: request for request in record.requests}
    for disturbance in record.disturbances:
        if disturbance.kind != "drain_server":
            continue
        for run in record.runs:
            late = run.began_at - disturbance.began_at
            request = requests.get(run.attempt)
            if run.server != disturbance.target or request is None:
                continue
            if not late > DRAIN_SECONDS or run.began_at > disturbance.ended_at:
                continue
            if _is_settled(
                record, request, STORE_TARGET, f"store-link/{request.router}"
            ):
                yield f"{run.attempt} reached {run.server} {late:.1f} s after it left"


def check_evacuation(record: SoakRecord) -> Iterator[str]:
    """An evacuated failure domain soon receives no more requests."""
    requests = {request.attempt: request for request in record.requests}
    for disturbance in record.disturbances:
        if disturbance.kind != EVACUATION_KIND:
            continue
        bound = disturbance.began_at + EVACUATION_SECONDS
        for run in record.runs:
            request = requests.get(run.attempt)
            if run.server not in SOUTH_SERVERS or request is None:
                continue
            if not bound < run.began_at <= disturbance.ended_at:
                continue
            if _is_settled(
                record, request, STORE_TARGET, f"store-link/{request.router}"
            ):
                late = run.began_at - bound
                yield f"{run.attempt} reached {run.server} {late:.1f} s after the bound"


def check_refusal_logs(record: SoakRecord) -> Iterator[str]:
    """A router logs every request that it refuses."""
    if record.log_events.get(""):
        return
    for request in record.requests:
        refused = request.status >= 500 or request.status == 429  # noqa: PLR2004
        if refused and not request.signed and request.attempt not in record.log_events:
            yield f"{request.attempt} got {request.status} without a line"


def check_recovery(record: SoakRecord) -> Iterator[str]:
    """Requests are served again after the last fault."""
    injected = [
        disturbance
        for disturbance in record.disturbances
        if disturbance.target != SOAK_TARGET
    ]
    last_end = max((disturbance.ended_at for disturbance in injected), default=0.0)
    later = [s for s in record.requests if s.sent_at > last_end + SETTLING_SECONDS]
    served = [s for s in later if s.status == 200 and s.outcome == "whole"]  # noqa: PLR2004
    if not later or len(served) < RECOVERED_RATIO * len(later):
        yield f"{len(served)} of {len(later)} requests were served after the faults"


CHECKS: tuple[Callable[[SoakRecord], Iterator[str]], ...] = (
    check_unexpected_exits,
    check_single_runs,
    check_attempts,
    check_refusals,
    check_services,
    check_answers,
    check_authorization,
    check_deadlines,
    check_cancellations,
    check_retry_budget,
    check_draining,
    check_evacuation,
    check_refusal_logs,
    check_recovery,
)


def _find_route(run: Run) -> str:
    return run.path.split("/")[1]


def _is_settled(record: SoakRecord, request: CallerRequest, *others: str) -> bool:
    """Return whether a request's router was undisturbed for long enough."""
    targets = request.router, f"door/{request.router}", SOAK_TARGET, *others
    return record.is_undisturbed(
        request.sent_at, request.ended_at, *targets, before=SETTLING_SECONDS
    )
