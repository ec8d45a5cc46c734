"""Routers are killed just after the engine of a version has left."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import OrderedDict

from support.fleet import (
    CannotRun,
    Fleet,
    Record,
    Server,
    build_configuration,
    build_entry,
    build_request_headers,
    read_head,
    run_case,
)

ZONES = ["vejle", "herning", "odense"]
SESSIONS = 8
"""Sessions whose clients reach the first router."""
SLOTS = 24
"""Requests that an engine runs at once."""
EVENTS = 40
EVENT_SECONDS = 0.12
"""Length of a stream, and the pause between two of its events."""
FIRST_EVENTS = 2
"""Length of the first stream of a session."""
PROMPT_TOKENS = 2_000
KILLED_ROUTERS = 2
"""Routers that are killed: 0.55 of three, rounded up."""
BUSY_EVENTS = 20
"""Length of the streams that keep the first engine busy."""
JOIN_SECONDS = 1.0
"""Time in which all routers learn of an engine that joins."""
LEFT_SECONDS = 1.2
"""Time from the removal of an engine's entry to the kill. The engine serves on
for ``drainTimeoutMs``, 2,000, and at times many seconds longer."""
RESTART_SECONDS = 0.3
"""Time after which the platform starts a process that was killed."""
MAX_JOINED_STREAMS = 2
"""Streams of two versions that the rule bears."""


class Engine(Server):
    """An engine of one software version, which keeps what it has read."""

    def __init__(self, name: str, version: str, record: Record) -> None:
        super().__init__(name, "engines", record)
        self.version = version
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.running = 0
        self.event_count = EVENTS

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                if first.startswith("GET /kv-list"):
                    await self._list_parts(writer)
                    continue
                if headers.get("sycamorehaven-expect-instance") != self.name:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
                    )
                elif self.running >= SLOTS:
                    writer.write(
                        b"HTTP/1.1 503 Service Unavailable\r\n"
                        b"Sycamorehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    )
                else:
                    await self._run(first, headers, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _list_parts(self, writer) -> None:
        held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
        body = json.dumps({"epoch": 1, "next": 1, "held": held}).encode()
        self.record.write(f"{self.name} lists {len(held)} parts")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        await writer.drain()

    async def _run(self, first: str, headers: dict[str, str], writer) -> None:
        attempt = headers["sycamorehaven-attempt-id"]
        for part in headers["sycamorehaven-prefix-hash"].split(","):
            key, _, tokens = part.partition(":")
            self.kept[key] = int(tokens)
        after = int(headers.get("last-event-id", "-1"))
        self.record.write(
            f"server {self.name} ({self.version}) runs {attempt}"
            f" {first.split()[1]} after event {after}"
        )
        self.running += 1
        try:
            writer.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Sycamorehaven-Attempt-Id: {attempt}\r\n"
                f"Sycamorehaven-Response-Signature: {self.name}.{attempt}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(after + 1, self.event_count):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Session:
    """A client that reads a stream, and takes it up where it breaks off."""

    def __init__(self, number: int, record: Record) -> None:
        self.number = number
        self.record = record
        self.versions: list[str] = []
        self.last_event = -1
        self.is_complete = False

    async def ask(self, port: int, attempt: str, resumes: str = "") -> int:
        """Ask for a stream, read as far as it comes and return the status."""
        headers = build_request_headers(attempt, 15_000, tokens=(PROMPT_TOKENS, 60))
        headers["Sycamorehaven-Prefix-Hash"] = (
            f"{0x5E550000 + self.number:x}:{PROMPT_TOKENS}"
        )
        headers["Content-Length"] = "3"
        if resumes:
            headers["Last-Event-Id"] = str(self.last_event)
            headers["Resumes"] = resumes
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        status = 0
        try:
            writer.write(
                f"POST /chat/{self.number} HTTP/1.1\r\n{lines}\r\nask".encode()
            )
            first, _ = await read_head(reader)
            status = int(first.split()[1])
            if status == 200:
                await self._read_events(reader)
        except (OSError, EOFError) as error:
            self.record.write(f"client {attempt} was cut off: {type(error).__name__}")
        finally:
            writer.transport.abort()
        self.record.write(
            f"client {attempt} got {status}, events up to {self.last_event}"
            f" of versions {sorted(set(self.versions))},"
            f" {'complete' if self.is_complete else 'not complete'}"
        )
        return status

    async def _read_events(self, reader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = (await reader.readexactly(size + 2))[:-2].decode()
            for event in filter(None, chunk.split("\n\n")):
                number, version = event.split("\n")
                self.last_event = int(number.removeprefix("id: "))
                self.versions.append(version.removeprefix("data: "))
        self.is_complete = True


async def read_first_streams(fleet: Fleet, record: Record) -> None:
    """Let each session have a short stream at the only engine."""
    port = fleet.routers[0].frontend
    for number in range(SESSIONS):
        session = Session(number, record)
        if await session.ask(port, f"f125{number:012x}") != 200:
            raise CannotRun("the first stream of a session was refused")


async def run_session(fleet: Fleet, session: Session) -> None:
    """Read the session's second stream; take it up once if it is cut off."""
    attempt = f"5ec0{session.number:012x}"
    await session.ask(fleet.routers[0].frontend, attempt)
    if not session.is_complete:
        # The platform forwards connections to routers that are ready.
        router = fleet.routers[session.number % len(fleet.routers)]
        await asyncio.sleep(RESTART_SECONDS + 0.1)
        await router.wait_until_ready()
        again = f"7a6e{session.number:012x}"
        await session.ask(router.frontend, again, resumes=attempt)


async def kill_routers(fleet: Fleet, record: Record) -> None:
    """Kill all routers at once and start them again."""
    for router in fleet.routers:
        record.write(f"{router.name} is killed")
        router.send_signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_SECONDS)
    for router in fleet.routers:
        await router.kill()
        await router.start()


async def play(fleet: Fleet, record: Record, trouble: bool) -> list[Session]:
    """Serve sessions with two versions, of which one leaves."""
    first = Engine("i-first", "v1", record)
    second = Engine("i-second", "v2", record)
    for engine in (first, second):
        await engine.start()
    store = fleet.store
    store.put("servers/i-first", build_entry("engines", first.port, "vejle", SLOTS))
    await fleet.start()
    await asyncio.sleep(3.0)
    first.event_count = FIRST_EVENTS
    await read_first_streams(fleet, record)
    # Others keep the first engine busy while one of the next version joins.
    first.event_count = BUSY_EVENTS
    port = fleet.routers[-1].frontend
    others = [Session(1_000 + number, record) for number in range(SLOTS)]
    background = [
        asyncio.create_task(other.ask(port, f"0007{other.number:012x}"))
        for other in others
    ]
    await asyncio.sleep(0.5)
    first.event_count = EVENTS
    entry = build_entry("engines", second.port, "herning", SLOTS, version="v2")
    store.put("servers/i-second", entry)
    await asyncio.sleep(JOIN_SECONDS)
    sessions = [Session(number, record) for number in range(SESSIONS)]
    streams = [asyncio.create_task(run_session(fleet, each)) for each in sessions]
    await asyncio.gather(*background)
    record.write("the entry of i-second is removed; it serves on")
    store.remove("servers/i-second")
    await asyncio.sleep(LEFT_SECONDS)
    if trouble:
        background = [asyncio.create_task(kill_routers(fleet, record))]
    await asyncio.gather(*streams, *background)
    return sessions


async def main(record: Record, trouble: bool) -> bool:
    """Return whether no more than two streams are joined from two versions."""
    fleet = Fleet(record, ZONES)
    fleet.store.put("op/config", build_configuration(7))
    try:
        sessions = await play(fleet, record, trouble)
    finally:
        await fleet.stop()
    joined = sum(len(set(session.versions)) > 1 for session in sessions)
    began = sum(session.versions[:1] == ["v2"] for session in sessions)
    record.write(
        f"of {len(sessions)} streams {began} began at v2; {joined} hold events of"
        " both versions"
    )
    if began <= MAX_JOINED_STREAMS:
        raise CannotRun("too few streams began at the engine that leaves")
    return joined <= MAX_JOINED_STREAMS


if __name__ == "__main__":
    sys.exit(run_case(main))
