"""Tells crashes of endpoints from single broken connections, as evidence on parts of prompts."""

import asyncio
import collections.abc

from masticward import errors, events, logs
from masticward.gateway import calls
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.transport import http1
from masticward.utils import addresses, clocks

LOGGER = logs.get_logger(__name__)


class CrashDetector:
    """Checks endpoints that broke off before they had begun to answer a request.

    An endpoint that accepts a new connection has not crashed.
    """

    def __init__(self, fleet: fleet_module.FleetState, pool: calls.ConnectionPool) -> None:
        self.fleet = fleet
        self.pool = pool
        # By ID of an endpoint that is being checked: parts of the requests that broke off.
        self.suspects: dict[str, set[str]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def is_checking(self, endpoint_id: str) -> bool:
        """Return whether it is still open if an endpoint has crashed."""
        return endpoint_id in self.suspects

    def record_unanswered(
        self, endpoint: gateway.Endpoint, part_keys: collections.abc.Collection[str]
    ) -> None:
        """Check an endpoint that broke off before it had begun to answer a request."""
        if not part_keys:
            return
        if endpoint.id in self.suspects:
            self.suspects[endpoint.id].update(part_keys)
            return
        self.suspects[endpoint.id] = set(part_keys)
        task = asyncio.get_running_loop().create_task(self.check(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def check(self, endpoint: gateway.Endpoint) -> None:
        """Connect to an endpoint; record the parts as evidence if it does not accept."""
        quarantine = self.fleet.quarantine
        try:
            channel = await http1.connect(
                addresses.split(endpoint.address), calls.CONNECT_TIMEOUT_SECONDS
            )
        except errors.EndpointNotStartedError as error:
            part_keys = sorted(self.suspects[endpoint.id])
            LOGGER.log(
                events.Event.ENDPOINT_CRASHED,
                endpoint=endpoint.id,
                unanswered_parts=part_keys,
                error=str(error),
            )
            quarantine.record_crash(endpoint.id, part_keys, clocks.boot_time())
        else:
            self.pool.release(endpoint, channel, None)
            quarantine.end_test(self.suspects[endpoint.id], endpoint.id)
        finally:
            del self.suspects[endpoint.id]
