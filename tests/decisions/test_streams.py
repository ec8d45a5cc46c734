"""Events are cut alike, however the bytes arrive."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.streams import LARGEST_EVENT, EventSplitter


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.sampled_from([b"a", b"\n", b"\n\n", b"data: x\n\n"]), max_size=20))
def test_cuts_do_not_depend_on_chunks(chunks: list[bytes]) -> None:
    whole, pieces = EventSplitter(), EventSplitter()
    data = b"".join(chunks)
    once = whole.feed(data)
    parts = [pieces.feed(chunk) for chunk in chunks]
    assert b"".join(part.data for part in parts) == once.data
    assert sum(part.total for part in parts) == once.total == data.count(b"\n\n")
    assert pieces.delivered == whole.delivered
    assert once.data + whole.flush() == data


def test_partial_event_is_held_back_and_dropped_on_resumption() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"data: 0\n\ndata: 1") == (b"data: 0\n\n", 1)
    assert splitter.held == len(b"data: 1")
    splitter.drop_partial()
    assert splitter.feed(b"data: 1\n\n") == (b"data: 1\n\n", 1)
    assert splitter.delivered == 2


def test_memory_for_an_endless_event_is_bounded() -> None:
    splitter = EventSplitter()
    for _ in range(100):
        splitter.feed(b"x" * 65_536)
        assert splitter.held <= LARGEST_EVENT
    assert not splitter.resumable
