"""Test that the pages document every code, key, command, event and metric."""

from __future__ import annotations

import ast
import importlib
import pkgutil
import re
from typing import Any

import sycamorehaven
from sycamorehaven import settings
from sycamorehaven.configuration import schema
from sycamorehaven.console.application import application
from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.load import plan
from sycamorehaven.telemetry.monitor import Monitor
from tests.support.doubles import create_board
from tests.support.loader import ROOT

DOCS = ROOT / "docs"
LINK_PATTERN = re.compile(r"\]\(([^)#]+)(#[^)]*)?\)")


def read_operators_page() -> str:
    return (DOCS / "operators.md").read_text()


def read_rows(page: str) -> dict[str, list[str]]:
    """Return the table rows that begin with a code span, by its text."""
    rows: dict[str, list[str]] = {}
    for line in page.splitlines():
        if line.startswith("| `"):
            rows.setdefault(line.split("`")[1], []).append(line)
    return rows


def list_exception_classes() -> list[type[SycamorehavenError]]:
    for module in pkgutil.walk_packages(sycamorehaven.__path__, "sycamorehaven."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pending, kinds = [SycamorehavenError], []
    while pending:
        kind = pending.pop()
        kinds.append(kind)
        pending += kind.__subclasses__()
    return [kind for kind in kinds if kind.__module__.startswith("sycamorehaven.")]


def list_fault_codes() -> set[str]:
    codes = set()
    for path in (ROOT / "src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            if node.func.id == "ValidationFault" and len(node.args) > 1:
                code = node.args[1]
                assert isinstance(code, ast.Constant), (
                    f"{path}: the code of a Fault is not a literal"
                )
                codes.add(str(code.value))
    return codes


def test_every_exception_code_has_a_row_with_its_remedy() -> None:
    rows = read_rows(read_operators_page())
    wrong = [
        kind.code
        for kind in list_exception_classes()
        if not any(kind.remedy in row for row in rows.get(kind.code, []))
    ]
    assert not wrong, wrong


def test_every_fault_code_has_a_row() -> None:
    rows = read_rows(read_operators_page())
    missing = [code for code in sorted(list_fault_codes()) if code not in rows]
    assert not missing, missing


def test_callers_page_lists_every_refusal() -> None:
    rows = read_rows((DOCS / "callers.md").read_text())
    kinds = [kind for kind in list_exception_classes() if issubclass(kind, Refusal)]
    wrong = [
        kind.code
        for kind in kinds
        if kind is not Refusal
        and not any(
            f"| {kind.status} |" in row and kind.remedy in row
            for row in rows.get(kind.code, [])
        )
    ]
    assert not wrong, wrong


def test_every_configuration_key_is_documented() -> None:
    page = read_operators_page()
    kinds: list[Any] = [
        value
        for module in (settings, schema, plan)
        for name, value in vars(module).items()
        if name.endswith("Table") and isinstance(value, type)
    ]
    assert len(kinds) >= 12
    keys = {key for kind in kinds for key in kind.__annotations__}
    missing = [key for key in sorted(keys) if f"`{key}`" not in page]
    assert not missing, missing


def test_every_metric_is_documented() -> None:
    page = read_operators_page()
    rendered = Monitor(create_board()).render_metrics().decode()
    names = re.findall(r"^# TYPE (sycamorehaven_\w+)", rendered, re.MULTILINE)
    names = [name for name in names if not name.endswith("_created")]
    assert len(names) > 15
    missing = [name for name in names if f"`{name}`" not in page]
    assert not missing, missing


def test_every_event_is_documented() -> None:
    rows = read_rows(read_operators_page())
    counted = re.compile(r'count(?:_event)?\(\s*"(\w+)"')
    sources = [path.read_text() for path in (ROOT / "src").rglob("*.py")]
    events = {name for source in sources for name in counted.findall(source)}
    assert len(events) > 5
    missing = [name for name in sorted(events) if name not in rows]
    assert not missing, missing


def test_page_links_resolve() -> None:
    pages = [ROOT / "README.md", *DOCS.rglob("*.md")]
    broken = [
        f"{page.name}: {target}"
        for page in pages
        for target, _ in LINK_PATTERN.findall(page.read_text())
        if "://" not in target and not (page.parent / target).exists()
    ]
    assert not broken, broken


def test_readme_links_each_page() -> None:
    readme = (ROOT / "README.md").read_text()
    pages = [page.name for page in DOCS.glob("*.md")]
    assert not [name for name in pages if f"docs/{name}" not in readme]


def test_readme_names_every_command() -> None:
    readme = (ROOT / "README.md").read_text()
    names = [command.name for command in application.registered_commands]
    names += [group.name for group in application.registered_groups]
    assert not [name for name in names if f"`{name}" not in readme]
