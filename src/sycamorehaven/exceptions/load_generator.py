"""Exceptions of the load generator."""

from __future__ import annotations

from sycamorehaven.exceptions.console import ConsoleError
from sycamorehaven.exceptions.validation import TextError


class LoadPlanError(TextError):
    """A load plan is invalid."""

    code = "invalid_load_plan"


class NothingAnswered(ConsoleError):
    """No request of a load run was answered."""

    code = "nothing_answered"
    remedy = "check --target, the workspace keys and that the routers are ready"
