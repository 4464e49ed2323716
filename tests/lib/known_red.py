"""Reads KNOWN-RED.txt: tests that fail because of a real fault that is still open."""

import pathlib
import unittest

KNOWN_RED_PATH = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def listed_tests() -> list[str]:
    """Return the dotted names of the tests listed in KNOWN-RED.txt."""
    return [
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
        if line.startswith(TEST_FIELD)
    ]


def without_listed(suite: unittest.TestSuite, listed: frozenset[str]) -> unittest.TestSuite:
    """Return the suite without the listed tests."""
    kept = unittest.TestSuite()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            kept.addTest(without_listed(item, listed))
        elif item.id() not in listed:
            kept.addTest(item)
    return kept
