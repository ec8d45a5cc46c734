"""What precedes a request that another router has passed on."""

from __future__ import annotations

PREFACE = b"\0offloaded\r\n"
"""No HTTP request begins with a zero byte."""


class PrefaceReader:
    """
    Finds the preface at the beginning of a connection.

    :ivar is_offloaded: whether the connection begins with the preface.
    """

    def __init__(self) -> None:
        self.is_offloaded = False
        self._expected = PREFACE

    def strip(self, data: bytes) -> bytes:
        """Return received bytes without those of the preface."""
        if not self._expected or not data:
            return data
        if not self.is_offloaded and not data.startswith(self._expected[:1]):
            self._expected = b""
            return data
        self.is_offloaded = True
        size = min(len(data), len(self._expected))
        if data[:size] != self._expected[:size]:
            # The rest is no request, and is refused as one.
            self._expected = b""
            return data
        self._expected = self._expected[size:]
        return data[size:]
