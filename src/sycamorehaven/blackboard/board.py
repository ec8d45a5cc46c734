"""The blackboard, which holds all sections of one router's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.admission import AdmissionSection
from sycamorehaven.blackboard.clients import ClientsSection
from sycamorehaven.blackboard.cold_servers import ColdServersSection
from sycamorehaven.blackboard.configuration import ConfigurationSection
from sycamorehaven.blackboard.control_traffic import ControlTrafficSection
from sycamorehaven.blackboard.counters import CountersSection
from sycamorehaven.blackboard.departures import DeparturesSection
from sycamorehaven.blackboard.event_loop import EventLoopSection
from sycamorehaven.blackboard.fleet_load import FleetLoadSection
from sycamorehaven.blackboard.lifecycle import LifecycleSection
from sycamorehaven.blackboard.members import Member, MembersSection
from sycamorehaven.blackboard.outcomes import OutcomesSection
from sycamorehaven.blackboard.pauses import PausesSection
from sycamorehaven.blackboard.permits import PermitsSection
from sycamorehaven.blackboard.plain_servers import PlainServersSection
from sycamorehaven.blackboard.queues import QueuesSection
from sycamorehaven.blackboard.routing import RoutingSection
from sycamorehaven.blackboard.seeds import SeedsSection
from sycamorehaven.blackboard.server_conditions import ServerConditionsSection
from sycamorehaven.blackboard.server_statuses import ServerStatusesSection
from sycamorehaven.blackboard.suspect_requests import SuspectRequestsSection
from sycamorehaven.blackboard.tokens import TokensSection
from sycamorehaven.blackboard.unserved_services import UnservedServicesSection
from sycamorehaven.blackboard.workload import WorkloadSection
from sycamorehaven.decisions.cold_servers.paces import ColdAllowance
from sycamorehaven.decisions.usage_window import UsageWindow
from sycamorehaven.identity import RouterId, create_incarnation

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings


DEFAULT_QUOTA_WINDOW_SECONDS = 4.0
"""Length of the window over which usage is summed, without a setting."""
NO_ALLOWANCE = ColdAllowance()
"""Allowance of cold servers without a setting."""


class Blackboard:
    """
    The state that the controllers of one router share.

    :param identity: host and incarnation of this router.
    :param address: address of this router for peer messages, ``ip:port``.
    :param failure_domain: failure domain of this router's host.
    :param quota_window: length of the sliding window over which the usage of
        capacity is summed, in seconds.
    :param cold_allowance: by how much the limits of cold servers may be
        exceeded.
    :param routing: the section of published routes; an empty one if ``None``.
    """

    def __init__(
        self,
        identity: RouterId,
        address: str,
        failure_domain: str,
        quota_window: float = DEFAULT_QUOTA_WINDOW_SECONDS,
        cold_allowance: ColdAllowance = NO_ALLOWANCE,
        routing: RoutingSection | None = None,
    ) -> None:
        own = Member(
            identity.host, identity.incarnation, address, failure_domain, "alive"
        )
        self._identity = identity
        self._members = MembersSection(own)
        self._seeds = SeedsSection()
        self._event_loop = EventLoopSection()
        self._pauses = PausesSection()
        self._configuration = ConfigurationSection()
        self._lifecycle = LifecycleSection()
        self._control_traffic = ControlTrafficSection()
        self._outcomes = OutcomesSection()
        self._queues = QueuesSection()
        self._admission = AdmissionSection()
        self._permits = PermitsSection()
        self._departures = DeparturesSection()
        self._server_statuses = ServerStatusesSection(self._departures)
        self._unserved_services = UnservedServicesSection()
        self._counters = CountersSection(identity)
        self._tokens = TokensSection()
        self._suspect_requests = SuspectRequestsSection()
        self._routing = routing or RoutingSection()
        self._server_conditions = ServerConditionsSection(identity.host)
        self._cold_servers = ColdServersSection(cold_allowance)
        self._fleet_load = FleetLoadSection(UsageWindow(quota_window))
        self._plain_servers = PlainServersSection(failure_domain)
        self._workload = WorkloadSection()
        self._clients = ClientsSection()

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> Blackboard:
        """Return the initial state of a new process."""
        identity = RouterId(settings.host, create_incarnation())
        address, domain = settings.peers_address, settings.failure_domain
        gateway = settings.gateway
        if gateway is None:
            return cls(identity, address, domain)
        return cls(
            identity,
            address,
            domain,
            gateway.quota_window,
            ColdAllowance(gateway.cold_overshoot, gateway.cold_tolerance),
            RoutingSection.from_settings(gateway),
        )

    @property
    def identity(self) -> RouterId:
        """Host and incarnation of this router."""
        return self._identity

    @property
    def members(self) -> MembersSection:
        """The routers of the fleet that are not known to be dead."""
        return self._members

    @property
    def seeds(self) -> SeedsSection:
        """Peer addresses through which this router joins the fleet."""
        return self._seeds

    @property
    def pauses(self) -> PausesSection:
        """Pauses during which this process did not run."""
        return self._pauses

    @property
    def configuration(self) -> ConfigurationSection:
        """The configuration in force."""
        return self._configuration

    @property
    def lifecycle(self) -> LifecycleSection:
        """Lifecycle state of this process."""
        return self._lifecycle

    @property
    def control_traffic(self) -> ControlTrafficSection:
        """Counters of control messages."""
        return self._control_traffic

    @property
    def outcomes(self) -> OutcomesSection:
        """Counters of the outcomes of calls."""
        return self._outcomes

    @property
    def queues(self) -> QueuesSection:
        """Requests that wait for a permit at this edge."""
        return self._queues

    @property
    def admission(self) -> AdmissionSection:
        """Drain rates and memory use of the queues at this edge."""
        return self._admission

    @property
    def permits(self) -> PermitsSection:
        """Permits that this edge holds."""
        return self._permits

    @property
    def departures(self) -> DeparturesSection:
        """The backend servers that are leaving."""
        return self._departures

    @property
    def server_statuses(self) -> ServerStatusesSection:
        """Status of each backend server."""
        return self._server_statuses

    @property
    def unserved_services(self) -> UnservedServicesSection:
        """Services without an available backend server."""
        return self._unserved_services

    @property
    def counters(self) -> CountersSection:
        """Totals of the service received by workspaces, fleet-wide."""
        return self._counters

    @property
    def tokens(self) -> TokensSection:
        """Idempotency tokens that this router minted or adopted."""
        return self._tokens

    @property
    def suspect_requests(self) -> SuspectRequestsSection:
        """Requests suspected of crashing backend servers."""
        return self._suspect_requests

    @property
    def event_loop(self) -> EventLoopSection:
        """How late this process is in handling what has arrived."""
        return self._event_loop

    @property
    def routing(self) -> RoutingSection:
        """The published routes and servers."""
        return self._routing

    @property
    def server_conditions(self) -> ServerConditionsSection:
        """What servers of published routes have said of themselves."""
        return self._server_conditions

    @property
    def cold_servers(self) -> ColdServersSection:
        """The servers that have just started, and what they may get."""
        return self._cold_servers

    @property
    def fleet_load(self) -> FleetLoadSection:
        """Load of the servers of published routes, and usage by workspaces."""
        return self._fleet_load

    @property
    def plain_servers(self) -> PlainServersSection:
        """Results, slowdowns and service times of the plain servers."""
        return self._plain_servers

    @property
    def clients(self) -> ClientsSection:
        """Memory of requests, and clients that were disconnected."""
        return self._clients

    @property
    def workload(self) -> WorkloadSection:
        """Requests of each workspace here, and time by activity."""
        return self._workload
