"""Tells crashes of endpoints from single broken connections, as evidence on parts of prompts."""

import asyncio
import collections
import collections.abc

from masticward import errors, events, logs
from masticward.gateway import calls
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.transport import http1
from masticward.utils import addresses, clocks

# An endpoint may still crash on a request for this long after its client has left.
ABANDONED_SECONDS = 2.0
MAX_ABANDONED_REQUESTS = 64
MAX_LOGGED_PARTS = 64
LOGGER = logs.get_logger(__name__)


class UnansweredRequest:
    """A request that an endpoint had not begun to answer, with its shared parts."""

    __slots__ = ("expires_at", "part_keys", "request_id")

    def __init__(
        self, request_id: str, part_keys: collections.abc.Sequence[str], expires_at: float
    ) -> None:
        self.request_id = request_id
        self.part_keys = part_keys
        self.expires_at = expires_at


class CrashDetector:
    """Checks endpoints that broke off before they had begun to answer a request.

    An endpoint that accepts a new connection has not crashed.
    """

    def __init__(self, fleet: fleet_module.FleetState, pool: calls.ConnectionPool) -> None:
        self.fleet = fleet
        self.pool = pool
        # By ID of an endpoint that is being checked: the requests that broke off.
        self.checked: dict[str, list[UnansweredRequest]] = {}
        # By endpoint ID: requests that were cancelled before their answer, the oldest first.
        self.abandoned: dict[str, collections.deque[UnansweredRequest]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def is_checking(self, endpoint_id: str, request_id: str) -> bool:
        """Return whether it is still open if an endpoint has crashed with a request."""
        return any(item.request_id == request_id for item in self.checked.get(endpoint_id, ()))

    def record_unanswered(
        self,
        endpoint: gateway.Endpoint,
        request_id: str,
        part_keys: collections.abc.Sequence[str],
    ) -> None:
        """Check an endpoint that broke off before it had begun to answer a request."""
        if not part_keys:
            return
        request = UnansweredRequest(request_id, part_keys, clocks.boot_time() + ABANDONED_SECONDS)
        if endpoint.id in self.checked:
            self.checked[endpoint.id].append(request)
            return
        self.checked[endpoint.id] = [request]
        task = asyncio.get_running_loop().create_task(self.check(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_abandoned(
        self,
        endpoint: gateway.Endpoint,
        request_id: str,
        part_keys: collections.abc.Sequence[str],
    ) -> None:
        """Remember a request that was cancelled before its answer, for a crash that follows."""
        if part_keys:
            requests = self.abandoned.setdefault(
                endpoint.id, collections.deque(maxlen=MAX_ABANDONED_REQUESTS)
            )
            expires_at = clocks.boot_time() + ABANDONED_SECONDS
            requests.append(UnansweredRequest(request_id, part_keys, expires_at))
            self.fleet.quarantine.abandon_test(
                part_keys, request_id, endpoint.incarnation, expires_at
            )

    def record_unreachable(self, endpoint: gateway.Endpoint) -> None:
        """Record the requests that were abandoned at an endpoint that accepts no connection."""
        if endpoint.id in self.abandoned and endpoint.id not in self.checked:
            self.record_crash(endpoint, [], "not reachable after cancelled requests")

    def expire(self) -> None:
        """Drop abandoned requests that an endpoint has survived."""
        now = clocks.boot_time()
        for endpoint_id, requests in list(self.abandoned.items()):
            while requests and requests[0].expires_at <= now:
                requests.popleft()
            if not requests:
                del self.abandoned[endpoint_id]

    async def check(self, endpoint: gateway.Endpoint) -> None:
        """Connect to an endpoint; record the parts as evidence if it does not accept."""
        try:
            channel = await http1.connect(
                addresses.split(endpoint.address), calls.CONNECT_TIMEOUT_SECONDS
            )
        except errors.EndpointNotStartedError as error:
            self.record_crash(endpoint, self.checked[endpoint.id], str(error))
        else:
            self.pool.release(endpoint, channel, None)
            for request in self.checked[endpoint.id]:
                self.fleet.quarantine.end_test(
                    request.part_keys, request.request_id, endpoint.incarnation
                )
        finally:
            del self.checked[endpoint.id]

    def record_crash(
        self, endpoint: gateway.Endpoint, requests: list[UnansweredRequest], detail: str
    ) -> None:
        """Record the parts of requests, and of those abandoned shortly before, as evidence."""
        self.expire()
        unanswered = [*requests, *self.abandoned.pop(endpoint.id, ())]
        part_keys = sorted({key for request in unanswered for key in request.part_keys})
        if part_keys:
            LOGGER.log(
                events.Event.ENDPOINT_CRASHED,
                endpoint=endpoint.id,
                unanswered_parts=part_keys[:MAX_LOGGED_PARTS],
                error=detail,
            )
            self.fleet.quarantine.record_crash(endpoint.incarnation, part_keys, clocks.boot_time())
