"""The accepted configuration: plain data that every router derives alike."""

from __future__ import annotations

from typing import NamedTuple


class Workspace(NamedTuple):
    """
    A tenant.

    :ivar name: its name in the text.
    :ivar key_sha256: SHA-256 of its bearer key, hex.
    :ivar weight: its share relative to other workspaces.
    :ivar queue_limit: the most requests that one router queues for it.
    """

    name: str
    key_sha256: str
    weight: float
    queue_limit: int


class CallRule(NamedTuple):
    """
    What holds for calls of one method below one path.

    :ivar method: HTTP method.
    :ivar path: path prefix.
    :ivar idempotent: whether a call may run more than once.
    :ivar resumable: whether its event stream resumes by ``Resume-From``.
    """

    method: str
    path: str
    idempotent: bool
    resumable: bool


class Service(NamedTuple):
    """
    A service that the fleet routes to.

    :ivar name: its name in the text.
    :ivar kind: ``"model"`` or ``"plain"``.
    :ivar depends_on: services that must be served for this one to be.
    :ivar calls: rules, the longest path first.
    :ivar expected_cost: cost of a request before any is known, in units.
    :ivar largest_cost: the most that one request is charged ahead, units.
    :ivar batch_fraction: guaranteed part of a workspace's share for batch.
    """

    name: str
    kind: str
    depends_on: tuple[str, ...]
    calls: tuple[CallRule, ...]
    expected_cost: float
    largest_cost: float
    batch_fraction: float

    def find_call_rule(self, method: str, path: str) -> CallRule:
        """Return the rule of a call; an undeclared write is not idempotent."""
        for rule in self.calls:
            if rule.method == method and path.startswith(rule.path):
                return rule
        return CallRule(method, path, method not in ("POST", "PATCH"), False)


class BackendServer(NamedTuple):
    """
    A backend server.

    :ivar name: its name in the text.
    :ivar address: ``ip:port``.
    :ivar service: the service that it serves.
    :ivar failure_domain: where it stands.
    :ivar slots: concurrent requests to start with.
    :ivar slots_ceiling: the most concurrent requests ever.
    :ivar models: models it should have loaded.
    :ivar adapters: adapters it should have loaded.
    :ivar version: version that it should run, or "".
    :ivar role: role that it should have, or "".
    :ivar checks_fencing: whether it refuses orders with an old number.
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
    What identifies an accepted text; the larger one is in force.

    :ivar revision: the configuration service's revision, 0 for none.
    :ivar digest: xxh3-128 of the text, hex, "" for none.
    """

    revision: int
    digest: str


class Configuration(NamedTuple):
    """
    One accepted text.

    :ivar revision: the configuration service's revision; only rises.
    :ivar digest: xxh3-128 of the text, hex.
    :ivar text: the text itself.
    :ivar workspaces: by name.
    :ivar services: by name.
    :ivar servers: by name.
    """

    revision: int
    digest: str
    text: str
    workspaces: dict[str, Workspace]
    services: dict[str, Service]
    servers: dict[str, BackendServer]

    @property
    def version(self) -> ConfigurationVersion:
        """What identifies it."""
        return ConfigurationVersion(self.revision, self.digest)

    def list_servers(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service, by name."""
        return [
            self.servers[name]
            for name in sorted(self.servers)
            if self.servers[name].service == service
        ]
