"""Tests of cold servers."""
