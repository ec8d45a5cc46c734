"""
What a model engine is ordered to load, and when.

The order is a pure function of the configuration, and its fencing number is
the configuration's revision: two schedulers of one server can't send
different orders under one number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.rendezvous import rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.configuration.model import BackendServer

MAX_CONCURRENT_LOADS = 8
"""Servers that may start to load in one time slot, over the whole fleet."""
LOAD_SLOT_SECONDS = 30.0
"""Length of a time slot, seconds of the wall clock."""
INITIAL_RESEND_SECONDS = 10.0
"""Seconds until an order is sent again whose state did not come; doubles."""
MAX_RESEND_SECONDS = 600.0
"""Seconds between repeats at the most."""


class EngineState(NamedTuple):
    """
    What an engine says that it has.

    :ivar models: models loaded.
    :ivar adapters: adapters loaded.
    :ivar version: version that it runs, or "".
    :ivar role: role, or "".
    :ivar number: fencing number of the last order that it took, 0 if it
        keeps none.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str
    number: int = 0


class EngineOrder(NamedTuple):
    """
    An order to an engine: the whole state that it should have.

    :ivar number: fencing number.
    :ivar models: models to have loaded.
    :ivar adapters: adapters to have loaded.
    :ivar version: version to run, or "" for any.
    :ivar role: role to have, or "" for any.
    """

    number: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str


class SentOrder(NamedTuple):
    """
    The last order to an engine.

    :ivar order: the order.
    :ivar sent_at: when, monotonic seconds.
    :ivar repeats: how often the same order was sent before.
    """

    order: EngineOrder
    sent_at: float
    resend_count: int


def is_managed(server: BackendServer) -> bool:
    """Return whether the configuration wants anything of an engine."""
    return bool(server.models or server.adapters or server.version or server.role)


def build_order(server: BackendServer, revision: int) -> EngineOrder:
    """Return the order that a configuration means for a server."""
    return EngineOrder(
        revision,
        tuple(sorted(server.models)),
        tuple(sorted(server.adapters)),
        server.version,
        server.role,
    )


def is_satisfied(order: EngineOrder, state: EngineState) -> bool:
    """Return whether an engine has what an order asks for."""
    return (
        set(order.models) == set(state.models)
        and set(order.adapters) == set(state.adapters)
        and order.version in ("", state.version)
        and order.role in ("", state.role)
    )


def needs_weight_store(order: EngineOrder, state: EngineState) -> bool:
    """Return whether an engine has to read the weight store for an order."""
    return (
        not set(order.models) <= set(state.models)
        or not set(order.adapters) <= set(state.adapters)
        or order.version not in ("", state.version)
    )


def has_load_slot(server: str, managed: Iterable[str], epoch_seconds: float) -> bool:
    """
    Return whether a server may start to load in this time slot.

    Each server has its slot in a cycle over all of them, so that the weight
    store is spared without routers agreeing on anything.

    :param managed: names of all servers that are given orders.
    :param epoch: wall-clock seconds.
    """
    ranked = rank_candidates("weights", managed)
    slot_count = -(-len(ranked) // MAX_CONCURRENT_LOADS)
    slot_index = ranked.index(server) // MAX_CONCURRENT_LOADS
    return int(epoch_seconds // LOAD_SLOT_SECONDS) % slot_count == slot_index


def is_due(order: EngineOrder, last_sent: SentOrder | None, now: float) -> bool:
    """
    Return whether an order may be sent, by when it was sent last.

    An engine that ignores numbers may be ordered about by a router with an
    older configuration; the delay bounds how often the two undo each other.
    """
    if last_sent is None or last_sent.order != order:
        return True
    delay = min(
        INITIAL_RESEND_SECONDS * 2.0 ** min(last_sent.resend_count, 10),
        MAX_RESEND_SECONDS,
    )
    return now - last_sent.sent_at >= delay


def plan_order(
    server: BackendServer,
    revision: int,
    state: EngineState,
    last_sent: SentOrder | None,
    now: float,
) -> EngineOrder | None:
    """
    Return the order to send now, ``None`` for none.

    :param state: what the engine has just said that it has.
    :param sent: the last order that this router sent to it.
    """
    order = build_order(server, revision)
    if not is_managed(server) or is_satisfied(order, state):
        return None
    if server.checks_fencing and state.number > revision:
        return None
    return order if is_due(order, last_sent, now) else None
