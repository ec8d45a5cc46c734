"""
Differences between two configuration texts, a table at a time.

A sender keeps the digests of the tables of recent texts, not the texts. A
difference names runs of tables that the receiver holds and brings the others.
"""

from __future__ import annotations

import zlib
from array import array
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from sycamorehaven.configuration.parsing import split_blocks
from sycamorehaven.exceptions.base import SycamorehavenError

if TYPE_CHECKING:
    from collections.abc import Sequence

LARGEST_TEXT = 1_000_000
"""Largest text, bytes: the configuration service holds a megabyte."""
_PACKED_LIMIT = 4 * LARGEST_TEXT
"""Largest unpacked difference, bytes."""


class Part(NamedTuple):
    """
    A run of tables.

    :ivar start: index of the first that is copied from the base.
    :ivar copied: how many are copied.
    :ivar literal: text that follows them.
    """

    start: int
    copied: int
    literal: str


class DeltaError(SycamorehavenError):
    """A text or a difference from a peer can't be unpacked."""

    code = "bad_configuration_reply"
    remedy = "the router asks for the whole text"


def digest_blocks(text: str) -> array[int]:
    """Return a 64-bit digest of each table of a text, in order."""
    digests = (xxhash.xxh3_64_intdigest(b.encode()) for b in split_blocks(text))
    return array("Q", digests)


def build_delta(base: Sequence[int], text: str) -> list[Part]:
    """
    Return the parts that make ``text`` from a base.

    :param base: digests of the base's tables.
    """
    places = {digest: index for index, digest in enumerate(base)}
    parts: list[Part] = []
    for block, digest in zip(split_blocks(text), digest_blocks(text), strict=True):
        place = places.get(digest)
        last = parts[-1] if parts else Part(0, 0, "")
        if place is None:
            grown = last._replace(literal=last.literal + block)
            parts[-1:] = [grown]
        elif parts and not last.literal and place == last.start + last.copied:
            parts[-1] = last._replace(copied=last.copied + 1)
        else:
            parts.append(Part(place, 1, ""))
    return parts


def apply_delta(base: str, parts: list[Part]) -> str:
    """
    Return the text that ``parts`` make from ``base``.

    :raises DeltaError: if it would be larger than a text may be.
    """
    blocks = split_blocks(base)
    pieces: list[str] = []
    size = 0
    for part in parts:
        if part.start < 0 or part.copied < 0:
            raise DeltaError("a part names no tables")
        piece = "".join(blocks[part.start : part.start + part.copied]) + part.literal
        size += len(piece)
        if size > LARGEST_TEXT:
            raise DeltaError("the text is too large")
        pieces.append(piece)
    return "".join(pieces)


def pack_text(text: str) -> bytes:
    """Return a whole text, compressed."""
    return zlib.compress(text.encode())


def unpack_text(data: bytes) -> bytes:
    """
    Return a whole text.

    :raises DeltaError: if it is not compressed or too large.
    """
    return _inflate(data, LARGEST_TEXT)


def pack_delta(parts: list[Part]) -> bytes:
    """Return a difference, compressed."""
    return zlib.compress(msgspec.msgpack.encode(parts))


def unpack_delta(data: bytes) -> list[Part]:
    """
    Return a difference.

    :raises DeltaError: if it is malformed or too large.
    """
    try:
        return msgspec.msgpack.decode(_inflate(data, _PACKED_LIMIT), type=list[Part])
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise DeltaError(str(error)) from error


def _inflate(data: bytes, limit: int) -> bytes:
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, limit + 1)
    except zlib.error as error:
        raise DeltaError(str(error)) from error
    if len(raw) > limit or not inflater.eof:
        raise DeltaError("larger than a text may be, or cut off")
    return raw
