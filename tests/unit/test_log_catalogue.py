"""Guards against log events that the catalogue lacks, lists wrongly or lists in vain."""

import logging
import pathlib
import re
import unittest

from masticward import events

CATALOGUE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "log-events.md"
ROW = re.compile(r"^\| (\d{4}) \| `([a-z_]+)` \| (\w+) \| (.+) \| (.+) \|$")


class LogCatalogueTest(unittest.TestCase):
    def test_catalogue_and_module_list_the_same_events(self) -> None:
        rows = [
            (int(match[1]), match[2], match[3])
            for line in CATALOGUE.read_text(encoding="utf-8").splitlines()
            if (match := ROW.match(line))
        ]
        defined = [
            (event.number, event.text, logging.getLevelName(event.level).lower())
            for event in events.Event
        ]
        self.assertEqual(sorted(defined), sorted(rows))

    def test_numbers_are_unique(self) -> None:
        numbers = [event.number for event in events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))
