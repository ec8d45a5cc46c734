"""Refusals of requests to the operators' (admin) interface."""

from __future__ import annotations

from typing import ClassVar

from sycamorehaven.exceptions.base import SycamorehavenError


class AdminRefusal(SycamorehavenError):
    """
    A request to the admin interface that the router refuses.

    :cvar status: HTTP status code of the response.
    """

    code = "admin_error"
    remedy = "look for the error in the router's log"
    status: ClassVar[int] = 500


class InvalidAdminKey(AdminRefusal):
    """The request has no admin key or a wrong one."""

    code = "invalid_admin_key"
    remedy = "send 'Authorization: Bearer <admin key>' with the router's key"
    status = 401


class UnknownAdminPath(AdminRefusal):
    """The admin interface has no resource at the requested path."""

    code = "unknown_admin_path"
    remedy = "use one of the paths on the page for operators"
    status = 404


class ReadOnlyInterface(AdminRefusal):
    """The request uses a method other than GET."""

    code = "read_only_interface"
    remedy = "send GET; the fleet is driven by the configuration text alone"
    status = 405


class InvalidAdminQuery(AdminRefusal):
    """A query parameter of the request is malformed."""

    code = "invalid_admin_query"
    remedy = "correct the named parameter"
    status = 400
