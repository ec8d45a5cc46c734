"""
Runs the tests: ``python -m tests.support.runner [PATTERN]``.

Failures that ``KNOWN-RED.txt`` lists are printed and passed over. The last
line counts the tests; the exit status is 0 only if nothing else failed.
"""

from __future__ import annotations

import sys
import time
import unittest

from tests.support import (
    doubles,  # noqa: F401
    edge_harness,  # noqa: F401
    fleet,  # noqa: F401
    gateway_harness,  # noqa: F401
)
from tests.support.loader import ROOT, load_cases

KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> set[str]:
    """Return the names of tests listed as failing for a known fault."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


class TimedTestResult(unittest.TextTestResult):
    """Prints a line a test with its duration and gathers the failures."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note the start."""
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Print a slow test's duration."""
        super().stopTest(test)
        self.stream.writeln(f"  {time.monotonic() - self._started:.2f} s")

    def getDescription(self, test: unittest.TestCase) -> str:  # noqa: N802
        """Return the dotted name."""
        return test.id()


def run_tests(pattern: str) -> int:
    """Run the tests whose name holds a pattern; return the exit status."""
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
