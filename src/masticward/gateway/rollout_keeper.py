"""Decides on orders to roll out a version, and writes their status to the store."""

import asyncio
import math

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, sources
from masticward.models import rollouts
from masticward.state import cold_start, rollout, rollout_choice, rollout_evidence
from masticward.utils import clocks

CHECK_SECONDS = 0.05
WRITE_POLL_SECONDS = 0.1
RETRY_SECONDS = 0.5
# While the part is off, its settings are looked at this often.
OFF_POLL_SECONDS = 2.0
LOGGER = logs.get_logger(__name__)


class RolloutKeeper:
    """Judges the new versions, and writes decisions if this gateway ranks first for a service."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.FleetState,
        follower: followers.Follower,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.follower = follower
        self.table = fleet.rollouts
        # By service: the state that its object should have.
        self.wanted: dict[str, rollouts.RolloutState] = {}

    @property
    def enabled(self) -> bool:
        """Whether the settings call for rollouts."""
        return self.fleet.settings.bounds.canary_share is not None

    async def run_follower(self) -> None:
        """Follow the orders in the store, where the settings call for it, until cancelled."""
        while not self.enabled:
            await asyncio.sleep(OFF_POLL_SECONDS)
        await self.follower.run()

    async def run_checks(self) -> None:
        """Judge all undecided orders periodically, until cancelled."""
        while True:
            if self.enabled:
                self.check(clocks.boot_time())
            await asyncio.sleep(CHECK_SECONDS if self.enabled else OFF_POLL_SECONDS)

    async def run_writes(self) -> None:
        """Write decisions until cancelled."""
        while True:
            if not await self.write_wanted():
                await asyncio.sleep(RETRY_SECONDS)
            else:
                await asyncio.sleep(WRITE_POLL_SECONDS if self.enabled else OFF_POLL_SECONDS)

    async def write_wanted(self) -> bool:
        """Write all decisions; return whether none has failed."""
        written = True
        for service, state in list(self.wanted.items()):
            try:
                await self.write(service, state)
            except errors.StoreError as error:
                written = False
                LOGGER.log(
                    events.Event.ROLLOUT_STATUS_NOT_WRITTEN,
                    wanted={service: state.value},
                    error=str(error),
                )
        return written

    def check(self, now: float) -> None:
        """Stop the versions that are bad; set the states to be written by this gateway."""
        fleet, table = self.fleet, self.table
        live, known = len(fleet.live_gateways), fleet.known_gateway_count
        table.gateway_count = max(live, known)
        table.majority = 2 * live > known
        if fleet.settings.seed_ips and now < fleet.started_at + cold_start.PEER_DISCOVERY_SECONDS:
            table.in_touch = live > 1
        else:
            table.in_touch = live > 1 or known == 1
        if known == 1:
            table.in_touch_until = math.inf
        wanted = {}
        for service, item in table.rollouts.items():
            # Also updates what the order has to know of the endpoints.
            fleet.usable_endpoints(service, now)
            item.update_affordable(fleet.settings.bounds, table.gateway_count, now)
            if item.active and item.judge(False, now) is rollout_evidence.Verdict.BAD:
                item.stop()
                self.log_stop(item)
            if not item.active and item.decided_at is None:
                item.decided_at = now
            rank = rollout_choice.writer_rank(
                service, fleet.settings.instance_id, fleet.live_gateways
            )
            # The first one may be cut off from the store, which its peers don't notice.
            if rank and now < item.status_due_at() + rank * item.takeover_seconds():
                continue
            usable = fleet.table.usable(service, now)
            was_active, drained_until = item.active, item.drain_until
            state = table.decide(item, usable, fleet.live_gateways, now)
            if was_active and item.stopped:
                self.log_stop(item)
            if item.drain_until != drained_until:
                LOGGER.log(
                    events.Event.ROLLOUT_DRAINS,
                    service=service,
                    target=item.order.target,
                    seconds=round(item.drain_until - now, 2),
                    requests=item.requests,
                    sends=item.sends,
                )
            final = item.order.state in (
                rollouts.RolloutState.COMPLETED,
                rollouts.RolloutState.ROLLED_BACK,
            )
            # The store may have lost the object, which the operator then writes again.
            is_missing = service in table.restored.missing
            if not final and not is_missing and item.order.state is not state:
                wanted[service] = state
        self.wanted = wanted

    def log_stop(self, item: rollout.Rollout) -> None:
        """Log that a version was found to be bad, with what speaks against it."""
        LOGGER.log(
            events.Event.ROLLOUT_STOPPED,
            service=item.order.service,
            target=item.order.target,
            source=self.fleet.settings.instance_id,
            counts=item.describe(),
            requests=item.requests,
            sends=item.sends,
        )

    async def write(self, service: str, state: rollouts.RolloutState) -> None:
        """Write the state of an order, and apply what the store has then."""
        item = self.table.rollouts.get(service)
        if item is None or self.wanted.get(service) is not state:
            return
        order, era = item.order, self.table.era
        stored = await self.source.save_rollout_state(order, state)
        self.wanted.pop(service, None)
        current = self.table.rollouts.get(service)
        if (
            stored is None
            or self.table.era != era
            or (current is not None and stored.revision < current.order.revision)
        ):
            # Deleted or changed meanwhile, or the store was restored: the follower has to tell what
            # is in force.
            self.follower.relist_requested.set()
            return
        self.fleet.apply_rollouts([(service, stored)], False)
        if stored.state is not None:
            LOGGER.log(
                events.Event.ROLLOUT_STATUS,
                service=service,
                target=stored.target,
                source=self.fleet.settings.instance_id,
                state=stored.state.value,
                revision=stored.revision,
            )
