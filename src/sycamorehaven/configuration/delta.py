"""
Deltas between two configuration texts, in units of TOML tables.

A text is split into blocks, each of which begins at a table header. A delta
copies runs of unchanged blocks from a base text that the receiver holds and
carries the text of all other blocks. The sender needs only the digests of the
base text's blocks, so it does not keep earlier texts.
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
"""
Largest accepted configuration text.

The configuration service stores values of up to one megabyte.
"""
_MAX_ENCODED_DELTA_BYTES = 4 * MAX_TEXT_BYTES
"""Largest accepted size of an encoded delta after decompression."""


class DeltaPart(NamedTuple):
    """
    A run of blocks copied from the base text, and text that follows it.

    :ivar first_block: index in the base text of the first copied block.
    :ivar block_count: number of copied blocks.
    :ivar inserted_text: text that is inserted after the copied blocks.
    """

    first_block: int
    block_count: int
    inserted_text: str


class DeltaError(SycamorehavenError):
    """A text or a delta from another router is malformed or too large."""

    code = "bad_configuration_reply"
    remedy = "the router asks for the whole text"


def digest_blocks(text: str) -> array[int]:
    """Return the 64-bit digest of each block of a text, in order."""
    digests = (xxhash.xxh3_64_intdigest(b.encode()) for b in split_blocks(text))
    return array("Q", digests)


def build_delta(base_digests: Sequence[int], text: str) -> list[DeltaPart]:
    """
    Return the delta that turns a base text into another text.

    :param base_digests: digests of the base text's blocks, in order.
    :param text: the text that the receiver shall obtain.
    """
    index_by_digest = {digest: index for index, digest in enumerate(base_digests)}
    parts: list[DeltaPart] = []
    for block, digest in zip(split_blocks(text), digest_blocks(text), strict=True):
        base_index = index_by_digest.get(digest)
        last = parts[-1] if parts else DeltaPart(0, 0, "")
        if base_index is None:
            extended = last._replace(inserted_text=last.inserted_text + block)
            parts[-1:] = [extended]
        elif (
            parts
            and not last.inserted_text
            and base_index == last.first_block + last.block_count
        ):
            parts[-1] = last._replace(block_count=last.block_count + 1)
        else:
            parts.append(DeltaPart(base_index, 1, ""))
    return parts


def apply_delta(base_text: str, parts: list[DeltaPart]) -> str:
    """
    Return the text that a delta makes from a base text.

    :param base_text: the base text.
    :param parts: the delta, as returned by ``build_delta``.
    :raises DeltaError: if a part is invalid or the text becomes too large.
    """
    blocks = split_blocks(base_text)
    pieces: list[str] = []
    size = 0
    for part in parts:
        if part.first_block < 0 or part.block_count < 0:
            raise DeltaError("a part of the delta has a negative index or count")
        piece = (
            "".join(blocks[part.first_block : part.first_block + part.block_count])
            + part.inserted_text
        )
        size += len(piece)
        if size > MAX_TEXT_BYTES:
            raise DeltaError("the text that the delta produces is too large")
        pieces.append(piece)
    return "".join(pieces)


def compress_text(text: str) -> bytes:
    """Return a text in compressed form."""
    return zlib.compress(text.encode())


def decompress_text(data: bytes) -> bytes:
    """
    Return the bytes of a text from its compressed form.

    :raises DeltaError: if the data is malformed or the text is too large.
    """
    return _decompress(data, MAX_TEXT_BYTES)


def encode_delta(parts: list[DeltaPart]) -> bytes:
    """Return a delta in its encoded and compressed form."""
    return zlib.compress(msgspec.msgpack.encode(parts))


def decode_delta(data: bytes) -> list[DeltaPart]:
    """
    Return a delta from its encoded and compressed form.

    :raises DeltaError: if the data is malformed or too large.
    """
    try:
        return msgspec.msgpack.decode(
            _decompress(data, _MAX_ENCODED_DELTA_BYTES), type=list[DeltaPart]
        )
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise DeltaError(str(error)) from error


def _decompress(data: bytes, limit: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise DeltaError(str(error)) from error
    if len(raw) > limit or not decompressor.eof:
        raise DeltaError(
            "the compressed data is truncated or too large when decompressed"
        )
    return raw
