"""Tests of the demo, which run it as a process."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import aiohttp

from sycamorehaven.demo.plan import derive_key


async def start_demo(*options: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sycamorehaven.console.application",
        "demo",
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def test_demo_books_once_and_answers_the_quiet_workspace() -> None:
    process = await start_demo("--json")
    stdout, stderr = await process.communicate()
    assert process.returncode == 0, stderr.decode()
    result = json.loads(stdout)
    assert result["runs"] == 1
    assert result["faults"] == []
    flood, quiet = result["load"]["workloads"]
    assert flood["sent"] > 5 * quiet["sent"]
    assert quiet["answered"] == quiet["sent"] > 0
    assert b"Traceback" not in stderr


async def test_served_demo_answers_and_ends_cleanly_on_interrupt() -> None:
    process = await start_demo("--serve")
    assert process.stdout is not None
    output = ""
    while "Ctrl-C" not in output:
        output += (await process.stdout.readline()).decode()
    first = next(word for word in output.split() if word.startswith("http://"))
    headers = {"Authorization": f"Bearer {derive_key('oakcourt')}"}
    body = {"prompt": "Is washer 3 free?", "max_tokens": 4}
    async with (
        aiohttp.ClientSession(headers=headers) as http,
        http.post(first, json=body) as response,
    ):
        assert response.status == 200
        assert (await response.read()).endswith(b"data: [DONE]\n\n")
    process.send_signal(signal.SIGINT)
    _, stderr = await process.communicate()
    assert process.returncode == 0
    assert b"Traceback" not in stderr
