"""JSON-lines logs through ``absl.logging``, on standard error."""

from __future__ import annotations

import logging as standard_logging
import sys
from typing import TYPE_CHECKING

import msgspec
from absl import logging

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings


class JsonFormatter(standard_logging.Formatter):
    """
    Formats a record as one line of JSON.

    :param host: the router's host.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line of JSON."""
        line: dict[str, object] = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "host": self._host,
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logs(settings: RouterSettings) -> None:
    """Send every log record to standard error as JSON lines."""
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(settings.host))
    handler.python_handler.stream = sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)
