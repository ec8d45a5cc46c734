"""
Routers as processes, and a store, servers and clients that stand in for ours.

Everything listens on loopback addresses and uses the standard library alone.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
BOUNDS = {
    "contactMs": 3_000,
    "drainTimeoutMs": 2_000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configDeadlineMs": 2_000,
    "rollbackSlackMs": 250,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 52,
    "quotaWindowS": 4,
}
"""The bounds of the small deployments, as their pages give them."""
MEMORY_MEGABYTES = 300
"""Memory of a machine of the small deployments."""
PORTS = range(12_000, 32_000)
"""Ports below those of outgoing connections."""
_allocated: set[int] = set()
START_SECONDS = 30.0
"""Longest time that a router may take to be ready."""


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        elapsed = time.monotonic() - self._began_at
        self._file.write(f"{elapsed:8.3f}  {text}\n")
        self._file.flush()


def allocate_port(ip: str = "127.0.0.1") -> int:
    """Return a free port that no outgoing connection is given."""
    while True:
        port = random.choice(PORTS)
        if port in _allocated:
            continue
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, port))
            _allocated.add(port)
            return port


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders of the deploy file's template."""

    def replace(match: re.Match[str]) -> str:
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(replace, template)


class Router:
    """A router that the command of the deploy file starts."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = "127.0.0.1"
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        ports = [allocate_port() for _ in range(5)]
        self.frontend, self.ready, self.control = ports[:3]
        self._internal = ports[3:]
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []

    @property
    def control_address(self) -> str:
        """Address for the other routers."""
        return f"{self.ip}:{self.control}"

    def write_settings(self, seeds: list[str], store: str) -> None:
        """Write the settings as the platform does."""
        role = self.read_role()
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "frontend": f"{self.ip}:{self.frontend}",
                "ready": f"{self.ip}:{self.ready}",
                "controlPlane": self.control_address,
            },
            "internalPorts": self._internal,
            "seedNodes": seeds,
            "limits": {"maxFds": 4_100, "memoryMb": MEMORY_MEGABYTES},
            "bounds": BOUNDS,
            "platform": {"address": store},
        }
        template = (ROOT / role["template"]).read_text()
        self._path.write_text(render(template, fields))

    @staticmethod
    def read_role() -> dict:
        """Return the role that carries the traffic."""
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        return next(role for role in roles.values() if "edge" in role["serves"])

    async def start(self) -> None:
        """Start the process."""
        role = self.read_role()
        words = role["run"].split()
        settings = next(word for word in words if word.endswith("/local.json"))
        words[words.index(settings)] = str(self._path)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the router answers the platform with 200."""
        answer = await fetch(self.ready, "GET", "/readyz", {}, timeout=1.0)
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the router is ready."""
        ends_at = time.monotonic() + START_SECONDS
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready; see its log")

    def read_memory_megabytes(self, field: str = "VmRSS") -> float:
        """Return a figure of the process's memory."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            if match := re.search(rf"^{field}:\s+(\d+) kB", text, re.MULTILINE):
                return int(match[1]) / 1_024
        return 0.0

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def kill(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    """What a client got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def describe(self) -> str:
        """Return a short text for the record."""
        end = "complete" if self.complete else f"broken off {self.error}"
        return f"{self.status} {len(self.body)} bytes {end}"


async def fetch(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Send a request on a new connection and read the whole answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "Host" not in headers:
                lines.append("Host: router.example")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    except (OSError, ValueError, EOFError, TimeoutError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; what has been read stands in it if reading fails."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split()[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        answer.complete = True
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True
    else:
        answer.body = await reader.read(-1)
        answer.complete = True


class Store:
    """
    The platform's store, linearizable, with one revision counter.

    :ivar delay: seconds that a call waits before it is done, and again after.
    :ivar page_size: number of items of a page.
    :ivar operator_read: set when the operator's items have been read.
    :ivar read_at: when items were last read, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.revision = 100
        self.port = allocate_port()
        self.delay = 0.002
        self.page_size = 500
        self.operator_read = asyncio.Event()
        self.read_at = 0.0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address for the settings of the routers."""
        return f"127.0.0.1:{self.port}"

    def put(self, key: str, value: object) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = self.revision, created, json.dumps(value).encode()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]

    async def start(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def list_items(self, prefix: str, after: str) -> bytes:
        """Return the items after a key that begin with a prefix, as a page."""
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "created": created,
                "leaseId": 0,
            }
            for key, (revision, created, value) in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = {
            "entries": entries[: self.page_size],
            "hasMore": len(entries) > self.page_size,
            "at": self.revision,
        }
        return json.dumps(page).encode()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, EOFError), contextlib.closing(writer):
            while True:
                first, _ = await read_head(reader)
                fields = dict(parse_qsl(first.split()[1].partition("?")[2]))
                prefix, after = fields["pathPrefix"], fields.get("after", "")
                delay = self.delay
                await asyncio.sleep(delay)
                page = self.list_items(prefix, after)
                if prefix == "op/":
                    self.operator_read.set()
                self.read_at = time.monotonic()
                await asyncio.sleep(delay)
                head = (
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(page)}\r\n\r\n"
                )
                writer.write(head.encode() + page)
                await writer.drain()


def build_entry(service: str, port: int, zone: str, slots: int, **fields) -> dict:
    """Return the entry of a server in the store."""
    entry = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1_000),
    }
    return entry | fields


def build_configuration(version: int, **changes) -> dict:
    """Return a configuration like those of the small deployments."""
    routes = [
        ("book", "/book/", "non_idempotent", "bookings", 1_000, 100, 1),
        ("look", "/look/", "idempotent", "bookings", 1_000, 100, 3),
        ("chat", "/chat/", "streaming", "engines", 15_000, 600, 2),
        ("once", "/once/", "streaming", "engines", 6_000, 800, 1),
    ]
    configuration = {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "fleet.example",
                "pathPrefix": prefix,
                "routeType": kind,
                "timeoutMs": timeout,
                "targetLatencyMs": target,
                "priority": 1,
                "service": service,
                "maxAttempts": attempts,
                "public": False,
                "sticky": kind == "streaming",
                "resumable": name == "chat",
                "itlTargetMs": 400 if kind == "streaming" else 0,
            }
            for name, prefix, kind, service, timeout, target, attempts in routes
        ],
        "services": [
            {"name": "bookings", "healthPath": "/healthz", "maxConnections": 96},
            {
                "name": "engines",
                "healthPath": "/healthz",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 601_907,
                    "kvTokenBytes": 18_432,
                    "linkMbps": 88_000.0,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 155_000,
        },
        "tenants": [{"name": "oakcourt", "apiKeys": ["key-1"], "priority": 1}],
    }
    return configuration | changes


def build_request_headers(
    attempt: str, deadline_ms: int, key: str = "key-1", tokens: tuple = ()
) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        "Host": "fleet.example",
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Deadline-Ms": str(deadline_ms),
        "Sycamorehaven-Key": key,
    }
    if tokens:
        prompt, output = tokens
        headers["Sycamorehaven-Model"] = "m"
        headers["Sycamorehaven-Token-Usage"] = f"{prompt},{output}"
        headers["Sycamorehaven-Prefix-Hash"] = f"{attempt[-8:]}:{prompt}"
    return headers


class Server:
    """
    A server that runs each request for a while and answers it.

    :param answer: carries a request out; gets the server, the first line, the
        headers, the body and the connection. ``None`` for a plain answer.
    """

    def __init__(self, name: str, service: str, record: Record, answer=None) -> None:
        self.name = name
        self.service = service
        self.port = allocate_port()
        self.record = record
        self.runs: list[tuple[str, str, str]] = []
        self.work_seconds = 0.02
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader, writer) -> None:
        with (
            contextlib.suppress(OSError, EOFError, ValueError),
            contextlib.closing(writer),
        ):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split()
                attempt = headers.get("sycamorehaven-attempt-id", "")
                if headers.get("sycamorehaven-expect-instance") != self.name:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                self.runs.append((attempt, method, target))
                self.record.write(
                    f"server {self.name} runs {attempt} {method} {target}"
                )
                if self._answer is not None:
                    await self._answer(self, first, headers, body, reader, writer)
                else:
                    await asyncio.sleep(self.work_seconds)
                    writer.write(self.build_answer(attempt, f"by {self.name}".encode()))
                await writer.drain()

    def build_answer(self, attempt: str, body: bytes) -> bytes:
        """Return a success with a length."""
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Sycamorehaven-Attempt-Id: {attempt}\r\n"
            f"Sycamorehaven-Response-Signature: {self.name}.{attempt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class Fleet:
    """Routers, a store and servers of one case."""

    def __init__(self, record: Record, zones: list[str]) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name)
        self.routers = [
            Router(f"edge-{zone}-{number}", zone, path)
            for number, zone in enumerate(zones, start=1)
        ]
        self.store = Store()
        self.servers: list[Server] = []

    async def add_server(self, server: Server, zone: str, slots: int) -> None:
        """Start a server and register it."""
        await server.start()
        self.servers.append(server)
        entry = build_entry(server.service, server.port, zone, slots)
        self.store.put(f"servers/{server.name}", entry)

    async def start(self, wait: bool = True) -> None:
        """Start the store and the routers."""
        await self.store.start()
        seeds = [router.control_address for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds, self.store.address)
            await router.start()
        if wait:
            for router in self.routers:
                await router.wait_until_ready()

    async def stop(self) -> None:
        """End all processes."""
        for router in self.routers:
            await router.kill()
        self._folder.cleanup()


def run_case(main) -> int:
    """
    Run a case and return its exit status.

    :param main: gets the record and whether to make trouble; returns whether
        the rule held.
    """
    # Processes inherit it if the caller ignores the signal, as nohup does.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    folder = Path(os.environ["CASE_FOLDER"])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> bool:
        async with asyncio.timeout(115.0):
            return await main(record, trouble)

    try:
        held = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    record.write("the rule held" if held else "the rule was broken")
    return 0 if held else 1
