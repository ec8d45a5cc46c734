"""
``sycamorehavend``: the entry of a router's process.

It loads nothing before it ignores SIGHUP, whose default action would end a
process that is still starting.
"""

from __future__ import annotations

import signal


def main() -> None:
    """Run the command line of the daemon."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sycamorehaven import allocator, router_command

    allocator.fix_thresholds()
    router_command.main()


if __name__ == "__main__":
    main()
