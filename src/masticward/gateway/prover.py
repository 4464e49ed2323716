"""Proves to all gateways that the configuration in force is the newest, with few calls."""

import asyncio
import collections.abc
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, sources
from masticward.utils import clocks

# A proof of this age is renewed. Keys need one within revoke_seconds (5 s on the users' sites).
RENEW_SECONDS = 1.0
# Gateways renew at different times: the first one tells the others, which need no call then.
SPREAD_SECONDS = 1.0
POLL_SECONDS = 0.1
# Least time between two calls while the store does not answer or a newer version is told.
RETRY_SECONDS = 0.4
LOGGER = logs.get_logger(__name__)


class Prover:
    """Reads the configuration when no gateway has proven it lately."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.FleetState,
        follower: followers.Follower,
        on_proof: collections.abc.Callable[[], None],
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.follower = follower
        self.on_proof = on_proof
        self.renew_age = RENEW_SECONDS
        self.asked_at = 0.0

    async def run(self) -> None:
        """Renew the proof until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if self.due(clocks.boot_time()):
                await self.prove()

    def due(self, now: float) -> bool:
        """Whether this process has to ask the store now."""
        fleet = self.fleet
        if fleet.configuration is None or now - self.asked_at < RETRY_SECONDS:
            return False
        if fleet.newest_peer_version > fleet.configuration.version:
            return True
        return now - fleet.configuration_proven_at > self.renew_age

    async def prove(self) -> None:
        """Read the configuration and tell the peers of it."""
        asked_at = self.asked_at = clocks.boot_time()
        self.renew_age = RENEW_SECONDS + SPREAD_SECONDS * random.random()
        try:
            listing = await self.source.list_objects(sources.ObjectKind.PROOFS)
        except errors.StoreError as error:
            LOGGER.log(
                events.Event.PROOF_UNAVAILABLE,
                age=round(asked_at - self.fleet.configuration_proven_at, 2),
                error=str(error),
            )
            return
        self.follower.apply_configuration_listing(listing, asked_at)
        self.on_proof()
