"""Guards against removals that are mixed up, and against memory that grows with each change."""

import unittest

from masticward.models import gateway
from masticward.state import removal_history
from tests.lib import gateway_builders as builders


def make_configuration(version: int, *prefixes: str, keys: int = 0) -> gateway.FleetConfiguration:
    """Return a configuration with routes of these prefixes and as many API keys."""
    return builders.make_configuration(
        version,
        routes=tuple(builders.make_route(path_prefix=prefix) for prefix in prefixes),
        team_of_key={f"key-{version}-{number}": "a" for number in range(keys)},
    )


class RemovalHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = removal_history.RemovalHistory()

    def test_the_longest_prefix_of_the_host_counts(self) -> None:
        self.history.record_change(
            make_configuration(1, "/a/", "/a/b/"), make_configuration(2, "/a/"), 10.0
        )
        self.history.record_change(make_configuration(2, "/a/"), make_configuration(3), 20.0)
        for host, path, expected in (
            ("api.example", "/a/b/c", (1, 10.0)),
            ("api.example:80", "/a/c", (2, 20.0)),
            ("api.example", "/c", None),
            ("other.example", "/a/b/c", None),
        ):
            removal = self.history.find_route(host, path)
            found = None if removal is None else (removal.version, removal.removed_at)
            self.assertEqual(expected, found, path)

    def test_a_restored_route_counts_as_removed_no_more(self) -> None:
        self.history.record_change(make_configuration(1, "/a/"), make_configuration(2), 10.0)
        self.history.record_change(make_configuration(2), make_configuration(3, "/a/"), 20.0)
        self.assertIsNone(self.history.find_route("api.example", "/a/x"))

    def test_memory_is_bounded(self) -> None:
        count = removal_history.MAX_REMOVED_KEYS
        for version in range(1, 4):
            self.history.record_change(
                make_configuration(
                    version, *(f"/{version}/{number}/" for number in range(count)), keys=count
                ),
                make_configuration(version + 1),
                float(version),
            )
        self.assertEqual(removal_history.MAX_REMOVED_ROUTES, len(self.history.routes))
        self.assertEqual(removal_history.MAX_REMOVED_KEYS, len(self.history.keys))
        self.assertIsNone(self.history.find_key("key-1-0"))
        self.assertIsNotNone(self.history.find_key("key-3-0"))
