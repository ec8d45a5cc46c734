"""Exceptions of the command-line tool."""

from __future__ import annotations

from sycamorehaven.exceptions.base import SycamorehavenError


class ConsoleError(SycamorehavenError):
    """A command of the command-line tool failed."""

    code = "console_error"
    remedy = "run the command with --help"


class AdminUnreachable(ConsoleError):
    """No router responds at the admin address."""

    code = "admin_unreachable"
    remedy = "check --admin against the router's [admin] address and that it runs"


class AdminRejected(ConsoleError):
    """The router responded to an admin request with an error."""

    code = "admin_rejected"
    remedy = "set SYCAMOREHAVEN_ADMIN_KEY to the router's admin key"


class AdminAnswerMalformed(ConsoleError):
    """The response at the admin address is not that of a router."""

    code = "admin_answer_malformed"
    remedy = "give the address of the [admin] listener, not the callers' one"
