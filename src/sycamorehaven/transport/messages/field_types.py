"""Bounded names and identifiers that messages carry."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
"""Characters of a host, an address or a backend server."""

Fingerprint = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
ServerName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
