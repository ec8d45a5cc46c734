"""
Run all benchmarks that have a table: ``python -m benchmarks [PAGE ...]``.

Each ``PAGE`` is a Markdown file; the printed tables replace the text between
its begin and end markers. The exit status is 1 if any bound is missed.
"""

from __future__ import annotations

import contextlib
import io
import sys
from pathlib import Path

from benchmarks import memory, promptness, relay
from benchmarks.fairness import run_all

BEGIN_MARKER = "<!-- benchmarks: begin -->"
END_MARKER = "<!-- benchmarks: end -->"
"""Lines of a page between which the tables are written."""


def print_all() -> list[str]:
    """Print every table and return descriptions of the missed bounds."""
    missed = run_all()
    print("Replies to a small workspace (python -m benchmarks.promptness)")
    promptness.main()
    print("\nOne router process (python -m benchmarks.relay)")
    relay.main()
    print("\nMemory of a router process (python -m benchmarks.memory)")
    memory.main()
    return missed


def replace_tables(page: str, tables: str) -> str:
    """Return the page's text with ``tables`` between its two markers."""
    before, _, rest = page.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    lines = "\n".join(line.rstrip() for line in tables.rstrip().splitlines())
    return f"{before}{BEGIN_MARKER}\n\n```text\n{lines}\n```\n\n{END_MARKER}{after}"


def main() -> int:
    """Run the benchmarks, update the given pages, return the exit status."""
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        missed = print_all()
    print(printed.getvalue())
    for path in map(Path, sys.argv[1:]):
        path.write_text(replace_tables(path.read_text(), printed.getvalue()))
    for miss in missed:
        print(f"bound missed: {miss}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
