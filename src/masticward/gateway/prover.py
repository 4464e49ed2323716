"""Renews the proof that the configuration in force is the newest one.

Gateways share their proofs, so that the whole fleet makes few store calls.
"""

import asyncio
import collections.abc
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, sources
from masticward.utils import clocks

# Age at which a proof is renewed. API keys need a proof that is younger than revoke_seconds (5 s by
# default).
RENEWAL_AGE_SECONDS = 1.0
# Random delay added to that age, so that the first gateway to renew its proof can share it with the
# others, which then need no call.
RENEWAL_JITTER_SECONDS = 1.0
# In a large fleet, gateways that do not read the store themselves do so at this age only.
FALLBACK_RENEWAL_AGE_SECONDS = 2.5
# How long such a gateway waits for a peer's newer configuration before it reads the store.
FALLBACK_VERSION_SECONDS = 1.0
POLL_SECONDS = 0.1
# Shortest time between two reads while the store does not respond or a peer has a newer version.
MIN_READ_INTERVAL_SECONDS = 0.4
# Gateways that do not read the store themselves double that interval after each failed read: a
# reader that succeeds sends them the proof.
MAX_FALLBACK_DOUBLINGS = 3
LOGGER = logs.get_logger(__name__)


class Prover:
    """Reads the configuration when no gateway has proven it recently."""

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
        self.renewal_age_seconds = RENEWAL_AGE_SECONDS
        self.next_read_at = 0.0
        # Failed reads in a row.
        self.failed_reads = 0
        # Since when a peer has had a newer version; None while none has.
        self.behind_since: float | None = None

    async def run(self) -> None:
        """Renew the proof whenever it is due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if self.renewal_is_due(clocks.boot_time()):
                await self.renew_proof()

    def renewal_is_due(self, now: float) -> bool:
        """Return whether this process has to read the configuration now."""
        fleet = self.fleet
        if fleet.configuration is None or now < self.next_read_at:
            return False
        extra_seconds = 0.0
        if not fleet.reads_store:
            extra_seconds = FALLBACK_RENEWAL_AGE_SECONDS - RENEWAL_AGE_SECONDS
        if fleet.newest_peer_version <= fleet.configuration.version:
            self.behind_since = None
        else:
            if self.behind_since is None:
                self.behind_since = now
            if fleet.reads_store or now - self.behind_since > FALLBACK_VERSION_SECONDS:
                return True
        age_seconds = now - fleet.configuration_proven_at
        return age_seconds > self.renewal_age_seconds + extra_seconds

    async def renew_proof(self) -> None:
        """Read the configuration and notify the peers of the new proof."""
        requested_at = clocks.boot_time()
        self.next_read_at = requested_at + MIN_READ_INTERVAL_SECONDS
        self.renewal_age_seconds = RENEWAL_AGE_SECONDS + RENEWAL_JITTER_SECONDS * random.random()
        try:
            listing = await self.source.list_objects(sources.ObjectKind.PROOFS)
        except errors.StoreError as error:
            self.fleet.store_failed_at = clocks.boot_time()
            if not self.fleet.reads_store:
                doublings = min(self.failed_reads, MAX_FALLBACK_DOUBLINGS)
                self.next_read_at = requested_at + MIN_READ_INTERVAL_SECONDS * 2**doublings
            self.failed_reads += 1
            LOGGER.log(
                events.Event.PROOF_UNAVAILABLE,
                age=round(requested_at - self.fleet.configuration_proven_at, 2),
                error=str(error),
            )
            return
        self.failed_reads = 0
        self.follower.apply_configuration_listing(listing, requested_at)
        self.on_proof()
