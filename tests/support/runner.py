"""
Run the tests: ``python -m tests.support.runner [PATTERN]``.

Only tests whose dotted name contains the pattern run. Failures of tests that
``KNOWN-RED.txt`` lists are printed, but do not affect the exit status, which
is 0 only if no other test failed. The last line of the output counts the
tests.
"""

from __future__ import annotations

import gc
import sys
import time
import unittest

from tests.support import (
    doubles,  # noqa: F401
    edge_harness,  # noqa: F401
    fleet,  # noqa: F401
    gateway_harness,  # noqa: F401
    gateway_pair,  # noqa: F401
    hostile_routers,  # noqa: F401
)
from tests.support.loader import ROOT, load_cases

KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> set[str]:
    """Return the names of the tests that are listed as known failures."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def exempt_live_objects() -> None:
    """
    Exempt all objects that are alive from the garbage collector.

    A collection that scans what was loaded, or what earlier tests left, pauses
    the routers in this process for so long that they reject requests.
    """
    gc.collect()
    gc.freeze()


class TimedTestResult(unittest.TextTestResult):
    """A test result that prints each test's name, outcome and duration."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prepare the process for a test, and record its start time."""
        exempt_live_objects()
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Print the duration of a test."""
        super().stopTest(test)
        self.stream.writeln(f"  {time.monotonic() - self._started:.2f} s")

    def getDescription(self, test: unittest.TestCase) -> str:  # noqa: N802
        """Return the dotted name of a test."""
        return test.id()


def run_tests(pattern: str) -> int:
    """Run the tests whose name contains a pattern; return the exit status."""
    suite = unittest.TestSuite(load_cases(pattern))
    runner = unittest.TextTestRunner(
        stream=sys.stdout,
        verbosity=2,
        resultclass=TimedTestResult,  # type: ignore[arg-type]
    )
    result = runner.run(suite)
    known = read_known_failures()
    failed = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(failed & known):
        print(f"known red, passed over: {name}")
    if not pattern:
        for name in sorted(known - failed):
            print(f"listed in {KNOWN_FAILURES_FILE.name} but did not fail: {name}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    new = len(failed - known)
    if len(failed) > new:
        print(f"known red: {len(failed) - new}")
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if new or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1] if len(sys.argv) > 1 else ""))
