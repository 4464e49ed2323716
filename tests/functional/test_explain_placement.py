"""Tests ``masticward explain-placement`` as a process against one gateway with stand-ins.

They guard against a command that sends a request, shows a key, or ends without a clear message.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import typing

from masticward.cli import exit_codes
from tests.functional import test_gateway


class ExplainPlacementTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_endpoint("e1")
        await self.add_endpoint("e2")

    async def explain(self, port: int, *arguments: str) -> tuple[int, str, str]:
        command = (sys.executable, "-m", "masticward", "explain-placement", f"127.0.0.1:{port}")
        process = await asyncio.create_subprocess_exec(
            *command,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(test_gateway.READ_TIMEOUT_SECONDS):
            output, error = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode(), error.decode()

    def peer_port(self) -> int:
        listener = self.program.snapshot_server.listener
        assert listener is not None
        return listener.port

    async def explain_json(self, *arguments: str) -> dict[str, typing.Any]:
        code, output, error = await self.explain(self.peer_port(), *arguments, "--json")
        self.assertEqual((exit_codes.SUCCESS, ""), (code, error))
        return json.loads(output)  # type: ignore[no-any-return]

    async def test_the_explained_endpoint_gets_the_request(self) -> None:
        await self.start()
        self.store.put_endpoint("e2", self.endpoints[1].address, state="draining")
        await self.wait_until(lambda: self.fleet.table.endpoints["e2"].draining)
        answer = await self.explain_json("--route", "keyed", "--team", "team-a")
        self.assertEqual(
            ("sent", "e1", 1),
            (answer["outcome"], answer["endpoint_id"], answer["configuration_version"]),
        )
        self.assertEqual(["draining"], answer["excluded"][0]["reasons"])
        self.assertEqual(0, self.attempts())
        code, output, _ = await self.explain(
            self.peer_port(), "--host", "api.example", "--path", "/status/x"
        )
        self.assertEqual(exit_codes.SUCCESS, code)
        self.assertIn("sent to e1 at once", output)
        self.assertIn("excluded e2 in z1: draining", output)
        await self.call("status")
        self.assertEqual([1, 0], [len(item.received) for item in self.endpoints])

    async def test_a_saved_request(self) -> None:
        await self.start()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "request"
            path.write_bytes(self.request("keyed", extra="Authorization: Bearer key-a\r\n"))
            answer = await self.explain_json("--request", str(path))
        self.assertEqual(("keyed", "team-a"), (answer["route"], answer["team"]))
        self.assertNotIn("key-a", json.dumps(answer))

    async def test_failures_have_a_message_and_the_documented_code(self) -> None:
        await self.program.start()
        listener = self.program.client_server.listener
        assert listener is not None
        peer_port = self.peer_port()
        unused = 1
        for port, arguments, text in (
            (peer_port, ("--route", "book"), "no configuration yet"),
            (unused, ("--route", "book"), "the gateway cannot be reached: 127.0.0.1:1: "),
            (listener.port, ("--route", "book"), "gives no explanation: no peer port"),
        ):
            with self.subTest(text):
                code, output, error = await self.explain(port, *arguments)
                self.assertEqual((exit_codes.FAILURE, ""), (code, output))
                self.assertIn(text, error)
        code, _, error = await self.explain(peer_port)
        self.assertEqual(exit_codes.USAGE, code)
        self.assertIn("give --route, or --host and --path, or --request", error)
