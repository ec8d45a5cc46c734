"""
Run a router that may open few file descriptors.

``python -m tests.support.limited_process DESCRIPTORS --settings PATH``
"""

from __future__ import annotations

import resource
import sys

from sycamorehaven import daemon


def main() -> None:
    """Lower the limit of this process, then run the router."""
    descriptors = int(sys.argv.pop(1))
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    daemon.main()


if __name__ == "__main__":
    main()
