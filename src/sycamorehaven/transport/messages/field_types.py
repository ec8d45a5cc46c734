"""Types of message fields with a limited length."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
"""Most characters of an address or of the name of a host or server."""

Fingerprint = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
"""An xxh3-128 hash."""
ServerName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
"""Name of a backend server."""
IncarnationName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=2 * MAX_NAME_LENGTH)
]
"""Name of a backend server with the time of its start."""
