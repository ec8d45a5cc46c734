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

MAX_TEXT_BYTES = 1_000_000
"""Largest text, bytes: the configuration service holds a megabyte."""
_MAX_ENCODED_DELTA_BYTES = 4 * MAX_TEXT_BYTES
"""Largest unpacked difference, bytes."""


class DeltaPart(NamedTuple):
    """
    A run of tables.

    :ivar start: index of the first that is copied from the base.
    :ivar copied: how many are copied.
    :ivar literal: text that follows them.
    """

    first_block: int
    block_count: int
    inserted_text: str


class DeltaError(SycamorehavenError):
    """A text or a difference from a peer can't be unpacked."""

    code = "bad_configuration_reply"
    remedy = "the router asks for the whole text"


def digest_blocks(text: str) -> array[int]:
    """Return a 64-bit digest of each table of a text, in order."""
    digests = (xxhash.xxh3_64_intdigest(b.encode()) for b in split_blocks(text))
    return array("Q", digests)


def build_delta(base: Sequence[int], text: str) -> list[DeltaPart]:
    """
    Return the parts that make ``text`` from a base.

    :param base: digests of the base's tables.
    """
    places = {digest: index for index, digest in enumerate(base)}
    parts: list[DeltaPart] = []
    for block, digest in zip(split_blocks(text), digest_blocks(text), strict=True):
        place = places.get(digest)
        last = parts[-1] if parts else DeltaPart(0, 0, "")
        if place is None:
            grown = last._replace(inserted_text=last.inserted_text + block)
            parts[-1:] = [grown]
        elif (
            parts
            and not last.inserted_text
            and place == last.first_block + last.block_count
        ):
            parts[-1] = last._replace(block_count=last.block_count + 1)
        else:
            parts.append(DeltaPart(place, 1, ""))
    return parts


def apply_delta(base: str, parts: list[DeltaPart]) -> str:
    """
    Return the text that ``parts`` make from ``base``.

    :raises DeltaError: if it would be larger than a text may be.
    """
    blocks = split_blocks(base)
    pieces: list[str] = []
    size = 0
    for part in parts:
        if part.first_block < 0 or part.block_count < 0:
            raise DeltaError("a part names no tables")
        piece = (
            "".join(blocks[part.first_block : part.first_block + part.block_count])
            + part.inserted_text
        )
        size += len(piece)
        if size > MAX_TEXT_BYTES:
            raise DeltaError("the text is too large")
        pieces.append(piece)
    return "".join(pieces)


def compress_text(text: str) -> bytes:
    """Return a whole text, compressed."""
    return zlib.compress(text.encode())


def decompress_text(data: bytes) -> bytes:
    """
    Return a whole text.

    :raises DeltaError: if it is not compressed or too large.
    """
    return _decompress(data, MAX_TEXT_BYTES)


def encode_delta(parts: list[DeltaPart]) -> bytes:
    """Return a difference, compressed."""
    return zlib.compress(msgspec.msgpack.encode(parts))


def decode_delta(data: bytes) -> list[DeltaPart]:
    """
    Return a difference.

    :raises DeltaError: if it is malformed or too large.
    """
    try:
        return msgspec.msgpack.decode(
            _decompress(data, _MAX_ENCODED_DELTA_BYTES), type=list[DeltaPart]
        )
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise DeltaError(str(error)) from error


def _decompress(data: bytes, limit: int) -> bytes:
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, limit + 1)
    except zlib.error as error:
        raise DeltaError(str(error)) from error
    if len(raw) > limit or not inflater.eof:
        raise DeltaError("larger than a text may be, or cut off")
    return raw
