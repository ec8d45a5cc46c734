"""Assignment of roles to routers, derived from the live membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.rendezvous import choose_candidate, rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sycamorehaven.blackboard.members import Member
    from sycamorehaven.configuration.model import BackendServer

READERS_PER_DOMAIN = 2
"""Number of routers in a failure domain that read the configuration and the
host list from the platform."""


def choose_scheduler(server: BackendServer, domains: Mapping[str, str]) -> str | None:
    """
    Return the host that schedules a backend server.

    A host in the server's failure domain is preferred.

    :param server: the backend server.
    :param domains: failure domain of each live host.
    """
    return choose_engine_scheduler(server.name, server.failure_domain, domains)


def choose_engine_scheduler(
    name: str, failure_domain: str, domains: Mapping[str, str]
) -> str | None:
    """
    Return the host that schedules a server of a failure domain.

    :param name: name or id of the server.
    :param failure_domain: failure domain of the server; a host there is
        preferred.
    :param domains: failure domain of each live host.
    """
    local = [host for host, domain in domains.items() if domain == failure_domain]
    return choose_candidate(f"server/{name}", local or domains)


def choose_configuration_readers(domain: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts that read from the platform for a failure domain."""
    return rank_candidates(f"reader/{domain}", hosts)[:READERS_PER_DOMAIN]


def is_configuration_reader(member: Member, domains: Mapping[str, str]) -> bool:
    """
    Return whether a router reads from the platform for its failure domain.

    :param member: membership entry of the router.
    :param domains: failure domain of each live host.
    """
    local = {
        host for host, domain in domains.items() if domain == member.failure_domain
    }
    return member.host in choose_configuration_readers(
        member.failure_domain, local | {member.host}
    )


def choose_aggregator(domain: str, hosts: Iterable[str]) -> str | None:
    """Return the host that adds up the counters of a failure domain."""
    return choose_candidate(f"aggregator/{domain}", hosts)
