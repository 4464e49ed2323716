"""Guards against configuration errors that are missed or reported without file and path."""

import json
import pathlib
import tempfile
import typing
import unittest

from masticward import errors
from masticward.bench import deployments
from masticward.models import configuration
from masticward.publishing import check, collect
from masticward.state import shards

DIGEST = "ab" * 32


def service(**fields: typing.Any) -> dict[str, typing.Any]:
    """Return a valid service with some fields replaced."""
    return {
        "name": "ledger",
        "kind": "plain",
        "endpoints": 2,
        "cold_limit": 1,
        "warm_limit": 4,
        "operations": [
            {"name": "post", "method": "POST", "path": "/v1/entries", "idempotent": False}
        ],
    } | fields


def operation(name: str, path: str, method: str = "GET") -> dict[str, typing.Any]:
    """Return an operation."""
    return {"name": name, "method": method, "path": path, "idempotent": True}


class CheckTest(unittest.TestCase):
    def problems(self, **files: dict[str, typing.Any]) -> list[str]:
        """Return the problems of files in directories of the given names, without the root."""
        with tempfile.TemporaryDirectory() as directory:
            for name, content in files.items():
                path = pathlib.Path(directory, name, collect.FILE_NAME)
                path.parent.mkdir()
                path.write_text(json.dumps(content), encoding="utf-8")
            checked = check.check(collect.collect([pathlib.Path(directory)]))
            error = checked.failure()
            assert isinstance(error, errors.ConfigurationError)
            return [problem.replace(f"{directory}/", "") for problem in error.problems]

    def test_reports_all_problems_with_file_and_path(self) -> None:
        found = self.problems(
            a={
                "availability_zones": ["north", "north"],
                "teams": [
                    {"name": "alpha", "share": 0, "credential_digests": [DIGEST]},
                    {"name": "beta", "share": 1, "credential_digests": ["secret"]},
                    {"name": "gamma", "share": "1", "credential_digests": [DIGEST]},
                ],
            },
            b={"service": service(endpoints=0, cold_limit=9, colour=1)},
            c={
                "service": service(
                    endpoints=0,
                    cold_limit=9,
                    operations=[operation("x", "/v1/*"), operation("x", "/v1/a")],
                ),
                "teams": [{"name": "Alpha!", "share": 1, "credential_digests": []}],
            },
            d={
                "service": service(warm_limit=0),
                "teams": [{"name": "alpha", "share": 1, "credential_digests": [DIGEST]}],
            },
        )
        expected = (
            "a/masticward.json: $.teams[2].share: ",
            "b/masticward.json: $.service.colour: unknown field",
            "c/masticward.json: $.service.endpoints: service 'ledger' has no endpoint",
            "c/masticward.json: $.service.cold_limit: is 9, above warm_limit 4",
            "c/masticward.json: $.service.operations[1].name: duplicate operation",
            "c/masticward.json: $.service.operations[1].path: GET /v1/a overlaps /v1/*",
            "c/masticward.json: $.teams[0].name: team name 'Alpha!' is not valid",
            "c/masticward.json: $.teams[0].credential_digests: has 0 digests",
            "d/masticward.json: $.service.name: duplicate service 'ledger', first at c/",
            "d/masticward.json: $.service.warm_limit: is 0",
        )
        for start in expected:
            self.assertTrue(any(line.startswith(start) for line in found), (start, found))

    def test_reports_semantic_problems_of_teams_and_zones(self) -> None:
        found = self.problems(
            a={
                "teams": [
                    {"name": "alpha", "share": -1, "credential_digests": [DIGEST]},
                    {"name": "alpha", "share": 1, "credential_digests": [DIGEST]},
                    {"name": "beta", "share": 1, "credential_digests": ["my-secret"]},
                ]
            }
        )
        text = "\n".join(found)
        for part in (
            "$.teams[0].share: is -1",
            "$.teams[1].name: duplicate team 'alpha'",
            "$.teams[1].credential_digests[0]: duplicate credential digest",
            "$.teams[2].credential_digests[0]: is not 64 lower-case hex digits",
            "$.availability_zones: none found",
            "$.service: none found",
        ):
            self.assertIn(part, text)
        self.assertNotIn("my-secret", text, "a pasted credential must not be shown")

    def test_overlap_of_paths(self) -> None:
        cases = {
            ("/a", "/a"): True,
            ("/a/*", "/a"): False,
            ("/a/*", "/a/b"): True,
            ("/a/*", "/ab"): False,
            ("/a/*", "/a/b/*"): True,
            ("/a/*", "/b/*"): False,
            ("/*", "/x"): True,
        }
        for (first, second), expected in cases.items():
            self.assertEqual(expected, check.overlap(first, second), (first, second))
            self.assertEqual(expected, check.overlap(second, first), (first, second))

    def test_deployments_are_publishable(self) -> None:
        root = pathlib.Path(deployments.__path__[0])
        for name, zones in (("mauritius", 3), ("bavaria", 4)):
            found = check.check(collect.collect([root / name])).unwrap()
            self.assertEqual(
                (zones, 2, 16),
                (len(found.availability_zones), len(found.services), len(found.teams)),
            )


class ShardsTest(unittest.TestCase):
    def test_one_changed_team_changes_one_shard_and_all_stay_small(self) -> None:
        """Fails if a change of one team rewrites the whole configuration."""
        teams = tuple(
            configuration.Team(
                name=f"team-{number}", share=1.0, credential_digests=(f"{number:064x}",)
            )
            for number in range(31_000)
        )
        before = shards.split(teams)
        changed = (configuration.Team(name="team-0", share=2.0, credential_digests=("0" * 64,)),)
        after = shards.split(changed + teams[1:])
        self.assertEqual(1, len(after.keys() - before.keys()))
        self.assertLessEqual(max(map(len, before.values())), shards.MAXIMUM_SHARD_BYTES)
        manifest = configuration.Manifest(
            version=1, availability_zones=(), services=(), team_shards=tuple(before)
        )
        decoded = {name: shards.decode(name, content) for name, content in before.items()}
        joined = shards.join(manifest, decoded)
        self.assertEqual({team.name for team in teams}, {team.name for team in joined.teams})
        with self.assertRaises(ValueError):
            shards.decode(next(iter(before)), b'{"teams":[]}')
