"""What becomes of requests at a host with little processor time."""

from __future__ import annotations

from tests.support.host_simulation import HostCosts, HostSimulation

SMALLEST_QUOTA = 0.387
"""Fraction of a core that the smallest host has."""
COSTS = HostCosts(
    reading=1.0e-3,
    sending=1.0e-3,
    event=0.08e-3,
    rejection=0.2e-3,
    decision=0.6e-3,
    dispatch_pass=1.5e-3,
)
CAPACITY = SMALLEST_QUOTA / COSTS.stream
"""Streams a second that the host can relay if it rejects nothing."""
SECONDS = 9


def simulate(rate: float) -> HostSimulation:
    """Run the smallest host for some seconds."""
    simulation = HostSimulation(COSTS, SMALLEST_QUOTA)
    simulation.run(rate, float(SECONDS))
    print(rate, "capacity", round(CAPACITY))
    for name in ("accepted", "begun", "rejected_unread", "rejected_after_reading"):
        counts = getattr(simulation, name)
        print(name, [counts[second] for second in range(SECONDS)])
    return simulation


# A dispatcher without time rejects what has cost as much as an answer.
def test_flooded_host_rejects_most_requests_after_it_has_read_them() -> None:
    for rate in (160.0, 260.0):
        simulation = simulate(rate)
        wasted = simulation.rejected_after_reading.total()
        assert wasted <= 0.1 * simulation.accepted.total()


def test_flooded_host_begins_half_of_the_streams_that_it_could_relay() -> None:
    for rate in (160.0, 260.0):
        simulation = simulate(rate)
        begun = [simulation.begun[second] for second in range(1, SECONDS)]
        # What the processor can do besides rejecting the others.
        rejections = simulation.rejected_unread.total() / SECONDS
        capacity = CAPACITY - rejections * COSTS.rejection / COSTS.stream
        assert min(begun) >= 0.6 * capacity
        assert sum(begun) / len(begun) >= 0.7 * capacity


def test_host_with_time_left_rejects_requests_for_lack_of_it() -> None:
    simulation = simulate(2 / 3 * CAPACITY)
    assert simulation.rejected_after_reading.total() == 0
    assert simulation.begun.total() >= 0.95 * simulation.accepted.total()
