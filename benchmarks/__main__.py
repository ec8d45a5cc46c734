"""Runs the benchmarks: ``python -m benchmarks``; exits 1 on a bound missed."""

from __future__ import annotations

import sys

from benchmarks.fairness import run_all


def main() -> int:
    """Run the benchmarks; return the exit status."""
    missed = run_all()
    for miss in missed:
        print(f"bound missed: {miss}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
