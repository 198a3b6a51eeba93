"""Tests of the build version."""

from __future__ import annotations

from gypsumsail import VERSION


def test_version_has_three_parts() -> None:
    assert len(VERSION.split(".")) == 3
