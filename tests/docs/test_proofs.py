"""Test that the page of proofs cites only tests that exist."""

from __future__ import annotations

import re

from tests.support.loader import ROOT, load_cases


def test_proofs_page_cites_existing_tests() -> None:
    names = {case.id() for case in load_cases("")}
    text = (ROOT / "docs" / "proofs.md").read_text()
    cited = set(re.findall(r"tests\.[\w.]*\w", text))
    modules = {name.rpartition(".")[0] for name in names}
    packages = {module.rpartition(".")[0] for module in modules}
    assert len(cited) > 50
    assert sorted(cited - names - modules - packages) == []
