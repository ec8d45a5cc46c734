"""A fleet of router and backend server processes on the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
import socket
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import zmq

from sycamorehaven.standins.journal import read_journal
from tests.support.configuration_texts import (
    ServerPlan,
    build_configuration_text,
    build_workspace_key,
)
from tests.support.fixtures import async_fixture
from tests.support.processes import ChildProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

FIRST_PORT, LAST_PORT = 10_000, 30_000
"""Range from which the ports of a fleet are drawn, the last one excluded."""
PORTS_PER_RESERVATION = 100
"""Number of ports that a test run reserves at a time."""
START_TIMEOUT_SECONDS = 20.0
"""Seconds within which a started process must respond."""
LOG_END_CHARACTERS = 4_000
"""Characters of a log that are shown if its router does not start."""
POLL_INTERVAL_SECONDS = 0.05
"""Seconds between two checks of a condition."""

_reservations: list[socket.socket] = []
_unused_ports: list[int] = []


def reserve_ports(first: int) -> bool:
    """
    Reserve ``PORTS_PER_RESERVATION`` ports for this process until it ends.

    :param first: the first port.
    :return: whether no process, this one included, has reserved them before.
        The reservation is the name of a socket, which the kernel gives to one
        process at a time.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f"\0sycamorehaven-test-ports-{first}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    _unused_ports.extend(range(first, first + PORTS_PER_RESERVATION))
    return True


def allocate_port() -> int:
    """
    Return a free port of the loopback interface.

    The port lies below the range from which the kernel assigns ports to
    outgoing connections, so that none of them takes the port before it is
    bound. No port is returned twice, also not to a test run beside this one,
    because the first receiver may not have bound it yet.
    """
    while True:
        while not _unused_ports:
            ranges = (LAST_PORT - FIRST_PORT) // PORTS_PER_RESERVATION
            reserve_ports(
                FIRST_PORT + PORTS_PER_RESERVATION * secrets.randbelow(ranges)
            )
        port = _unused_ports.pop()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def allocate_address() -> str:
    """Return a free ``ip:port`` address of the loopback interface."""
    return f"127.0.0.1:{allocate_port()}"


async def wait_for(
    condition: Callable[[], Awaitable[bool]], timeout: float = START_TIMEOUT_SECONDS
) -> None:
    """
    Wait until a condition holds.

    :param timeout: seconds to wait at most.
    :raises TimeoutError: if the condition does not hold in time.
    """
    async with asyncio.timeout(timeout):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


class RouterPlan(NamedTuple):
    """
    The identity and the addresses of a router to start.

    :ivar host: name of the router's host.
    :ivar failure_domain: failure domain of the host.
    :ivar callers_address: address at which callers are served.
    :ivar peers_address: address at which the other routers are served.
    :ivar admin_address: address at which operators are served.
    """

    host: str
    failure_domain: str
    callers_address: str
    peers_address: str
    admin_address: str


class Fleet:
    """
    The processes of one test and an HTTP client to reach them.

    :param folder: folder for settings, logs and journals.
    :param domains: failure domain of each router to start.
    :param servers: stand-in backend servers to start.
    """

    def __init__(
        self, folder: Path, domains: tuple[str, ...], servers: list[ServerPlan]
    ) -> None:
        self._folder = folder
        self.platform_address = allocate_address()
        self.servers = servers
        self.routers = [
            RouterPlan(
                f"{domain}{number}",
                domain,
                allocate_address(),
                allocate_address(),
                allocate_address(),
            )
            for number, domain in enumerate(domains, start=1)
        ]
        # Keys of its own keep this fleet's routers from talking to another
        # fleet that was given one of its former ports.
        public, secret = zmq.curve_keypair()
        self._keys = public.decode(), secret.decode()
        self.processes: dict[str, ChildProcess] = {}
        self.faults_file = folder / "faults.toml"
        self._cuts: list[list[str]] = []
        self._message_faults = ""
        self._write_faults()

    async def start(self, text: str | None = None) -> None:
        """
        Start all processes and wait until every router is ready.

        :param text: configuration text to publish; by default one that holds
            the servers of this fleet.
        """
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await self.run_module(
            "platform",
            "sycamorehaven.standins.platform",
            "--address",
            self.platform_address,
        )
        for server in self.servers:
            await self.start_server(server)
        await self.wait_for_port(self.platform_address)
        await self.publish(text or build_configuration_text(self.servers))
        for plan in self.routers:
            await self.start_router(plan)
        for plan in self.routers:
            await self.wait_until_ready(plan)

    async def stop(self) -> None:
        """Kill all processes of this fleet and close its client."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        await self.client.close()

    async def run_module(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process of this fleet."""
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await ChildProcess.start(
                module, *arguments, log=log, errors=log
            )

    async def start_server(self, plan: ServerPlan) -> None:
        """Start a stand-in backend server."""
        kind, pace = ("booking", "--service-time")
        if plan.service == "assistant":
            kind, pace = ("engine", "--token-time")
        await self.run_module(
            plan.name,
            f"sycamorehaven.standins.{kind}",
            "--address",
            plan.address,
            "--slots",
            str(plan.slots),
            pace,
            str(plan.work_seconds),
            "--journal",
            str(self._folder / f"{plan.name}.runs"),
        )
        await self.wait_for_port(plan.address)

    async def start_router(self, plan: RouterPlan, extra_settings: str = "") -> None:
        """
        Start or restart a router.

        :param extra_settings: TOML text to append to the router's settings.
        """
        path = self._folder / f"{plan.host}.toml"
        path.write_text(self.write_settings(plan) + extra_settings)
        await self.run_module(
            plan.host, "sycamorehaven.daemon", "--settings", str(path)
        )

    def write_settings(self, plan: RouterPlan) -> str:
        """Return the TOML settings of a router."""
        seeds = [other.peers_address for other in self.routers if other != plan]
        return (
            f'[router]\nhost = "{plan.host}"\n'
            f'failure_domain = "{plan.failure_domain}"\n'
            f'[callers]\naddress = "{plan.callers_address}"\n'
            f'[peers]\naddress = "{plan.peers_address}"\nseeds = {seeds}\n'
            f'public_key = "{self._keys[0]}"\nsecret_key = "{self._keys[1]}"\n'
            f'[admin]\naddress = "{plan.admin_address}"\n'
            f'[platform]\nurl = "http://{self.platform_address}"\n'
            f'[testing]\npeer_faults = "{self.faults_file}"\n'
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        os.kill(self.processes[name].pid, number)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.send_signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def cut_groups(self, *groups: list[RouterPlan]) -> None:
        """
        Disconnect groups of routers from each other.

        Lasts until ``restore_connections`` is called.
        """
        self._cuts += [
            [one.peers_address, other.peers_address]
            for number, group in enumerate(groups)
            for rest in groups[number + 1 :]
            for one in group
            for other in rest
        ]
        self._write_faults()

    def cut_from_addresses(self, group: list[RouterPlan], *addresses: str) -> None:
        """
        Disconnect routers from addresses of the platform or of servers.

        Lasts until ``restore_connections`` is called.
        """
        self._cuts += [
            [plan.peers_address, other] for plan in group for other in addresses
        ]
        self._write_faults()

    def cut_domain(self, domain: str) -> None:
        """
        Disconnect a failure domain from all others and from the platform.

        Its routers reach only the backend servers of this domain, and the
        routers of other domains no longer reach these servers.
        """
        inside = self.list_routers_in_domain(domain)
        outside = [plan for plan in self.routers if plan.failure_domain != domain]
        self.cut_groups(inside, outside)
        for plan in self.servers:
            far = outside if plan.failure_domain == domain else inside
            self.cut_from_addresses(far, plan.address)
        self.cut_from_addresses(inside, self.platform_address)

    def restore_connections(self) -> None:
        """Restore all connections; message loss and delay stay in effect."""
        self._cuts = []
        self._write_faults()

    def set_message_faults(
        self, loss: float, max_delay: float = 0.0, seed: int = 1
    ) -> None:
        """
        Lose some of the messages between routers and delay the others.

        :param loss: ratio of the messages that are lost.
        :param max_delay: longest delay of a message in seconds.
        :param seed: seeds the choice of losses and delays.
        """
        self._message_faults = f"loss = {loss}\nlatest = {max_delay}\nseed = {seed}\n"
        self._write_faults()

    def _write_faults(self) -> None:
        fresh = self.faults_file.with_suffix(".fresh")
        fresh.write_text(f"cuts = {self._cuts}\n{self._message_faults}")
        fresh.replace(self.faults_file)

    def list_routers_in_domain(self, domain: str) -> list[RouterPlan]:
        """Return the routers of a failure domain."""
        return [plan for plan in self.routers if plan.failure_domain == domain]

    async def fetch_admin_document(self, router: int, path: str) -> Any:
        """Return a JSON document from a router's admin interface."""
        url = f"http://{self.routers[router].admin_address}{path}"
        async with self.client.get(url) as response:
            return await response.json()

    async def fetch_metrics(self, router: int) -> dict[str, float]:
        """Return a router's metric samples by ``name{labels}``."""
        url = f"http://{self.routers[router].admin_address}/metrics"
        async with self.client.get(url) as response:
            lines = (await response.text()).splitlines()
        samples = (line.rsplit(" ", 1) for line in lines if line[:1] not in ("#", ""))
        return {name: float(value) for name, value in samples}

    async def wait_for_members(self, counts: dict[int, int]) -> None:
        """Wait until each given router sees its expected number of members."""
        for router, count in counts.items():

            async def is_seen(router: int = router, count: int = count) -> bool:
                members = (await self.fetch_admin_document(router, "/v1/members"))[
                    "members"
                ]
                states = [str(member["state"]) for member in members]
                return states.count("alive") == count

            await wait_for(is_seen)

    async def publish(self, text: str, revision: int | None = None) -> int:
        """
        Publish a configuration text; return its revision.

        :param revision: the revision to publish; the next one if ``None``.
        """
        query = {} if revision is None else {"revision": str(revision)}
        url = f"http://{self.platform_address}/control/configuration"
        async with self.client.put(url, data=text.encode(), params=query) as response:
            return int((await response.json())["revision"])

    async def set_platform_state(self, state: str) -> None:
        """Switch the platform to ``up``, ``down`` or ``stale``."""
        url = f"http://{self.platform_address}/control/state"
        async with self.client.put(url, json={"state": state}):
            pass

    async def set_server_faults(self, server: str, **faults: Any) -> None:
        """Set the faults that a stand-in backend server injects."""
        url = f"http://{self.find_server(server).address}/control/faults"
        async with self.client.put(url, json=faults):
            pass

    async def fetch_server_runs(self, server: str) -> dict[str, Any]:
        """Return the run counters of a stand-in backend server."""
        url = f"http://{self.find_server(server).address}/control/runs"
        async with self.client.get(url) as response:
            runs: dict[str, Any] = await response.json()
            return runs

    def count_executions(self) -> Counter[str]:
        """
        Return how often each prompt or booking ran, summed over all servers.

        The counts come from the servers' journals, which also hold the runs
        of servers that have been killed since.
        """
        runs: Counter[str] = Counter()
        for plan in self.servers:
            runs.update(read_journal(self._folder / f"{plan.name}.runs"))
        return runs

    def find_server(self, name: str) -> ServerPlan:
        """Return the plan of a server."""
        return next(plan for plan in self.servers if plan.name == name)

    async def wait_for_port(self, address: str) -> None:
        """Wait until something listens on ``ip:port``."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                    continue
                writer.close()
                return

    async def wait_until_ready(self, plan: RouterPlan) -> None:
        """
        Wait until a router's admin interface reports that it is ready.

        :raises TimeoutError: with the end of the router's log, if it does not
            become ready in time.
        """
        try:
            await self._poll_readiness(plan)
        except TimeoutError:
            log_end = self.read_log(plan.host)[-LOG_END_CHARACTERS:]
            raise TimeoutError(
                f"the router {plan.host} is not ready; its log ends with: {log_end}"
            ) from None

    async def _poll_readiness(self, plan: RouterPlan) -> None:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    async with self.client.get(
                        f"http://{plan.admin_address}/readyz"
                    ) as got:
                        if got.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def build_request(
        self,
        router: int,
        path: str,
        workspace: str = "oakcourt",
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Return the HTTP client's arguments for a request to a router."""
        return {
            "url": f"http://{self.routers[router].callers_address}{path}",
            "headers": {
                "Authorization": f"Bearer {build_workspace_key(workspace)}",
                **(headers or {}),
            },
        }

    async def request_completion(
        self,
        router: int,
        prompt: str,
        max_tokens: int = 4,
        workspace: str = "oakcourt",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Request a completion; return the status and the whole body."""
        request = self.build_request(
            router, "/v1/services/assistant/v1/completions", workspace, headers
        )
        body = {"prompt": prompt, "max_tokens": max_tokens}
        async with self.client.post(json=body, **request) as response:
            return response.status, await response.read()

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder / f"{name}.log").read_text()


def create_server_plans() -> list[ServerPlan]:
    """Return plans of two engines and one booking server."""
    return [
        ServerPlan("engine-1", "assistant", allocate_address()),
        ServerPlan("engine-2", "assistant", allocate_address(), work_seconds=0.01),
        ServerPlan("booking-1", "bookings", allocate_address()),
    ]


@contextlib.asynccontextmanager
async def run_fleet(
    domains: tuple[str, ...] = ("a", "a", "b"),
    servers: list[ServerPlan] | None = None,
    text: str | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet until the context exits."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), domains, servers or create_server_plans())
        try:
            await fleet.start(text)
            yield fleet
        finally:
            await fleet.stop()


@async_fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Yield three routers in two failure domains and three servers."""
    async with run_fleet() as running:
        yield running
