"""Tests of encoding messages and of decoding them within limits."""

from __future__ import annotations

import random
import tracemalloc
from typing import Any

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec, Delivery, MessageError
from sycamorehaven.transport.messages.configuration import ConfigurationReply
from sycamorehaven.transport.messages.envelope import (
    MAX_CONTROL_MESSAGE_BYTES,
    MAX_MESSAGE_BYTES,
)
from sycamorehaven.transport.messages.kinds import MESSAGE_KINDS
from sycamorehaven.transport.messages.membership import MemberRecord, Probe, ViewDigest

RECORD = MemberRecord("a1", 5, 0, "10.0.0.1:7000", "a", "alive")
PROBE = Probe(7, "", 3, "digest", [RECORD])
MAX_ALLOCATION_BYTES = 8_388_608
"""Peak memory that decoding one malformed message may allocate."""


def create_codec() -> Codec:
    return Codec(RouterId("a1", 5), "10.0.0.1:7000")


def wrap_in_envelope(kind: int, body: bytes) -> bytes:
    """Return the bytes of an envelope around a body that may be malformed."""
    head = [1, kind, "a1", 5, "10.0.0.1:7000"]
    return b"\x96" + b"".join(map(msgspec.msgpack.encode, head)) + body


def try_decode(data: bytes) -> Delivery | None:
    try:
        return create_codec().decode(data)
    except MessageError:
        return None


def test_message_survives_a_round_trip() -> None:
    delivery = try_decode(create_codec().encode(PROBE))
    assert delivery == Delivery(RouterId("a1", 5), "10.0.0.1:7000", PROBE)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=400))
@example(b"")
@example(b"\xc1")
@example(b"\xdd\xff\xff\xff\xff")
def test_any_bytes_decode_or_raise_message_error(data: bytes) -> None:
    try_decode(data)
    for kind in (0, 9, len(MESSAGE_KINDS) - 1, 127):
        try_decode(wrap_in_envelope(kind, data))


def test_damaged_messages_decode_or_raise_message_error() -> None:
    generator = random.Random(2_026)
    whole = create_codec().encode(PROBE)
    for _ in range(5_000):
        damaged = bytearray(whole)
        for _ in range(generator.randint(1, 6)):
            damaged[generator.randrange(len(damaged))] = generator.randrange(256)
        try_decode(bytes(damaged[: generator.randint(1, len(damaged))]))
        try_decode(bytes(damaged))


def test_hostile_lengths_and_depths_use_little_memory() -> None:
    fields = b"\x95\x01\xa0\x01\xa0"
    hostile_length = MAX_MESSAGE_BYTES - 64
    hostile = [
        b"\xdd\xff\xff\xff\xff",
        b"\x91" * hostile_length,
        wrap_in_envelope(0, fields + b"\xdd\xff\xff\xff\xff"),
        wrap_in_envelope(0, fields + b"\x91" * hostile_length),
        wrap_in_envelope(0, b"\xdf\xff\xff\xff\xff"),
        wrap_in_envelope(0, b"\x95\x01\xdb\xff\xff\xff\xff"),
        wrap_in_envelope(
            MESSAGE_KINDS.index(ViewDigest),
            b"\x92\x01\xdd"
            + hostile_length.to_bytes(4, "big")
            + b"\x01" * hostile_length,
        ),
    ]
    for data in hostile:
        tracemalloc.start()
        assert try_decode(data) is None
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < MAX_ALLOCATION_BYTES


def test_invalid_envelopes_are_rejected() -> None:
    body = msgspec.Raw(msgspec.msgpack.encode(PROBE))
    good = [1, 0, "a1", 5, "10.0.0.1:7000", body]
    invalid = [(0, 2), (1, -1), (1, 99), (2, ""), (2, "a" * 65), (3, -5), (3, 2**63)]
    assert try_decode(msgspec.msgpack.encode(good)) is not None
    for index, value in [*invalid, (4, "1" * 65)]:
        fields = [*good[:index], value, *good[index + 1 :]]
        assert try_decode(msgspec.msgpack.encode(fields)) is None, fields[index]


def test_sizes_are_bounded_by_kind_on_both_sides() -> None:
    codec = create_codec()
    bulk = ConfigurationReply(1, "", "", compressed=b"x" * MAX_CONTROL_MESSAGE_BYTES)
    assert try_decode(codec.encode(bulk)) is not None
    digest = ViewDigest(1, [2**31] * MAX_CONTROL_MESSAGE_BYTES)
    for message in (digest, bulk._replace(compressed=b"x" * MAX_MESSAGE_BYTES)):
        try:
            codec.encode(message)
        except MessageError:
            continue
        raise AssertionError("a message above the limit of its kind was encoded")


def test_unencodable_values_raise_message_error() -> None:
    mixed: list[Any] = [1j]
    invalid = [object(), PROBE._replace(revision=2**70), PROBE._replace(news=mixed)]
    for message in invalid:
        try:
            create_codec().encode(message)
        except MessageError:
            continue
        raise AssertionError("an unencodable message was encoded")
