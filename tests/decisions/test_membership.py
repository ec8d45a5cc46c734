"""Tests of the membership view, its records and the gossip queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.dissemination import (
    GOSSIP_BUDGET_BYTES,
    GossipQueue,
    compute_send_limit,
)
from sycamorehaven.decisions.member_records import (
    MAX_REFUTATION,
    compute_max_encoded_bytes,
    compute_precedence,
    is_newer,
)
from sycamorehaven.decisions.membership import (
    MAX_GOSSIP_RECORDS,
    MAX_MEMBERS,
    MAX_TOMBSTONES,
    TOMBSTONE_LIFETIME_SECONDS,
    Membership,
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


def create_membership() -> Membership:
    membership = Membership(OWN)
    membership.merge_record(OTHER, 0.0)
    return membership


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=12))
def test_claims_about_the_own_host_are_refuted(claims: list[MemberRecord]) -> None:
    membership = create_membership()
    membership.merge_records(claims, 0.0)
    assert membership.own_record.state == "alive"
    for claim in claims:
        if claim.host == OWN.host and claim.incarnation == OWN.incarnation:
            assert is_newer(membership.own_record, claim) or compute_precedence(
                claim
            ) <= compute_precedence(membership.own_record)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=10), st.randoms(use_true_random=False))
def test_views_converge_in_any_order(
    claims: list[MemberRecord], shuffle: random.Random
) -> None:
    claims = [claim for claim in claims if claim.state != "dead"]
    shuffled = claims * 2
    shuffle.shuffle(shuffled)
    one, two = create_membership(), create_membership()
    one.merge_records(claims, 0.0)
    two.merge_records(shuffled, 0.0)
    assert one.members == two.members


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(records, max_size=12))
def test_older_incarnation_never_replaces_a_newer_one(
    claims: list[MemberRecord],
) -> None:
    membership = create_membership()
    newest = OTHER.incarnation
    for claim in claims:
        membership.merge_record(claim, 0.0)
        known = membership.find_record("m1")
        assert known is not None
        assert known.incarnation >= newest
        newest = known.incarnation


def test_unconfirmed_death_claim_is_not_applied() -> None:
    membership = create_membership()
    claim = OTHER._replace(state="dead", refutation=3)
    membership.merge_record(claim, 0.0)
    assert membership.members["m1"].state == "alive"
    assert membership.list_records_about("m1", OTHER.incarnation)[1] == claim
    membership.mark_suspect("m1", OTHER.incarnation, 1.0)
    membership.merge_record(claim, 1.0)
    assert "m1" not in membership.members
    membership.merge_record(OTHER._replace(refutation=4), 2.0)
    assert membership.members["m1"].state == "alive"


def test_suspicion_of_an_earlier_incarnation_is_ignored() -> None:
    membership = create_membership()
    membership.merge_record(OTHER._replace(incarnation=6), 0.0)
    membership.mark_suspect("m1", OTHER.incarnation, 1.0)
    assert membership.members["m1"].state == "alive"


def test_second_process_with_the_same_host_is_detected() -> None:
    membership = create_membership()
    membership.merge_record(OWN._replace(incarnation=4, address="10.0.0.9:1"), 0.0)
    assert membership.host_conflict is None
    membership.merge_record(OWN._replace(incarnation=6, address="10.0.0.9:1"), 0.0)
    assert membership.host_conflict is not None
    assert membership.own_record == OWN


def test_invalid_records_are_ignored() -> None:
    membership = create_membership()
    invalid_records = [
        OTHER._replace(refutation=-1),
        OTHER._replace(refutation=MAX_REFUTATION + 1),
        OTHER._replace(incarnation=2**64),
        OTHER._replace(incarnation=0),
        OTHER._replace(state="zombie", refutation=1),
        OTHER._replace(host="", refutation=1),
        OTHER._replace(host="m" * 65, refutation=1),
        OTHER._replace(address="nowhere", refutation=1),
        OTHER._replace(address="10.0.0.2:99999", refutation=1),
        OTHER._replace(address="10.0.0.2:7000;inproc://x", refutation=1),
        OWN._replace(state="dead", refutation=MAX_REFUTATION),
    ]
    membership.merge_records(invalid_records, 0.0)
    assert membership.members == {"m1": OTHER}
    assert membership.own_record == OWN


def test_record_and_member_counts_are_bounded() -> None:
    membership = Membership(OWN)
    flood = [OTHER._replace(host=f"f{n}") for n in range(MAX_MEMBERS + 500)]
    membership.merge_records(flood[:1_000], 0.0)
    assert len(membership.members) == MAX_GOSSIP_RECORDS
    for record in flood:
        membership.merge_record(record, 0.0)
    assert len(membership.members) == MAX_MEMBERS


def test_tombstones_are_bounded_and_expire() -> None:
    membership = Membership(OWN)
    for number in range(MAX_TOMBSTONES + 100):
        record = OTHER._replace(host=f"f{number}", state="suspect")
        membership.merge_record(record, float(number))
        membership.merge_record(record._replace(state="dead"), float(number))
    now = float(MAX_TOMBSTONES + 100)
    membership.expire(now)
    assert len(membership.dead_members) == MAX_TOMBSTONES
    assert "f0" not in membership.dead_members
    membership.expire(now + TOMBSTONE_LIFETIME_SECONDS)
    assert not membership.dead_members


def test_gossip_stays_within_the_budget_and_sends_each_record() -> None:
    queue = GossipQueue()
    queued_records = [
        OTHER._replace(host=f"f{n}", incarnation=2**62) for n in range(100)
    ]
    for record in queued_records:
        queue.enqueue(record)
    send_counts = dict.fromkeys((record.host for record in queued_records), 0)
    while len(queue):
        selected = queue.select_records(420)
        assert len(msgspec.msgpack.encode(selected)) <= GOSSIP_BUDGET_BYTES + 3
        for record in selected:
            send_counts[record.host] += 1
    assert set(send_counts.values()) == {compute_send_limit(420)}


@settings(derandomize=True, deadline=None, max_examples=100)
@given(records, st.integers(1, 2**63 - 1), st.integers(0, MAX_REFUTATION))
def test_encoded_size_never_exceeds_its_bound(
    record: MemberRecord, incarnation: int, refutation: int
) -> None:
    record = record._replace(incarnation=incarnation, refutation=refutation)
    assert len(msgspec.msgpack.encode(record)) <= compute_max_encoded_bytes(record)
