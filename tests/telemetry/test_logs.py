"""Tests of the logs: JSON lines with request ids and without secrets."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from typing import TYPE_CHECKING

from opentelemetry.sdk.trace import TracerProvider

from sycamorehaven.exceptions.refusals import QueueFull
from sycamorehaven.telemetry.logs import JsonFormatter
from sycamorehaven.telemetry.request_context import bind_request_id
from tests.support.configuration_texts import build_workspace_key

if TYPE_CHECKING:
    from typing import Any

    from tests.support.fleet import Fleet


def format_line(error: BaseException | None = None) -> dict[str, Any]:
    exc_info = (type(error), error, error.__traceback__) if error else None
    record = logging.LogRecord("x", logging.ERROR, "m.py", 1, "hello", (), exc_info)
    line = JsonFormatter("a1").format(record)
    assert "\n" not in line
    document: dict[str, Any] = json.loads(line)
    return document


async def test_line_holds_request_and_trace_ids() -> None:
    tracer = TracerProvider().get_tracer("test")

    async def work(request_id: str) -> dict[str, Any]:
        bind_request_id(request_id)
        with tracer.start_as_current_span("edge"):
            await asyncio.sleep(0)
            return format_line()

    lines = await asyncio.gather(work("r1"), work("r2"))
    assert [line["request_id"] for line in lines] == ["r1", "r2"]
    assert len({line["trace_id"] for line in lines}) == 2
    assert "request_id" not in format_line()


def test_exception_is_logged_as_fields() -> None:
    try:
        raise QueueFull("3 requests wait")
    except QueueFull as error:
        line = format_line(error)
    assert line["exception"]["type"] == "QueueFull"
    assert line["exception"]["code"] == "queue_full"
    assert "3 requests wait" in line["exception"]["message"]


async def test_router_logs_are_json_without_keys_or_bodies(
    fleet: Fleet,
) -> None:
    request = fleet.build_request(0, "/v1/services/assistant/v1/completions")
    body = {"prompt": "secret-question", "max_tokens": 2}
    async with fleet.client.post(json=body, **request) as response:
        assert response.status == 200
    request["headers"]["Authorization"] = "Bearer secret-key"
    async with fleet.client.post(json=body, **request) as response:
        assert response.status == 401
    await fleet.kill("engine-1")
    await fleet.request_completion(0, "secret-question", 2)
    log = fleet.read_log("a1")
    lines = [json.loads(line) for line in log.splitlines()]
    assert any("in force" in line["message"] for line in lines)
    for secret in ("secret-question", "secret-key", build_workspace_key("oakcourt")):
        assert secret not in log


async def test_library_logs_are_json_lines() -> None:
    code = (
        "import logging, asyncio\n"
        "from sycamorehaven.demo.plan import DemoPlan, list_fixed_addresses\n"
        "from sycamorehaven.telemetry.logs import configure_logging\n"
        "plan = DemoPlan.from_addresses(list_fixed_addresses())\n"
        "configure_logging(plan.create_settings(plan.routers[0]))\n"
        "for name in ('mode', 'aiohttp.server', 'asyncio'):\n"
        "    logging.getLogger(name).info('quiet')\n"
        "    logging.getLogger(name).error('loud %s', name)\n"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stderr=asyncio.subprocess.PIPE
    )
    _, stderr = await process.communicate()
    lines = [json.loads(line) for line in stderr.splitlines()]
    assert [line["message"] for line in lines] == [
        "loud mode",
        "loud aiohttp.server",
        "loud asyncio",
    ]
