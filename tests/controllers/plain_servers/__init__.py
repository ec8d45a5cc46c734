"""Tests of the controllers of plain servers."""
