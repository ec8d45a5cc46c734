"""Refusals of the interface for operators."""

from __future__ import annotations

from typing import ClassVar

from sycamorehaven.exceptions.base import SycamorehavenError


class AdminRefusal(SycamorehavenError):
    """
    A request of an operator that is not answered.

    :cvar status: HTTP status code.
    """

    code = "admin_error"
    remedy = "look for the error in the router's log"
    status: ClassVar[int] = 500


class InvalidAdminKey(AdminRefusal):
    """The request bears no key or the wrong one."""

    code = "invalid_admin_key"
    remedy = "send 'Authorization: Bearer <admin key>' with the router's key"
    status = 401


class UnknownAdminPath(AdminRefusal):
    """The interface has no such path."""

    code = "unknown_admin_path"
    remedy = "use one of the paths on the page for operators"
    status = 404


class ReadOnlyInterface(AdminRefusal):
    """The interface answers GET only."""

    code = "read_only_interface"
    remedy = "send GET; the fleet is driven by the configuration text alone"
    status = 405


class InvalidAdminQuery(AdminRefusal):
    """A query parameter does not have the required form."""

    code = "invalid_admin_query"
    remedy = "correct the named parameter"
    status = 400
