"""Counters of control messages, written by the peer transport."""

from __future__ import annotations

from collections import Counter


class ControlTrafficSection:
    """Sent and received messages and bytes by kind, and drops by cause."""

    def __init__(self) -> None:
        self._sent_messages: Counter[str] = Counter()
        self._sent_bytes: Counter[str] = Counter()
        self._received_messages: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()
        self._dropped_messages: Counter[str] = Counter()

    @property
    def sent_messages(self) -> Counter[str]:
        """Number of sent messages by kind."""
        return self._sent_messages

    @property
    def sent_bytes(self) -> Counter[str]:
        """Number of sent bytes by kind of message."""
        return self._sent_bytes

    @property
    def received_messages(self) -> Counter[str]:
        """Number of received messages by kind."""
        return self._received_messages

    @property
    def received_bytes(self) -> Counter[str]:
        """Number of received bytes by kind of message."""
        return self._received_bytes

    @property
    def dropped_messages(self) -> Counter[str]:
        """Number of dropped messages by cause."""
        return self._dropped_messages

    def count_sent(self, kind: str, size: int) -> None:
        """Count a sent message of ``size`` bytes."""
        self._sent_messages[kind] += 1
        self._sent_bytes[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Count a received message of ``size`` bytes."""
        self._received_messages[kind] += 1
        self._received_bytes[kind] += size

    def count_dropped(self, cause: str) -> None:
        """Count a dropped message."""
        self._dropped_messages[cause] += 1
