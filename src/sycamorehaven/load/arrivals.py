"""The seeded sequence of requests of a load plan."""

from __future__ import annotations

import heapq
import random
import string
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sycamorehaven.load.plan import LoadPlan, Workload


class Arrival(NamedTuple):
    """
    A request to start.

    :ivar at: seconds after the start of the run.
    :ivar number: counts the requests of its workload.
    :ivar workload: index of its workload.
    :ivar target: base URL of the router.
    :ivar prompt: text of the question, or of the booking.
    :ivar tokens: tokens of the answer to a question.
    """

    start_offset: float
    sequence_number: int
    workload_index: int
    target: str
    prompt: str
    answer_tokens: int


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield a plan's requests in the order of their times."""
    streams = [
        _draw_workload_arrivals(plan, index, workload)
        for index, workload in enumerate(plan.workloads)
    ]
    for count, arrival in enumerate(heapq.merge(*streams)):
        if count >= plan.requests:
            return
        yield arrival


def _draw_workload_arrivals(
    plan: LoadPlan, index: int, workload: Workload
) -> Iterator[Arrival]:
    chance = random.Random(f"{plan.seed}/{index}")
    at = chance.expovariate(workload.rate)
    number = 0
    while at <= plan.duration:
        yield Arrival(
            start_offset=at,
            sequence_number=number,
            workload_index=index,
            target=chance.choice(plan.targets),
            prompt=_draw_prompt(chance, workload, number),
            answer_tokens=chance.randint(*workload.tokens),
        )
        number += 1
        at += chance.expovariate(workload.rate)


def _draw_prompt(chance: random.Random, workload: Workload, number: int) -> str:
    text = f"{workload.workspace} {number} "
    missing = chance.randint(*workload.prompt) - len(text)
    return text + "".join(chance.choices(string.ascii_lowercase, k=max(missing, 0)))
