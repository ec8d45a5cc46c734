"""Tests of strikes, the quarantine of requests and leases on suspect runs."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.quarantine import (
    LEASE_SECONDS,
    MAX_STRIKES,
    MAX_SUSPECTS,
    STRIKE_LIFETIME_SECONDS,
    LeaseTable,
    ServerLoss,
    SuspectTable,
    fingerprint_request,
)

FINGERPRINT = b"p" * 16

LOSSES = st.tuples(
    st.integers(1, 12),
    st.builds(
        ServerLoss,
        server=st.sampled_from(["s1", "s2", "s3"]),
        lost_at=st.floats(0, 50),
        ran_seconds=st.floats(0, 5),
        was_isolated=st.booleans(),
    ),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(LOSSES, max_size=12, unique_by=lambda item: item[0]), st.randoms())
def test_duplicates_and_order_of_strikes_do_not_matter(
    strikes: list[tuple[int, ServerLoss]], random: object
) -> None:
    tables = SuspectTable(), SuspectTable()
    shuffled = strikes + strikes[:3]
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    for table, order in zip(tables, (strikes, shuffled), strict=True):
        for number, loss in order[: MAX_STRIKES + 3]:
            table.add_strike(FINGERPRINT, number, loss, 50.0)
    if len(strikes) <= MAX_STRIKES:
        assert tables[0].assess(FINGERPRINT, 60.0) == tables[1].assess(
            FINGERPRINT, 60.0
        )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(LOSSES, max_size=12), st.floats(0, 60))
def test_quarantine_needs_two_losses_and_one_isolated_run(
    strikes: list[tuple[int, ServerLoss]], cleared_at: float
) -> None:
    table = SuspectTable()
    for number, loss in strikes:
        table.add_strike(FINGERPRINT, number, loss, 50.0)
    status = table.assess(FINGERPRINT, 60.0)
    assert (status.state == "clear") == (not strikes)
    if status.state == "quarantined":
        assert any(loss.was_isolated for _, loss in strikes)
        assert len(strikes) > 1
    table.clear_strikes(FINGERPRINT, cleared_at)
    remaining_losses = [loss for _, loss in strikes if loss.lost_at > cleared_at]
    if not remaining_losses:
        assert table.assess(FINGERPRINT, 60.0).state == "clear"
    assert (
        table.assess(FINGERPRINT, 50.0 + STRIKE_LIFETIME_SECONDS + 1.0).state == "clear"
    )


def test_strikes_of_one_server_loss_count_once() -> None:
    table = SuspectTable()
    for number in range(20):
        table.add_strike(
            FINGERPRINT, number, ServerLoss("s1", 10.0 + number / 100, 1.0, False), 11.0
        )
    assert table.assess(FINGERPRINT, 11.0).state == "suspect"
    for number in range(20, 40):
        table.add_strike(FINGERPRINT, number, ServerLoss("s2", 12.0, 1.0, False), 12.0)
    assert table.assess(FINGERPRINT, 12.0).state == "suspect"
    table.clear_strikes(FINGERPRINT, 13.0)
    assert table.assess(FINGERPRINT, 13.0).state == "clear"
    assert not table.add_strike(
        FINGERPRINT, 99, ServerLoss("s1", 12.5, 1.0, True), 13.0
    )


def test_second_loss_in_an_isolated_run_quarantines() -> None:
    table = SuspectTable()
    table.add_strike(FINGERPRINT, 1, ServerLoss("s1", 10.0, 0.1, False), 10.0)
    table.add_strike(FINGERPRINT, 2, ServerLoss("s2", 11.0, 0.1, True), 11.0)
    assert table.assess(FINGERPRINT, 11.0).state == "quarantined"


def test_isolation_outlasts_the_earlier_run() -> None:
    table = SuspectTable()
    table.add_strike(FINGERPRINT, 1, ServerLoss("s1", 10.0, 30.0, False), 10.0)
    assert table.assess(FINGERPRINT, 10.0).isolation_seconds > 30.0


def test_memory_is_bounded() -> None:
    table = SuspectTable()
    for number in range(MAX_SUSPECTS + 500):
        for strike in range(2):
            key = number.to_bytes(16)
            table.add_strike(
                key, number * 2 + strike, ServerLoss("s", 1.0, 0.0, False), 1.0
            )
    for strike in range(MAX_STRIKES * 3):
        table.add_strike(
            FINGERPRINT, 10**6 + strike, ServerLoss("s", 2.0, 0.0, True), 2.0
        )
    assert len(table) == MAX_SUSPECTS
    assert table.assess(FINGERPRINT, 2.0).state == "quarantined"
    assert len(table.list_strikes(2.0)) <= 2 * MAX_SUSPECTS + MAX_STRIKES


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0, 2)), max_size=40
    )
)
def test_lease_has_one_holder_at_a_time(steps: list[tuple[str, bool, float]]) -> None:
    table = LeaseTable()
    now, holders = 0.0, dict[str, float]()
    for router, release, pause in steps:
        now += pause
        holders = {
            name: expires_at for name, expires_at in holders.items() if expires_at > now
        }
        if release:
            table.release(FINGERPRINT, router, 1)
            holders.pop(router, None)
        elif table.acquire(FINGERPRINT, router, 1, now):
            holders[router] = now + LEASE_SECONDS
        assert len(holders) <= 1


def test_new_table_grants_no_lease_while_an_earlier_one_may_be_valid() -> None:
    table = LeaseTable()
    table.refuse_new_until(10.0 + LEASE_SECONDS)
    assert not table.acquire(FINGERPRINT, "a1/1", 1, 10.0)
    assert table.acquire(FINGERPRINT, "a1/1", 1, 10.0 + LEASE_SECONDS)


def test_fingerprint_keeps_fields_apart() -> None:
    fingerprint = fingerprint_request("w", "s", "GET", "/a", b"b")
    assert fingerprint != fingerprint_request("w", "s", "GET", "/ab", b"")
    assert fingerprint != fingerprint_request("ws", "", "GET", "/a", b"b")
    assert len(fingerprint) == 16
