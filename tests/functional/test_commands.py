"""Guards against commands that report success wrongly or exit with another code than documented."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import typing
import unittest

import msgspec
from aiohttp import web

from masticward import settings
from masticward.bench import deployments
from masticward.cli import exit_codes
from masticward.standins import object_api as standin
from masticward.standins import web as web_server
from tests.lib import platforms

MAURITIUS = str(pathlib.Path(deployments.__path__[0]) / "mauritius")


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command line as a program; return exit code, output and errors."""
        environment = os.environ | {
            "MASTICWARD_OBJECT_API": self.platform.store_url,
            "MASTICWARD_INSTANCE_LIST": self.platform.list_url,
            "MASTICWARD_OPERATOR": "kim",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "masticward",
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, error = await asyncio.wait_for(process.communicate(), 3 * platforms.TIMEOUT_SECONDS)
        return process.returncode or 0, output.decode(), error.decode()

    async def start_admin(self, status: dict[str, typing.Any]) -> None:
        """Serve ``/status`` as a process does, and list that process."""
        server = web_server.WebServer()

        async def answer(request: web.Request) -> web.Response:
            return web.json_response(status)

        server.application.router.add_get("/status", answer)
        port = await server.start(platforms.ANY_PORT)
        self.addAsyncCleanup(server.close)
        self.platform.list_instance(platforms.make_agent("a1"))
        listed = self.platform.instances.instances["a1"]
        self.platform.instances.set_instance(
            msgspec.structs.replace(
                listed, admin_address=f"{platforms.HOST}:{port}", service="booking"
            )
        )

    async def test_publish_waits_until_the_version_is_in_force(self) -> None:
        """Fails if --wait returns before a process has the version, or never returns."""
        status = {"config_version": 0, "operations_version": 0}
        await self.start_admin(status)
        code, output, _ = await self.run_command(
            "publish", MAURITIUS, "--wait", "--json", "--deadline", "2.5"
        )
        self.assertEqual(exit_codes.OUTCOME_UNKNOWN, code)
        self.assertEqual({"a1": "has configuration 0"}, json.loads(output)["missing"])
        status["config_version"] = 1
        code, output, _ = await self.run_command("publish", MAURITIUS, "--wait", "--json")
        self.assertEqual(exit_codes.SUCCESS, code)
        self.assertEqual(
            (False, ["a1"]), (json.loads(output)["changed"], json.loads(output)["in_force"])
        )

    async def test_exit_codes_and_audit(self) -> None:
        """Fails if a failure has the exit code of another, or a change is not in the trail."""
        self.assertEqual(0, (await self.run_command("publish", MAURITIUS))[0])
        self.platform.list_instance(platforms.make_agent("a1", availability_zone="ebene"))
        code, _, error = await self.run_command("zone", "out", "ebene")
        self.assertEqual(exit_codes.FAILURE, code)
        self.assertIn("--force", error)
        code, _, _ = await self.run_command("zone", "out", "ebene", "--force")
        self.assertEqual(exit_codes.SUCCESS, code)
        code, output, _ = await self.run_command("audit", "--json")
        entries = [item["entry"] for item in json.loads(output)["entries"]]
        self.assertEqual(["publish", "zone out"], [entry["action"] for entry in entries])
        self.assertEqual({"kim"}, {entry["operator"] for entry in entries})
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "masticward.json")
            path.write_text('{"teams": [{"name": "x"}], "colour": 1}', encoding="utf-8")
            code, _, error = await self.run_command("publish", directory)
        self.assertEqual(exit_codes.INVALID_FILES, code)
        self.assertEqual(3, len(error.splitlines()))
        await self.platform.objects.set_faults(standin.StoreFaults(mode="down"))
        code, output, error = await self.run_command("zone", "in", "ebene", "--deadline", "2.5")
        self.assertEqual(exit_codes.STORE_UNAVAILABLE, code)
        self.assertIn("still changing zone ebene in", error)
        self.assertEqual("", output)

    async def test_failed_delivery_does_not_change_the_outcome(self) -> None:
        """Fails if an accepted change is reported as failed because no process adopted it."""
        await self.run_command("publish", MAURITIUS)
        process = await self.platform.add(platforms.make_entry("e1"))
        await self.platform.stop_process(process)
        living = await self.platform.add(
            platforms.make_entry("e2"), object_api_url=platforms.UNREACHABLE_URL
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "entry.json")
            arguments = ("--json", "--settings", str(path))
            path.write_bytes(msgspec.json.encode(self.entry_settings("wrong")))
            code, output, _ = await self.run_command("zone", "out", "ebene", *arguments)
            answer = json.loads(output)
            self.assertEqual((exit_codes.SUCCESS, True), (code, answer["changed"]))
            self.assertEqual({"e1", "e2"}, answer["delivery"]["failed"].keys())
            self.assertEqual((0, 0), living.versions)
            path.write_bytes(
                msgspec.json.encode(self.entry_settings(platforms.SECURITY.shared_key))
            )
            code, output, _ = await self.run_command("zone", "in", "ebene", *arguments)
            self.assertEqual(exit_codes.SUCCESS, code)
            self.assertEqual(["e2"], json.loads(output)["delivery"]["adopted"])
            self.assertEqual((0, 2), living.versions)
        code, output, _ = await self.run_command("zone", "out", "ebene")
        self.assertEqual(exit_codes.SUCCESS, code)
        self.assertIn("not delivered", output)

    def entry_settings(self, shared_key: str) -> settings.EntrySettings:
        """Return the settings of an entry, as an operator passes them to a command."""
        return settings.EntrySettings(
            instance_id="e2",
            availability_zone="north",
            http_address=platforms.ANY_PORT,
            peer_address=platforms.ANY_PORT,
            admin_address=platforms.ANY_PORT,
            platform=settings.PlatformSettings(
                object_api_url=self.platform.store_url, instance_list_url=self.platform.list_url
            ),
            peer_security=msgspec.structs.replace(platforms.SECURITY, shared_key=shared_key),
        )

    async def test_lost_answers_are_settled_or_told(self) -> None:
        """Fails if a command guesses after the object API has swallowed an answer."""
        await self.run_command("publish", MAURITIUS)
        await self.platform.objects.set_faults(standin.StoreFaults(lose_answers=1))
        code, output, _ = await self.run_command("zone", "out", "ebene", "--json")
        self.assertEqual((0, 1), (code, json.loads(output)["version"]))
        gone = standin.StoreFaults(lose_requests=1000)
        await self.platform.objects.set_faults(gone)
        code, _, error = await self.run_command("zone", "in", "ebene", "--deadline", "1")
        self.assertEqual(exit_codes.OUTCOME_UNKNOWN, code)
        self.assertIn("ops/state", error)
