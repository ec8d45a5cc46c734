"""The load that servers report in the headers of responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from sycamorehaven.controllers.plain_servers.load_reports import (
    MALFORMED_LOG_PERIOD_SECONDS,
    LoadReportRecorder,
)
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.telemetry.decision_log import DecisionLog
from tests.support.doubles import ManualClock, create_board
from tests.support.gateway_client import send_request

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import ResponseHead
    from tests.support.gateway_harness import GatewayHarness

MALFORMED = (
    "",
    "many",
    "1,2",
    "1,2,3,4,5",
    "1,2,3,",
    "-1,2,3,100",
    "1,2,3,-100",
    "1,2,3,0",
    "1,2,3,10001",
    "1,2,3,1e3",
    "1,2,3,1.5",
    "1,2,3,\u0661\u0660\u0660",
    "9" * 400 + ",2,3,100",
)
"""Values that make no sense, or have too many digits to be read cheaply."""


def parse(*values: str) -> ResponseHead:
    """Return the metadata of a response with the header for each value."""
    headers = [("sycamorehaven-server-load", value) for value in values]
    return PlatformHeaderCodec().parse_response_headers(200, headers)


def test_fourth_figure_is_the_slowdown() -> None:
    assert parse("3, 0, 6, 250").slowdown == 2.5
    assert parse("3,0,6").slowdown is None
    assert parse("3,0,6").malformed_load == ""
    assert parse().slowdown is None


def test_malformed_value_is_ignored_and_logged_once_in_ten_seconds() -> None:
    clock, lines = ManualClock(), []

    class ListLog(DecisionLog):
        def record(self, event: str, **fields: object) -> None:
            lines.append((event, fields["server"]))

    recorder = LoadReportRecorder(create_board(), ListLog("a1", None), clock)
    server = ServerRecord("s1", 1, "plain", "s1:80", "a", 6, draining=False)
    for values in (*((value,) for value in MALFORMED), ("1,2,3", "1,2,3")):
        head = parse(*values)
        assert head.slowdown is None, values
        assert 0 < len(head.malformed_load) < 80, values
        recorder.record(server, head)
    assert lines == [("server_load_malformed", "s1")]
    clock.advance(MALFORMED_LOG_PERIOD_SECONDS)
    recorder.record(server, parse("many"))
    assert len(lines) == 2


async def test_results_and_slowdown_of_a_server_reach_the_blackboard(
    harness: GatewayHarness,
) -> None:
    section = harness.board.plain_servers
    for value in ("1,0,6", "1,0,6,-5", "1,0,6,250"):
        for server in harness.servers:
            server.statement_headers = CIMultiDict({"Sycamorehaven-Server-Load": value})
        assert (await send_request(harness, "/look/x"))[0] == 200
    names = [server.name for server in harness.servers]
    assert 2.5 in [section.get_slowdown(name).factor for name in names]
    assert section.service_times.get("look") > 0.0
    for server in harness.servers:
        server.behaviour = "lose"
    await send_request(harness, "/book/x", "POST", attempt="a2")
    counts = [
        results.count_all(time.monotonic())
        for name in names
        if (results := section.find_results(name))
    ]
    assert 2.0 < sum(count.answered for count in counts) <= 4.0
    assert 0.5 < sum(count.failed for count in counts) <= 1.0
