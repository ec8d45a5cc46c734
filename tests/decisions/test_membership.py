from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.dissemination import NEWS_BUDGET, NewsQueue, limit_sends
from sycamorehaven.decisions.membership import (
    MOST_MEMBERS,
    MOST_NEWS,
    MOST_TOMBSTONES,
    TOMBSTONE_LIFETIME,
    Membership,
)
from sycamorehaven.decisions.records import (
    LARGEST_REFUTATION,
    is_newer,
    measure_record,
    rank_record,
)
from sycamorehaven.transport.messages.membership import MemberRecord

if TYPE_CHECKING:
    import random

OWN = MemberRecord("m0", 5, 0, "10.0.0.1:7000", "a", "alive")
OTHER = MemberRecord("m1", 5, 0, "10.0.0.2:7000", "a", "alive")
STATES = ("alive", "suspect", "leaving", "dead")

records = st.builds(
    MemberRecord,
    st.sampled_from(["m0", "m1", "m2"]),
    st.integers(-1, 6),
    st.integers(-1, 4),
    st.just("10.0.0.2:7000"),
    st.just("a"),
    st.sampled_from(STATES),
)


def create_view() -> Membership:
    view = Membership(OWN)
    view.take(OTHER, 0.0)
    return view


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=12))
def test_claims_about_oneself_are_always_refuted(claims: list[MemberRecord]) -> None:
    view = create_view()
    view.take_news(claims, 0.0)
    assert view.own.state == "alive"
    for claim in claims:
        if claim.host == OWN.host and claim.incarnation == OWN.incarnation:
            assert is_newer(view.own, claim) or rank_record(claim) <= rank_record(
                view.own
            )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=10), st.randoms(use_true_random=False))
def test_views_agree_whatever_the_order(
    claims: list[MemberRecord], shuffle: random.Random
) -> None:
    claims = [claim for claim in claims if claim.state != "dead"]
    shuffled = claims * 2
    shuffle.shuffle(shuffled)
    one, two = create_view(), create_view()
    one.take_news(claims, 0.0)
    two.take_news(shuffled, 0.0)
    assert one.members == two.members


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=12))
def test_an_older_incarnation_never_comes_back(claims: list[MemberRecord]) -> None:
    view = create_view()
    newest = OTHER.incarnation
    for claim in claims:
        view.take(claim, 0.0)
        known = view.find("m1")
        assert known is not None
        assert known.incarnation >= newest
        newest = known.incarnation


def test_hearsay_alone_kills_nobody() -> None:
    view = create_view()
    claim = OTHER._replace(state="dead", refutation=3)
    view.take(claim, 0.0)
    assert view.members["m1"].state == "alive"
    assert view.describe("m1", OTHER.incarnation)[1] == claim
    view.suspect("m1", OTHER.incarnation, 1.0)
    view.take(claim, 1.0)
    assert "m1" not in view.members
    view.take(OTHER._replace(refutation=4), 2.0)
    assert view.members["m1"].state == "alive"


def test_suspicion_of_an_earlier_process_is_ignored() -> None:
    view = create_view()
    view.take(OTHER._replace(incarnation=6), 0.0)
    view.suspect("m1", OTHER.incarnation, 1.0)
    assert view.members["m1"].state == "alive"


def test_second_process_with_the_same_host_is_noticed() -> None:
    view = create_view()
    view.take(OWN._replace(incarnation=4, address="10.0.0.9:1"), 0.0)
    assert view.rival is None
    view.take(OWN._replace(incarnation=6, address="10.0.0.9:1"), 0.0)
    assert view.rival is not None
    assert view.own == OWN


def test_strange_records_are_ignored() -> None:
    view = create_view()
    strange = [
        OTHER._replace(refutation=-1),
        OTHER._replace(refutation=LARGEST_REFUTATION + 1),
        OTHER._replace(incarnation=2**64),
        OTHER._replace(incarnation=0),
        OTHER._replace(state="zombie", refutation=1),
        OTHER._replace(host="", refutation=1),
        OTHER._replace(host="m" * 65, refutation=1),
        OTHER._replace(address="nowhere", refutation=1),
        OTHER._replace(address="10.0.0.2:99999", refutation=1),
        OTHER._replace(address="10.0.0.2:7000;inproc://x", refutation=1),
        OWN._replace(state="dead", refutation=LARGEST_REFUTATION),
    ]
    view.take_news(strange, 0.0)
    assert view.members == {"m1": OTHER}
    assert view.own == OWN


def test_floods_of_records_are_bounded() -> None:
    view = Membership(OWN)
    flood = [OTHER._replace(host=f"f{n}") for n in range(MOST_MEMBERS + 500)]
    view.take_news(flood[:1_000], 0.0)
    assert len(view.members) == MOST_NEWS
    for record in flood:
        view.take(record, 0.0)
    assert len(view.members) == MOST_MEMBERS


def test_tombstones_are_bounded_and_run_out() -> None:
    view = Membership(OWN)
    for number in range(MOST_TOMBSTONES + 100):
        record = OTHER._replace(host=f"f{number}", state="suspect")
        view.take(record, float(number))
        view.take(record._replace(state="dead"), float(number))
    now = float(MOST_TOMBSTONES + 100)
    view.expire(now)
    assert len(view.dead) == MOST_TOMBSTONES
    assert "f0" not in view.dead
    view.expire(now + TOMBSTONE_LIFETIME)
    assert not view.dead


def test_news_stays_within_the_budget_and_each_record_is_spread() -> None:
    queue = NewsQueue()
    spread = [OTHER._replace(host=f"f{n}", incarnation=2**62) for n in range(100)]
    for record in spread:
        queue.push(record)
    sends = dict.fromkeys((record.host for record in spread), 0)
    while len(queue):
        picked = queue.pick(420)
        assert len(msgspec.msgpack.encode(picked)) <= NEWS_BUDGET + 3
        for record in picked:
            sends[record.host] += 1
    assert set(sends.values()) == {limit_sends(420)}


@settings(derandomize=True, deadline=None, max_examples=100)
@given(records, st.integers(1, 2**63 - 1), st.integers(0, LARGEST_REFUTATION))
def test_measure_is_an_upper_bound(
    record: MemberRecord, incarnation: int, refutation: int
) -> None:
    record = record._replace(incarnation=incarnation, refutation=refutation)
    assert len(msgspec.msgpack.encode(record)) <= measure_record(record)
