"""Guards against refusal reasons, refusal types and exit codes that docs/errors.md lacks."""

import pathlib
import re
import unittest

from masticward.cli import exit_codes
from masticward.models import work
from masticward.state import refusals

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "errors.md").read_text(encoding="utf-8")
REFUSAL_TYPE = re.compile(r'Error\(\s*\d{3}, f?"([a-z-]+)"', re.MULTILINE)


class ErrorsPageTest(unittest.TestCase):
    def test_every_refusal_reason_is_explained(self) -> None:
        self.assertEqual([], [item for item in work.RefusalReason if f"`{item}`" not in PAGE])

    def test_every_refusal_type_is_explained(self) -> None:
        source = pathlib.Path(refusals.__file__).read_text(encoding="utf-8")
        types = REFUSAL_TYPE.findall(source)
        self.assertGreaterEqual(len(types), 9)
        self.assertEqual([], [item for item in types if f"`{item}`" not in PAGE])

    def test_every_exit_code_is_explained(self) -> None:
        codes = [value for name, value in vars(exit_codes).items() if name.isupper()]
        self.assertEqual([], [code for code in codes if f"| {code} |" not in PAGE])
