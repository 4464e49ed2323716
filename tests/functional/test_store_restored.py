"""Guards against a store that comes back from a copy some seconds old, with one real gateway.

The failure: revisions go back and are given out again, what was written since the copy is gone, and
an endpoint that has left or a configuration that was replaced is listed again.
"""

import asyncio
import unittest.mock

from masticward import errors
from masticward.gateway import fleet as fleet_module
from masticward.gateway import peering, quarantine_keeper, sources
from masticward.platform import store
from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import gateway_builders as builders
from tests.lib import platform_standins

KEYED = "Authorization: Bearer {}\r\n"


class RestoredStoreTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.era = 1
        self.program.peering.seed_ips = []
        self.table = self.fleet.table

    async def restore(self, copy: platform_standins.StoreCopy) -> None:
        """Restore the store and wait until the gateway has listed it anew."""
        self.store.restore(copy)
        self.store.calls.clear()
        listings = {"GET /objects/servers", "GET /objects/evacuations", "GET /objects/config"}
        await self.wait_until(lambda: listings <= set(self.store.calls))
        await asyncio.sleep(0.05)

    def usable(self) -> list[str]:
        return [item.id for item in self.table.usable("app", clocks.boot_time())]

    async def test_departed_endpoints_and_lost_evacuations_hold(self) -> None:
        """Also: endpoints that the copy lacks stay usable until they are listed again."""
        for name in ("drains", "leaves", "stays"):
            await self.add_endpoint(name)
        await self.start()
        copy = self.store.copy()
        self.store.put_endpoint("drains", self.endpoints[0].address, state="draining")
        self.store.remove("servers", "leaves")
        self.store.put("evacuations", "z9", {})
        await self.add_endpoint("starts")
        await self.wait_until(lambda: self.usable() == ["stays", "starts"])
        await self.wait_until(lambda: self.table.evacuated_zones == {"z9"})
        await self.restore(copy)
        self.assertEqual(["stays", "starts"], self.usable())
        self.assertEqual({"z9"}, self.table.evacuated_zones)
        # Written again: the one that drains still does, the other one is back.
        self.store.put_endpoint("drains", self.endpoints[0].address, state="draining")
        self.store.put_endpoint("leaves", self.endpoints[1].address)
        self.store.put_endpoint("starts", self.endpoints[3].address)
        await self.wait_until(lambda: set(self.usable()) == {"stays", "leaves", "starts"})
        # Nobody writes the evacuation again.
        await self.wait_until(lambda: not self.table.evacuated_zones)
        self.assertEqual({"stays", "leaves", "starts"}, set(self.usable()))

    async def test_a_watch_that_returns_later_revisions_of_a_new_era_is_not_applied(self) -> None:
        """Guards against the changes between the copy and the known revision being missed."""
        await self.add_endpoint("e1")
        await self.start()
        copy = self.store.copy()
        for number in range(5):
            self.store.put("other", f"o{number}", {})
        self.store.put_endpoint("e2", "127.0.0.1:2")
        await self.wait_until(lambda: "e2" in self.table.endpoints)
        known = self.fleet.revisions[sources.ObjectKind.ENDPOINTS].revision
        # All in one step: the waiting watch sees revisions above the one that it knows.
        self.store.restore(copy)
        self.store.put_endpoint("e3", "127.0.0.1:3")
        while self.store.revision <= known:
            self.store.put("other", "again", {})
        self.store.put_endpoint("e4", "127.0.0.1:4")
        await self.wait_until(lambda: {"e1", "e3", "e4"} <= set(self.table.endpoints))
        self.assertEqual(2, self.fleet.revisions[sources.ObjectKind.ENDPOINTS].era)

    async def test_an_older_configuration_is_not_put_in_force_and_keys_are_accepted(self) -> None:
        await self.add_endpoint("e1")
        await self.start(tenants=[{"name": "a", "api_keys": ["old", "kept"]}])
        copy = self.store.copy()
        changed = platform_standins.configuration(7, tenants=[{"name": "a", "api_keys": ["kept"]}])
        self.store.put("config", "main", changed)
        await self.wait_until(lambda: self.fleet.configuration_version == 7)
        await self.restore(copy)
        restored_at = clocks.boot_time()
        # The chain of proofs goes on although the store lists version 1.
        await self.wait_until(lambda: self.fleet.configuration_proven_at > restored_at)
        self.assertEqual(7, self.fleet.configuration_version)
        self.assertEqual(200, (await self.call("keyed", extra=KEYED.format("kept"))).status)
        self.assertEqual(401, (await self.call("keyed", extra=KEYED.format("old"))).status)
        self.store.put("config", "main", platform_standins.configuration(8))
        await self.wait_until(lambda: self.fleet.configuration_version == 8)

    async def test_the_own_objects_are_written_again_once(self) -> None:
        copy = self.store.copy()
        with unittest.mock.patch.object(quarantine_keeper, "RESTORE_SPREAD_SECONDS", 0.1):
            await self.start()
            quarantine = self.fleet.quarantine
            quarantine.quarantine(quarantine.get("part"), clocks.boot_time())
            own = ("masticward-gateways", "g1")
            await self.wait_until(lambda: own in self.store.objects and not quarantine.decided)
            written = set(self.store.objects)
            self.store.restore(copy)
            self.assertEqual(set(), set(self.store.objects))
            await self.wait_until(lambda: written - {("config", "main")} <= set(self.store.objects))
            await asyncio.sleep(1.0)
        posts = [call for call in self.store.calls if call.startswith("POST")]
        self.assertEqual(4, len(posts), posts)

    async def test_a_store_without_the_header_gets_no_extra_calls(self) -> None:
        self.store.era = None
        await self.add_endpoint("e1")
        await self.start()
        await asyncio.sleep(0.3)
        listings = [call for call in self.store.calls if "watch" not in call and "GET" in call]
        # Configuration, endpoints, evacuations, members and quarantines.
        self.assertEqual(5, len(listings), listings)
        self.assertEqual(0, self.fleet.known_era)

    async def test_a_store_with_the_header_gets_no_extra_calls_at_the_start(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        await asyncio.sleep(0.3)
        listings = [call for call in self.store.calls if "watch" not in call]
        self.assertEqual(6, len(listings), listings)

    async def test_the_era_is_learnt_from_a_refusal(self) -> None:
        await self.start()
        self.store.unavailable = True
        self.store.era = 2
        await self.wait_until(lambda: self.fleet.known_era == 2)


class ListingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a listing that has pages of two eras."""

    async def asyncSetUp(self) -> None:
        self.store = platform_standins.StoreStandin()
        self.store.era = 1
        self.store.page_size = 1
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        for name in ("e1", "e2", "e3"):
            self.store.put_endpoint(name, "127.0.0.1:9")
        self.client = store.Store(self.store.address)

    async def test_all_pages_are_of_one_era(self) -> None:
        listing = await self.client.list_objects(sources.ObjectKind.ENDPOINTS)
        self.assertEqual(["e1", "e2", "e3"], [item.name for item in listing.items])
        self.assertEqual(1, listing.era)
        copy = self.store.copy()
        respond = self.store.respond

        async def respond_and_restore(
            request: platform_standins.ReceivedRequest,
        ) -> tuple[int, object]:
            if "after=e2" in request.target:
                self.store.restore(copy)
            return await respond(request)

        with (
            unittest.mock.patch.object(self.store, "respond", respond_and_restore),
            self.assertRaises(errors.HistoryLostError),
        ):
            await self.client.list_objects(sources.ObjectKind.ENDPOINTS)


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a registration that the store acknowledged just before it was restored."""

    async def test_a_registration_in_flight_when_the_era_changes_is_repeated(self) -> None:
        fleet = fleet_module.FleetState(builders.make_settings())
        fleet.learn_era(1)
        source = builders.UnusedStore()
        registered: list[int] = []

        async def register(member: sources.Member) -> None:
            era = fleet.known_era
            if not registered:
                fleet.learn_era(2)
            registered.append(era)

        own = peering.Peering(fleet, source)
        with (
            unittest.mock.patch.object(source, "register", register),
            unittest.mock.patch.object(
                source, "list_objects", return_value=sources.Listing((), 1, True, 2)
            ),
            unittest.mock.patch.object(peering, "REGISTRATION_SPREAD_SECONDS", 0.0),
        ):
            running = asyncio.ensure_future(own.run_registration())
            await asyncio.wait({running}, timeout=0.1)
        running.cancel()
        self.assertEqual([1, 2], registered)
