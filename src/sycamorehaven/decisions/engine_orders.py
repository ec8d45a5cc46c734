"""
Which models a model engine is ordered to load, and when.

An order is a pure function of the configuration, and its fencing number is the
configuration's revision. Two schedulers of one server therefore can't send
different orders with the same number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.rendezvous import rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.configuration.model import BackendServer

MAX_CONCURRENT_LOADS = 8
"""Servers of the whole fleet that may start to load in one time slot."""
LOAD_SLOT_SECONDS = 30.0
"""Length of a time slot by the wall clock."""
INITIAL_RESEND_SECONDS = 10.0
"""Delay until an unfulfilled order is sent again; doubles with each resend."""
MAX_RESEND_SECONDS = 600.0
"""Longest delay between two sends of the same order."""


class EngineState(NamedTuple):
    """
    State that an engine reports.

    :ivar models: loaded models.
    :ivar adapters: loaded adapters.
    :ivar version: running version, or "" if the engine reports none.
    :ivar role: role of the engine, or "" if it reports none.
    :ivar number: fencing number of the last order that the engine accepted, 0
        if it does not keep the number.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str
    number: int = 0


class EngineOrder(NamedTuple):
    """
    Complete state that an engine is ordered to reach.

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
    Last order that this router sent to an engine.

    :ivar order: the order.
    :ivar sent_at: when it was sent, monotonic seconds.
    :ivar resend_count: how often the same order was sent again.
    """

    order: EngineOrder
    sent_at: float
    resend_count: int


def is_managed(server: BackendServer) -> bool:
    """Return whether the configuration sets a desired state for an engine."""
    return bool(server.models or server.adapters or server.version or server.role)


def build_order(server: BackendServer, revision: int) -> EngineOrder:
    """Return the order for the state that the configuration sets."""
    return EngineOrder(
        revision,
        tuple(sorted(server.models)),
        tuple(sorted(server.adapters)),
        server.version,
        server.role,
    )


def is_satisfied(order: EngineOrder, state: EngineState) -> bool:
    """Return whether the state of an engine already satisfies an order."""
    return (
        set(order.models) == set(state.models)
        and set(order.adapters) == set(state.adapters)
        and order.version in ("", state.version)
        and order.role in ("", state.role)
    )


def needs_weight_store(order: EngineOrder, state: EngineState) -> bool:
    """Return whether an engine must read the weight store for an order."""
    return (
        not set(order.models) <= set(state.models)
        or not set(order.adapters) <= set(state.adapters)
        or order.version not in ("", state.version)
    )


def has_load_slot(server: str, managed: Iterable[str], epoch_seconds: float) -> bool:
    """
    Return whether a server may start to load in the current time slot.

    All servers take turns in a fixed cycle of slots. This limits the load on
    the weight store without coordination between routers.

    :param server: name of the server.
    :param managed: names of all servers that receive orders.
    :param epoch_seconds: wall-clock time, seconds since the epoch.
    """
    ranked = rank_candidates("weights", managed)
    slot_count = -(-len(ranked) // MAX_CONCURRENT_LOADS)
    slot_index = ranked.index(server) // MAX_CONCURRENT_LOADS
    return int(epoch_seconds // LOAD_SLOT_SECONDS) % slot_count == slot_index


def is_due(order: EngineOrder, last_sent: SentOrder | None, now: float) -> bool:
    """
    Return whether the delay since the last send of the same order has passed.

    An engine that ignores fencing numbers also obeys a router with an older
    configuration. The delay bounds how often two such routers override each
    other's orders.
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
    Return the order to send now, or ``None`` if there is none.

    :param server: configuration of the engine.
    :param revision: revision of that configuration.
    :param state: state that the engine has just reported.
    :param last_sent: last order that this router sent to the engine.
    :param now: monotonic seconds.
    """
    order = build_order(server, revision)
    if not is_managed(server) or is_satisfied(order, state):
        return None
    if server.checks_fencing and state.number > revision:
        return None
    return order if is_due(order, last_sent, now) else None
