"""Guards against names of the deployment platform outside its adapter package."""

import pathlib
import re
import unittest

from masticward.platform import names

PACKAGE = pathlib.Path(__file__).resolve().parents[2] / "src" / "masticward"
FIELD_NAMES = (
    "current_rev",
    "has_more",
    "cold_remaining_ms",
    "weighted_services",
    "session_affinity",
    "api_keys",
    "kv_capacity_tokens",
    "revoke_ms",
    "port_range",
    "machine_class",
)


class PlatformNamesTest(unittest.TestCase):
    def test_platform_names_occur_only_in_the_adapter(self) -> None:
        header_names = [
            value.decode()
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, bytes) and value.startswith(b"x-masticward")
        ]
        pattern = re.compile(
            "|".join([re.escape(item) for item in (*header_names, *FIELD_NAMES)]), re.I
        )
        violations = [
            f"{path.relative_to(PACKAGE)}:{number}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if "platform" not in path.relative_to(PACKAGE).parts[:1]
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
            if pattern.search(line)
        ]
        self.assertEqual([], violations)
        self.assertGreater(len(header_names), 8)
