"""
Cost and effect of blocking parts of prompts that crash servers.

``python -m benchmarks.crash_suspects`` prints what a request costs at three
sizes of the fleet, and what simulated fleets lose without each mechanism.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from rich.console import Console
from rich.table import Table

from benchmarks.measurement import measure_time
from sycamorehaven.controllers.strike_exchange import StrikeExchange
from sycamorehaven.decisions import crash_blame
from sycamorehaven.decisions.strikes import LostRun, StrikeTable, SuspectKeys
from sycamorehaven.identity import RouterId
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.suspects import LostRunReport, LostRuns
from tests.support.crash_simulation import CrashSimulation, Workload
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.decisions.crash_blame import Culprit
    from sycamorehaven.transport.peer_link import PeerLink

SIZES = (6, 70, 420)
"""Numbers of routers."""
RUNS_PER_ROUTER = 4
"""Lost runs that each router has reported."""
SEEDS = range(10)
CRASHING_SECONDS = 24
"""Simulated time in which all servers crash every four seconds."""
SECONDS = 60.0
"""Simulated time with bad parts."""


class RequestCosts(NamedTuple):
    """
    Processor time in microseconds.

    :ivar hash: to hash what of a request may crash a server.
    :ivar check: to check whether it is blamed.
    :ivar begin: to record that its answer has begun.
    :ivar report: to decode and record a lost run of another router.
    :ivar blame: to find what is blamed after a change.
    """

    hash: float
    check: float
    begin: float
    report: float
    blame: float


def build_request(number: int) -> RoutedRequest:
    """Return a request with a prompt of four parts."""
    parts = tuple(
        PromptPart(key, 1_000)
        for key in ("system", f"topic{number % 40}", f"doc{number}", f"own{number}")
    )
    head = RequestHead(f"a{number}", 10.0, "", "m", parts, 4_000, 80, None)
    body = b"x" * 2_000
    return RoutedRequest(
        head, "POST", f"/{number}", (), body, STREAMING_ROUTE, "model", "w", 0.0, 10.0
    )


def fill_table(routers: int) -> StrikeTable:
    """Return a table with the reports of all routers on two bad parts."""
    table = StrikeTable(random.Random(1))
    for number in range(routers * RUNS_PER_ROUTER):
        keys = SuspectKeys.from_request(build_request(number))
        bad = number % 2 + 1
        run = LostRun(
            f"i-{number % 40:010x}/1", number / 10.0, keys._replace(parts=(bad, number))
        )
        table.add_run(run, number / 10.0)
    return table


def measure_costs(routers: int) -> RequestCosts:
    """Return the cost of a request in a fleet of some routers."""
    table, request = fill_table(routers), build_request(999_999)
    keys, now = SuspectKeys.from_request(request), routers * RUNS_PER_ROUTER / 10.0
    report = LostRunReport("i-0000000001/1786006033708", 0.1, 77, list(keys.parts))
    codec = Codec(RouterId("r1", 1), "10.0.0.2:1")
    data = codec.encode(LostRuns([report]))
    numbers = iter(range(10**9))

    def handle_report() -> None:
        (received,) = codec.decode(data).message.runs
        run_keys = SuspectKeys(next(numbers), tuple(received.parts))
        table.add_run(LostRun(f"{received.server}", now, run_keys), now)

    def find_blame() -> tuple[Culprit, ...]:
        return crash_blame.find_culprits(
            table._losses, table._requests, table._lost_servers
        )

    return RequestCosts(
        measure_time(lambda: SuspectKeys.from_request(request), 2_000) * 1e6,
        measure_time(lambda: table.find_culprits(keys), 2_000) * 1e6,
        measure_time(lambda: table.record_sound(keys.parts, now), 2_000) * 1e6,
        measure_time(handle_report, 200) * 1e6,
        measure_time(find_blame, 20) * 1e6,
    )


def _ignore(message: object) -> None:
    """Send a message to nobody."""


class ForgetfulExchange(StrikeExchange):
    """An exchange that does not remember which parts are sound."""

    def _record_sound(self, suspects: Iterable[int]) -> None:
        suspected = [key for key in suspects if self._table.has_strikes(key)]
        if suspected:
            super()._record_sound(suspected)
            self._table._sound_until.clear()


class PatientExchange(StrikeExchange):
    """An exchange that lets runs that wait for an answer go on."""

    def add_waiting(self, run: object) -> None:
        """Remember nothing."""


class SilentExchange(StrikeExchange):
    """An exchange that tells other routers nothing."""

    def __init__(
        self, board: object, link: PeerLink, *arguments: object, **options: object
    ) -> None:
        link.broadcast = _ignore  # type: ignore[method-assign]
        super().__init__(board, link, *arguments, **options)  # type: ignore[arg-type]

    def pass_on(self) -> None:
        """Pass nothing on."""


class EagerExchange(StrikeExchange):
    """An exchange that tries all requests once a block has ended."""

    async def try_acquire_trial(self, culprit: Culprit) -> bool:
        """Allow it."""
        return bool(culprit)


VARIANTS: dict[str, type[StrikeExchange]] = {
    "all": StrikeExchange,
    "no memory of sound parts": ForgetfulExchange,
    "no end of waiting runs": PatientExchange,
    "no reports to others": SilentExchange,
    "no limit of trials": EagerExchange,
}


class Effect(NamedTuple):
    """
    What fleets lost, summed over all seeds.

    :ivar crashes: servers that bad parts crashed.
    :ivar before_block: the same until the part was first refused.
    :ivar sound_refused: share of the sound requests that were refused.
    """

    crashes: int
    before_block: int
    sound_refused: float


async def simulate(exchange_class: type[StrikeExchange]) -> Effect:
    """Return what simulated fleets lose, also to crashes for other reasons."""
    crashes = before_block = refused = sent = 0
    for seed in SEEDS:
        fleet = CrashSimulation(6, 8, seed, exchange_class)
        load = Workload(fleet, 19.0, 1.5)
        await load.run(3.0)
        fleet.bad_parts = {"bad"}
        blocked_after = 0
        for second in range(round(SECONDS)):
            if second < CRASHING_SECONDS and second % 4 == 3:
                for server in fleet.servers:
                    fleet.crash(server)
            await load.run(1.0)
            count = len(fleet.crashes_by_part.get("bad", []))
            if not fleet.outcomes.get(("refused", "bad")):
                blocked_after = count
        crashes += len(fleet.crashes_by_part.get("bad", []))
        before_block += blocked_after
        refused += fleet.outcomes.get(("refused", "sound"), 0)
        sent += fleet.outcomes.get(("sent", "sound"), 0)
        await fleet.close()
    return Effect(crashes, before_block, refused / max(refused + sent, 1))


def main() -> None:
    """Print both tables."""
    console = Console(width=88)
    costs = Table("routers", *RequestCosts._fields, title="microseconds")
    for routers in SIZES:
        costs.add_row(str(routers), *(f"{cost:.2f}" for cost in measure_costs(routers)))
    console.print(costs)
    effects = Table("mechanism", "crashes", "before the block", "sound refused")
    for name, exchange_class in VARIANTS.items():
        effect = asyncio.run(simulate(exchange_class))
        effects.add_row(
            name,
            str(effect.crashes),
            str(effect.before_block),
            f"{100 * effect.sound_refused:.2f} %",
        )
    weight = crash_blame.EXPLAINED_WEIGHT
    crash_blame.EXPLAINED_WEIGHT = 1.0
    moment = crash_blame.SAME_MOMENT_SECONDS
    for name, explained, same in (
        ("no explaining", 1.0, moment),
        ("each server a crash", weight, -1.0),
    ):
        crash_blame.EXPLAINED_WEIGHT = explained
        crash_blame.SAME_MOMENT_SECONDS = same
        effect = asyncio.run(simulate(StrikeExchange))
        effects.add_row(
            name,
            str(effect.crashes),
            str(effect.before_block),
            f"{100 * effect.sound_refused:.2f} %",
        )
    console.print(effects)


if __name__ == "__main__":
    main()
