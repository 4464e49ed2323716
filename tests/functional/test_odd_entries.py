"""Guards against one odd object of another writer that keeps gateways from following the store.

The platform's pages: it names no replica to use, and the others hold.
"""

import asyncio

from masticward.gateway import sources
from tests.functional import test_gateway
from tests.lib import platform_standins

DEEP = platform_standins.DEEP
ENTRY = platform_standins.ENTRY
# Specs of entries that no gateway may use.
ODD_ENTRIES = {
    "deep in an unknown field": b'{%b,"other":%b}' % (ENTRY, DEEP),
    "deep in a known field": b'{%b,"slots":%b}' % (ENTRY, DEEP),
    "deep alone": DEEP,
    "400 digits": b'{%b,"slots":%b}' % (ENTRY, b"9" * 400),
    "5,000 digits": b'{%b,"born":%b}' % (ENTRY, b"9" * 5_000),
    "above 64 bits": b'{%b,"born":%d}' % (ENTRY, 2**70),
    "float out of range": b'{%b,"cold_remaining_ms":1e999}' % ENTRY,
    "float that is no time": b'{%b,"cold_remaining_ms":1e308}' % ENTRY,
    "no number": b'{%b,"slots":NaN}' % ENTRY,
    "a byte that is no UTF-8": b'{%b,"version":"cur\xe9pipe"}' % ENTRY.replace(b"z1", b"z\xe9"),
    "an unpaired surrogate": b"{%b}" % ENTRY.replace(b"z1", b"z\\udce9"),
    "a control character": b"{%b}" % ENTRY.replace(b"z1", b"z\x01"),
    "no object": b'"ready"',
    **{
        f"address {address}": b"{%b}" % ENTRY.replace(b"127.0.0.1:9", address.encode())
        for address in (
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:70000",
            "127.0.0.1:" + "9" * 31,
            "127.0.0.1:²",
            "0.0.0.0:80",
            "example:80",
            "127.0.0.1",
        )
    },
}


class OddEntryTest(test_gateway.GatewayCase):
    def put_odd(self, kind: str, name: str, text: bytes) -> None:
        self.store.put(kind, name, platform_standins.RawSpec(text))

    async def wait_for_endpoints(self, *names: str) -> None:
        """Wait until exactly these endpoints are usable."""
        await self.wait_until(
            lambda: set(names) == {item.id for item in self.fleet.table.usable("app", 0.0)}
        )

    async def test_endpoints_are_followed_beside_each_odd_entry(self) -> None:
        await self.add_endpoint("e1")
        await self.add_endpoint("e2")
        await self.start()
        for number, (label, text) in enumerate(ODD_ENTRIES.items()):
            with self.subTest(label):
                self.put_odd("servers", "odd", text)
                # By watches, with the odd entry among the changes ...
                added = f"e{number + 10}"
                self.store.put_endpoint(added, self.endpoints[0].address)
                await self.wait_for_endpoints("e1", "e2", added)
                # ... and by a listing.
                self.program.followers[sources.ObjectKind.ENDPOINTS].relist_requested.set()
                self.store.put_endpoint(added, self.endpoints[0].address, state="draining")
                await self.wait_for_endpoints("e1", "e2")
                self.assertEqual(200, (await self.call("status")).status)
                self.store.remove("servers", "odd")
                self.store.remove("servers", added)
        self.assertNotIn("odd", self.fleet.table.endpoints)

    async def test_an_entry_that_turns_odd_names_no_endpoint_any_more(self) -> None:
        await self.add_endpoint("e1")
        await self.add_endpoint("e2")
        await self.start()
        for text in (ODD_ENTRIES["deep in a known field"], ODD_ENTRIES["an unpaired surrogate"]):
            self.put_odd("servers", "e2", text)
            await self.wait_for_endpoints("e1")
            self.store.put_endpoint("e2", self.endpoints[1].address)
            await self.wait_for_endpoints("e1", "e2")

    async def test_a_change_without_a_readable_name_leads_to_a_listing(self) -> None:
        await self.add_endpoint("e1")
        await self.add_endpoint("e2")
        await self.start()
        odd_name = platform_standins.RawSpec(b'"\xff"')
        self.store.put("servers", odd_name, {})  # type: ignore[arg-type]
        self.store.objects.pop(("servers", odd_name))  # type: ignore[arg-type]
        self.store.put_endpoint("e1", self.endpoints[0].address, state="draining")
        await self.wait_for_endpoints("e2")

    async def test_a_listing_that_is_not_whole_removes_nothing(self) -> None:
        """Guards against endpoints that are given up, and zones that are taken back."""
        await self.add_endpoint("e1")
        self.store.put("evacuations", "z9", {})
        await self.start()
        await self.wait_until(lambda: self.fleet.table.evacuated_zones == {"z9"})
        self.store.empty_pages = {"servers", "evacuations"}
        self.store.calls.clear()
        self.program.snapshots.request_listings()
        for kind in self.store.empty_pages:
            await self.wait_until(lambda kind=kind: f"GET /objects/{kind}" in self.store.calls)
        await asyncio.sleep(0.1)
        self.assertEqual({"e1"}, set(self.fleet.table.endpoints))
        self.assertEqual({"z9"}, self.fleet.table.evacuated_zones)

    async def test_a_gateway_starts_beside_odd_objects_of_all_kinds(self) -> None:
        await self.add_endpoint("e1")
        for number, text in enumerate(ODD_ENTRIES.values()):
            for kind in ("servers", "evacuations", "masticward-gateways", "masticward-quarantines"):
                self.put_odd(kind, f"odd{number}", text)
        self.store.put("masticward-gateways", "g8", {"instance_id": "g8", "ip": "no address"})
        self.store.put("masticward-gateways", "g9", {"instance_id": "g9", "ip": "127.0.0.9"})
        await self.start()
        await self.wait_until(lambda: set(self.program.peering.peers) == {"g9"})
        await self.wait_until(lambda: self.program.quarantine_keeper.loaded)
        self.assertEqual(200, (await self.call("book")).status)

    async def test_an_odd_configuration_leaves_the_valid_one_in_force(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        odd = {
            "deep": b'{"version":2,"routes":[],"services":[],"other":%b}' % DEEP,
            "digits": b'{"version":%b,"routes":[],"services":[]}' % (b"9" * 400),
            "above 64 bits": b'{"version":%d,"routes":[],"services":[]}' % 2**70,
            "range": b'{"version":2,"routes":[],"services":[],"limits":{"idle_timeout_ms":1e999}}',
            "bytes": b'{"version":2,"routes":[],"services":[{"name":"\xff"}]}',
        }
        for version, (label, text) in enumerate(odd.items(), 2):
            with self.subTest(label):
                self.put_odd("config", "main", text)
                await asyncio.sleep(0.2)
                self.assertEqual(version - 1, self.fleet.configuration_version)
                self.assertEqual(200, (await self.call("book")).status)
                configuration = platform_standins.configuration(version)
                self.store.put("config", "main", configuration)
                await self.wait_until(
                    lambda version=version: self.fleet.configuration_version == version
                )
