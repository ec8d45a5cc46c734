"""Tests of the splitting of event streams."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.event_stream import MAX_EVENT_BYTES, EventSplitter


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.sampled_from([b"a", b"\n", b"\n\n", b"data: x\n\n"]), max_size=20))
def test_event_boundaries_do_not_depend_on_chunks(chunks: list[bytes]) -> None:
    whole, chunked = EventSplitter(), EventSplitter()
    data = b"".join(chunks)
    all_at_once = whole.feed(data)
    batches = [chunked.feed(chunk) for chunk in chunks]
    assert b"".join(batch.data for batch in batches) == all_at_once.data
    assert (
        sum(batch.event_count for batch in batches)
        == all_at_once.event_count
        == data.count(b"\n\n")
    )
    assert chunked.delivered_events == whole.delivered_events
    assert all_at_once.data + whole.flush() == data


def test_partial_event_is_buffered_and_discarded_on_resumption() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"data: 0\n\ndata: 1") == (b"data: 0\n\n", 1)
    assert splitter.buffered_bytes == len(b"data: 1")
    splitter.discard_partial()
    assert splitter.feed(b"data: 1\n\n") == (b"data: 1\n\n", 1)
    assert splitter.delivered_events == 2


def test_buffer_for_an_endless_event_is_bounded() -> None:
    splitter = EventSplitter()
    for _ in range(100):
        splitter.feed(b"x" * 65_536)
        assert splitter.buffered_bytes <= MAX_EVENT_BYTES
    assert not splitter.is_resumable


def test_part_of_an_endless_event_that_was_passed_on_is_an_incomplete_event() -> None:
    splitter = EventSplitter()
    assert not splitter.is_inside_event
    splitter.feed(b"x" * (MAX_EVENT_BYTES + 1))
    assert splitter.buffered_bytes == 0
    assert splitter.is_inside_event
    splitter.feed(b"x\n\n")
    assert not splitter.is_inside_event


def test_blank_lines_after_the_last_event_are_no_incomplete_event() -> None:
    splitter = EventSplitter()
    splitter.feed(b"data: x\n\n\n")
    assert not splitter.is_inside_event
    splitter.feed(b"data")
    assert splitter.is_inside_event
