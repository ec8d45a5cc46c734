"""
The model of an accepted configuration text.

It is plain data that every router derives alike from the same text.
"""

from __future__ import annotations

from typing import NamedTuple


class Workspace(NamedTuple):
    """
    A tenant of the fleet.

    :ivar name: name of the workspace in the text.
    :ivar key_sha256: SHA-256 digest of the workspace's bearer key, in hex.
    :ivar weight: share of capacity relative to the other workspaces.
    :ivar queue_limit: largest number of requests that one router queues for
        the workspace.
    """

    name: str
    key_sha256: str
    weight: float
    queue_limit: int


class CallRule(NamedTuple):
    """
    Properties of the calls with one HTTP method below one path.

    :ivar method: HTTP method.
    :ivar path: path prefix.
    :ivar idempotent: whether a call may be executed more than once.
    :ivar resumable: whether the event stream of a response can be resumed
        with the ``Resume-From`` header.
    """

    method: str
    path: str
    idempotent: bool
    resumable: bool


class Service(NamedTuple):
    """
    A service that the fleet routes to.

    Costs are in tokens for a model service and in slot seconds for a plain
    service. A slot second is the use of one slot for one second.

    :ivar name: name of the service in the text.
    :ivar kind: ``"model"`` or ``"plain"``.
    :ivar depends_on: names of the services that must be served for this
        service to be served.
    :ivar calls: rules for calls, those with the longest path first.
    :ivar expected_cost: estimated cost of a request as long as no request
        has been measured.
    :ivar largest_cost: largest cost that is charged for one request in
        advance.
    :ivar batch_fraction: fraction of a workspace's share that is guaranteed
        to batch requests.
    """

    name: str
    kind: str
    depends_on: tuple[str, ...]
    calls: tuple[CallRule, ...]
    expected_cost: float
    largest_cost: float
    batch_fraction: float

    def find_call_rule(self, method: str, path: str) -> CallRule:
        """
        Return the rule that applies to a call.

        Without a declared rule, a ``POST`` or ``PATCH`` is not idempotent
        and every other method is.
        """
        for rule in self.calls:
            if rule.method == method and path.startswith(rule.path):
                return rule
        return CallRule(method, path, method not in ("POST", "PATCH"), False)


class BackendServer(NamedTuple):
    """
    A backend server.

    :ivar name: name of the server in the text.
    :ivar address: address of the server, as ``ip:port``.
    :ivar service: name of the service that the server serves.
    :ivar failure_domain: name of the failure domain that the server is in.
    :ivar slots: initial limit of concurrent requests.
    :ivar slots_ceiling: largest limit of concurrent requests.
    :ivar models: models that the server should have loaded.
    :ivar adapters: adapters that the server should have loaded.
    :ivar version: version that the server should run, "" if not set.
    :ivar role: role that the server should have, "" if not set.
    :ivar checks_fencing: whether the server refuses orders with an outdated
        fencing number.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    slots: int
    slots_ceiling: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str
    checks_fencing: bool


class ConfigurationVersion(NamedTuple):
    """
    The identity of an accepted text.

    Of two versions the one that compares as larger is in force.

    :ivar revision: revision in the configuration service, 0 for no text.
    :ivar digest: xxh3-128 digest of the text in hex, "" for no text.
    """

    revision: int
    digest: str


class Configuration(NamedTuple):
    """
    An accepted configuration text in parsed form.

    :ivar revision: revision in the configuration service; it never falls.
    :ivar digest: xxh3-128 digest of the text, in hex.
    :ivar text: the text itself.
    :ivar workspaces: workspaces by name.
    :ivar services: services by name.
    :ivar servers: backend servers by name.
    """

    revision: int
    digest: str
    text: str
    workspaces: dict[str, Workspace]
    services: dict[str, Service]
    servers: dict[str, BackendServer]

    @property
    def version(self) -> ConfigurationVersion:
        """The revision and digest, which identify the configuration."""
        return ConfigurationVersion(self.revision, self.digest)

    def list_servers(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service, sorted by name."""
        return [
            self.servers[name]
            for name in sorted(self.servers)
            if self.servers[name].service == service
        ]
