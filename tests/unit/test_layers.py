"""Guards against imports from a lower layer into a higher one."""

import ast
import pathlib
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parents[2] / "src" / "masticward"
# Each layer may import those listed for it; modules directly in the package are below all of them.
ALLOWED = {
    "models": {"models", "utils"},
    "utils": {"utils", "models"},
    "wire": {"wire"},
    "state": {"state", "models", "utils", "wire"},
    "transport": {"transport", "state", "models", "utils", "wire"},
    "protocol": {"protocol", "transport", "state", "models", "utils", "wire"},
    "coordination": {
        "coordination",
        "protocol",
        "transport",
        "state",
        "models",
        "utils",
        "wire",
    },
    "gateway": {"gateway", "protocol", "transport", "state", "models", "utils", "wire"},
    "platform": {"platform", "gateway", "daemons", "transport", "models", "utils"},
    "publishing": {
        "publishing",
        "coordination",
        "protocol",
        "transport",
        "state",
        "models",
        "utils",
    },
}


def imported_layers(path: pathlib.Path) -> set[str]:
    """Return the names of the masticward subpackages that a module imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module and not node.level:
            parts = node.module.split(".")
            if parts[0] == "masticward":
                found |= {parts[1]} if len(parts) > 1 else {alias.name for alias in node.names}
        elif isinstance(node, ast.Import):
            for alias in node.names:
                parts = alias.name.split(".")
                if parts[0] == "masticward" and len(parts) > 1:
                    found.add(parts[1])
    return found


class LayersTest(unittest.TestCase):
    def test_no_module_imports_from_a_higher_layer(self) -> None:
        subpackages = {path.name for path in PACKAGE.iterdir() if path.is_dir()}
        violations = [
            f"{path.relative_to(PACKAGE)} imports {layer}"
            for name, allowed in ALLOWED.items()
            for path in sorted((PACKAGE / name).glob("*.py"))
            if not path.name.endswith(("_pb2.py", "_pb2_grpc.py"))
            for layer in sorted((imported_layers(path) & subpackages) - allowed)
        ]
        self.assertEqual([], violations)
