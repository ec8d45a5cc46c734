"""
A stand-in for a model engine.

``POST /v1/completions`` with ``{"prompt": ..., "max_tokens": N}`` streams N
server-sent events ``data: {"index": i, "token": ...}``, followed by
``data: [DONE]``. The tokens depend only on the prompt, so that tests can
compare a resumed stream with an uninterrupted one. With the header
``Resume-From: n``, the engine skips the first n events. It accepts all
requests as they arrive and runs at most ``slots`` of them at a time. It also
counts the generated tokens for each prompt prefix, which is the part of the
prompt before the first colon.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter, deque
from typing import Annotated

import msgspec
import typer
import xxhash
from aiohttp import web

from sycamorehaven.standins.faults import InjectedFaults
from sycamorehaven.standins.journal import JournalOption, RunJournal
from sycamorehaven.standins.orders import EngineOrderStandin
from sycamorehaven.standins.serving import run_application

LOAD_REPORT_LAG_SECONDS = 0.2
"""Age of the figures in the load report."""


class CompletionRequest(msgspec.Struct):
    """
    The JSON body of a completion request.

    :ivar prompt: text to complete.
    :ivar max_tokens: number of tokens to stream.
    """

    prompt: str
    max_tokens: int = 16


def generate_token(prompt: str, index: int) -> str:
    """Return the token at a given index of the answer to a prompt."""
    return xxhash.xxh32_hexdigest(f"{prompt}\0{index}".encode())


class EngineStandin:
    """
    Stand-in for a model engine that streams generated tokens.

    :param slots: maximum number of requests that run at a time; further
        requests wait in the engine.
    :param token_time: time to generate a token, in seconds.
    :param prefill_time: time to read a prompt, in seconds.
    :param crash: function that simulates a crash of the engine; by default,
        the process exits.
    :param journal: records the prompt of each run.
    :ivar started: number of runs that were started, by prompt.
    :ivar finished: number of runs that were completed, by prompt.
    :ivar cancelled: number of runs that were cancelled, by prompt.
    :ivar orders: the part that carries out engine orders.
    :ivar busy_time: sum of the times that runs occupied a slot, in seconds.
    :ivar tokens: number of generated tokens.
    :ivar tokens_by_prefix: number of generated tokens, by prompt prefix.
    """

    def __init__(
        self,
        slots: int = 4,
        token_time: float = 0.005,
        prefill_time: float = 0.01,
        crash: object = None,
        journal: RunJournal | None = None,
    ) -> None:
        self._journal = journal or RunJournal()
        self._slots = slots
        self._token_time = token_time
        self._prefill_time = prefill_time
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._running_count = 0
        self._running_history: deque[tuple[float, int]] = deque(maxlen=10_000)
        self._faults = InjectedFaults(crash if callable(crash) else _exit_process)
        self.started: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.orders = EngineOrderStandin()
        self.busy_time = 0.0
        self.tokens = 0
        self.tokens_by_prefix: Counter[str] = Counter()

    @property
    def faults(self) -> InjectedFaults:
        """The faults that are injected into this engine."""
        return self._faults

    def build_application(self) -> web.Application:
        """Return the HTTP application of this engine."""
        application = web.Application(client_max_size=16_000_000)
        application.router.add_post("/v1/completions", self._complete)
        application.router.add_get("/load", self._report_load)
        self.orders.add_routes(application)
        application.router.add_get("/control/runs", self._list_runs)
        application.router.add_put("/control/faults", self._faults.handle_put_faults)
        return application

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        await self._faults.apply_to_request(request)
        try:
            completion = msgspec.json.decode(
                await request.read(), type=CompletionRequest
            )
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._journal.record_run(completion.prompt)
        self.started[completion.prompt] += 1
        try:
            response = await self._stream(request, completion)
        except asyncio.CancelledError:
            self.cancelled[completion.prompt] += 1
            raise
        self.finished[completion.prompt] += 1
        return response

    async def _stream(
        self, request: web.Request, completion: CompletionRequest
    ) -> web.StreamResponse:
        prefix = completion.prompt.partition(":")[0]
        first_index = int(request.headers.get("Resume-From", "0"))
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with self._slot_semaphore:
            started_at = self._record_running(1)
            try:
                await asyncio.sleep(self._prefill_time)
                await response.prepare(request)
                for index in range(first_index, completion.max_tokens):
                    await asyncio.sleep(self._token_time)
                    token = generate_token(completion.prompt, index)
                    event = msgspec.json.encode({"index": index, "token": token})
                    await response.write(b"data: " + event + b"\n\n")
                    self.tokens += 1
                    self.tokens_by_prefix[prefix] += 1
                if first_index <= completion.max_tokens:
                    await response.write(b"data: [DONE]\n\n")
                await response.write_eof()
            finally:
                self.busy_time += self._record_running(-1) - started_at
        return response

    def _record_running(self, change: int) -> float:
        now = asyncio.get_running_loop().time()
        self._running_count += change
        self._running_history.append((now, self._running_count))
        return now

    async def _report_load(self, _request: web.Request) -> web.Response:
        report_time = asyncio.get_running_loop().time() - LOAD_REPORT_LAG_SECONDS
        running = 0
        for measured_at, count in self._running_history:
            if measured_at > report_time:
                break
            running = count
        return web.json_response(
            {
                "running": running,
                "capacity": self._slots,
                "leaving": self._faults.leaving,
            }
        )

    async def _list_runs(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "started": self.started,
                "finished": self.finished,
                "cancelled": self.cancelled,
                "busy_time": self.busy_time,
                "tokens": self.tokens,
                "tokens_by_prefix": self.tokens_by_prefix,
            }
        )


def _exit_process() -> None:
    os._exit(70)


def serve(
    address: Annotated[str, typer.Option(help="ip:port to listen on.")],
    slots: Annotated[int, typer.Option(help="Requests that run at a time.")] = 4,
    token_time: Annotated[float, typer.Option(help="Seconds per token.")] = 0.005,
    prefill_time: Annotated[
        float, typer.Option(help="Seconds to read a prompt.")
    ] = 0.01,
    journal: JournalOption = None,
) -> None:
    """Run the stand-in model engine."""
    engine = EngineStandin(slots, token_time, prefill_time, journal=RunJournal(journal))
    run_application(engine.build_application(), address)


if __name__ == "__main__":
    typer.run(serve)
