"""Who is quarantined, and who only looks like it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.quarantine import (
    LEASE_TIME,
    MOST_STRIKES,
    MOST_SUSPECTS,
    STRIKE_LIFETIME,
    LeaseTable,
    Loss,
    SuspectTable,
    hash_request,
)

POISON = b"p" * 16

LOSSES = st.tuples(
    st.integers(1, 12),
    st.builds(
        Loss,
        server=st.sampled_from(["s1", "s2", "s3"]),
        at=st.floats(0, 50),
        ran=st.floats(0, 5),
        alone=st.booleans(),
    ),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(LOSSES, max_size=12, unique_by=lambda item: item[0]), st.randoms())
def test_repeats_and_order_of_strikes_do_not_matter(
    strikes: list[tuple[int, Loss]], random: object
) -> None:
    tables = SuspectTable(), SuspectTable()
    shuffled = strikes + strikes[:3]
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    for table, order in zip(tables, (strikes, shuffled), strict=True):
        for number, loss in order[: MOST_STRIKES + 3]:
            table.add(POISON, number, loss, 50.0)
    if len(strikes) <= MOST_STRIKES:
        assert tables[0].judge(POISON, 60.0) == tables[1].judge(POISON, 60.0)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(LOSSES, max_size=12), st.floats(0, 60))
def test_quarantine_needs_two_losses_and_one_run_alone(
    strikes: list[tuple[int, Loss]], cleared_at: float
) -> None:
    table = SuspectTable()
    for number, loss in strikes:
        table.add(POISON, number, loss, 50.0)
    judgement = table.judge(POISON, 60.0)
    assert (judgement.state == "clear") == (not strikes)
    if judgement.state == "quarantined":
        assert any(loss.alone for _, loss in strikes)
        assert len(strikes) > 1
    table.clear(POISON, cleared_at)
    left = [loss for _, loss in strikes if loss.at > cleared_at]
    if not left:
        assert table.judge(POISON, 60.0).state == "clear"
    assert table.judge(POISON, 50.0 + STRIKE_LIFETIME + 1.0).state == "clear"


def test_popular_innocent_beside_a_crash_is_struck_once() -> None:
    table = SuspectTable()
    for number in range(20):
        table.add(POISON, number, Loss("s1", 10.0 + number / 100, 1.0, False), 11.0)
    assert table.judge(POISON, 11.0).state == "suspect"
    for number in range(20, 40):
        table.add(POISON, number, Loss("s2", 12.0, 1.0, False), 12.0)
    assert table.judge(POISON, 12.0).state == "suspect"
    table.clear(POISON, 13.0)
    assert table.judge(POISON, 13.0).state == "clear"
    assert not table.add(POISON, 99, Loss("s1", 12.5, 1.0, True), 13.0)


def test_second_loss_in_a_run_alone_is_final() -> None:
    table = SuspectTable()
    table.add(POISON, 1, Loss("s1", 10.0, 0.1, False), 10.0)
    table.add(POISON, 2, Loss("s2", 11.0, 0.1, True), 11.0)
    assert table.judge(POISON, 11.0).state == "quarantined"


def test_probation_outlasts_the_time_that_the_crash_took() -> None:
    table = SuspectTable()
    table.add(POISON, 1, Loss("s1", 10.0, 30.0, False), 10.0)
    assert table.judge(POISON, 10.0).probation > 30.0


def test_memory_is_bounded() -> None:
    table = SuspectTable()
    for number in range(MOST_SUSPECTS + 500):
        for strike in range(2):
            key = number.to_bytes(16)
            table.add(key, number * 2 + strike, Loss("s", 1.0, 0.0, False), 1.0)
    for strike in range(MOST_STRIKES * 3):
        table.add(POISON, 10**6 + strike, Loss("s", 2.0, 0.0, True), 2.0)
    assert len(table) == MOST_SUSPECTS
    assert table.judge(POISON, 2.0).state == "quarantined"
    assert len(table.list(2.0)) <= 2 * MOST_SUSPECTS + MOST_STRIKES


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0, 2)), max_size=40
    )
)
def test_one_holder_of_a_lease_at_a_time(steps: list[tuple[str, bool, float]]) -> None:
    table = LeaseTable()
    now, held = 0.0, dict[str, float]()
    for router, release, pause in steps:
        now += pause
        held = {name: ends for name, ends in held.items() if ends > now}
        if release:
            table.release(POISON, router, 1)
            held.pop(router, None)
        elif table.take(POISON, router, 1, now):
            held[router] = now + LEASE_TIME
        assert len(held) <= 1


def test_new_table_gives_no_lease_while_a_former_one_may_run() -> None:
    table = LeaseTable()
    table.close_until(10.0 + LEASE_TIME)
    assert not table.take(POISON, "a1/1", 1, 10.0)
    assert table.take(POISON, "a1/1", 1, 10.0 + LEASE_TIME)


def test_fingerprint_keeps_fields_apart() -> None:
    plain = hash_request("w", "s", "GET", "/a", b"b")
    assert plain != hash_request("w", "s", "GET", "/ab", b"")
    assert plain != hash_request("ws", "", "GET", "/a", b"b")
    assert len(plain) == 16
