"""
Size and processor time of each kind of message between routers.

``python -m benchmarks.messages`` prints them for messages whose names have
the length that is usual in production.
"""

from __future__ import annotations

from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from benchmarks.measurement import measure_time
from sycamorehaven.identity import RouterId, create_incarnation
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.kinds import MESSAGE_KINDS

REPEATS = 2_000
HOST = "router-euw1-b-000123"
ADDRESS = "10.123.145.167:7000"
WORKSPACE = "workspace-of-a-team"
SERVER = "engine-euw1-b-000123"
SERVICE = "assistant-large"
DIGEST = "d" * 32
BODY = b"x" * 300
HEADERS = [("Content-Type", "application/json")]
_VALUES_BY_FIELD: dict[str, Any] = {
    "host": HOST,
    "scheduler": HOST,
    "target_host": HOST,
    "workspace": WORKSPACE,
    "server": SERVER,
    "service": SERVICE,
    "digest": DIGEST,
    "incarnation": create_incarnation(),
    "body": BODY,
}


class MessageCost(NamedTuple):
    """
    Cost of one message.

    :ivar encoded_bytes: size of the encoded message.
    :ivar encode_seconds: processor time to encode the message.
    :ivar decode_seconds: processor time to decode the message.
    """

    encoded_bytes: int
    encode_seconds: float
    decode_seconds: float


_VALUES_BY_TYPE: dict[type, Any] = {
    str: "interactive",
    bytes: b"f" * 16,
    float: 123.456,
    bool: True,
    int: 12_345,
}


def build_message(kind: type) -> Any:
    """Return a message of a kind, with fields of production length."""
    hints = get_type_hints(kind)
    return kind(*(_choose_value(name, hint) for name, hint in hints.items()))


def _choose_value(name: str, hint: Any) -> Any:
    if get_origin(hint) is list:
        return _choose_list(get_args(hint)[0])
    if name in _VALUES_BY_FIELD:
        return _VALUES_BY_FIELD[name]
    if "address" in name or name == "on_behalf_of":
        return ADDRESS
    return _VALUES_BY_TYPE[hint]


def _choose_list(entry: Any) -> list[Any]:
    if entry is int:
        return [123_456] * 4
    if get_origin(entry) is tuple:
        return list(HEADERS)
    return [build_message(entry)]


def measure_message(message: Any) -> MessageCost:
    """Return the cost of encoding and decoding a message."""
    codec = Codec(RouterId(HOST, create_incarnation()), ADDRESS)
    data = codec.encode(message)
    return MessageCost(
        len(data),
        measure_time(lambda: codec.encode(message), REPEATS),
        measure_time(lambda: codec.decode(data), REPEATS),
    )


def measure_kinds() -> dict[str, MessageCost]:
    """Return the cost of each kind of message, with one row in each list."""
    return {
        kind.__name__: measure_message(build_message(kind)) for kind in MESSAGE_KINDS
    }


def main() -> None:
    """Print a row for each kind of message."""
    print(f"{'message':24}{'bytes':>8}{'encode us':>12}{'decode us':>12}")
    for name, cost in measure_kinds().items():
        times = f"{cost.encode_seconds * 1e6:12.1f}{cost.decode_seconds * 1e6:12.1f}"
        print(f"{name:24}{cost.encoded_bytes:8}{times}")


if __name__ == "__main__":
    main()
