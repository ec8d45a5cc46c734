"""The random sequence of requests of a load plan."""

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
    A scheduled request.

    :ivar start_offset: time at which to send it, in seconds after the start
        of the run.
    :ivar sequence_number: number of the request within its workload, from 0.
    :ivar workload_index: index of its workload in the plan.
    :ivar target: base URL of the router to send it to.
    :ivar prompt: text of the question or of the booking.
    :ivar answer_tokens: number of tokens to ask for in the answer.
    """

    start_offset: float
    sequence_number: int
    workload_index: int
    target: str
    prompt: str
    answer_tokens: int


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """
    Yield the requests of a plan in order of their start times.

    Each workload is a Poisson process with its own random number generator, so
    the requests depend only on the plan and its seed.
    """
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
    generator = random.Random(f"{plan.seed}/{index}")
    offset = generator.expovariate(workload.rate)
    number = 0
    while offset <= plan.duration:
        yield Arrival(
            start_offset=offset,
            sequence_number=number,
            workload_index=index,
            target=generator.choice(plan.targets),
            prompt=_draw_prompt(generator, workload, number),
            answer_tokens=generator.randint(*workload.tokens),
        )
        number += 1
        offset += generator.expovariate(workload.rate)


def _draw_prompt(generator: random.Random, workload: Workload, number: int) -> str:
    text = f"{workload.workspace} {number} "
    padding_length = generator.randint(*workload.prompt) - len(text)
    return text + "".join(
        generator.choices(string.ascii_lowercase, k=max(padding_length, 0))
    )
