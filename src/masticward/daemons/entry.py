"""The entry program: wiring and shutdown."""

import asyncio
import typing

import msgspec

from masticward import settings
from masticward.coordination import claims, router, tickets
from masticward.daemons import common
from masticward.models import membership
from masticward.protocol import attempt_client
from masticward.transport import entry_http
from masticward.utils import clocks

CLAIMS_CLOSE_SECONDS = 5.0  # while the object API is down, the rest is given up after this time


class EntryDaemon(common.Node):
    """One entry instance. ``http_port`` is the port in use after ``start``."""

    role = membership.Role.ENTRY

    def __init__(self, entry_settings: settings.EntrySettings) -> None:
        super().__init__(entry_settings)
        self.settings = entry_settings
        self.http_port = 0
        self.router: router.Router
        self.tickets: tickets.DispatcherTicketClient
        self.http: entry_http.EntryHttpServer

    async def start(self) -> None:
        """Start all parts; callers are served as soon as a configuration is known."""
        instance = await self.bind(service="")
        self.create_view(instance, watches_object_api=True)
        self.claims = claims.ClaimService(self.store, instance.id)
        self.router = router.Router(
            self.view,
            self.settings.limits,
            instance.id,
            attempt_client.GrpcAttemptClient(self.channels, instance.peer_address),
            self.claims,
            self.metrics,
        )
        self.tickets = tickets.DispatcherTicketClient(
            self.view, self.channels, instance.id, self.incarnation, self.router.on_assign
        )
        self.router.ticket_client = self.tickets
        self.http = entry_http.EntryHttpServer(
            self.router, self.settings.http_address, self.settings.limits
        )
        await self.start_serving()
        await self.tickets.start()
        self.http_port = await self.http.start()

    async def shutdown(self) -> None:
        """Finish queued and running requests, then stop."""
        self.stopping = True
        self.view.announce_leaving()
        # Callers close kept connections with their next response, before the listener closes.
        self.router.begin_drain()
        # The balancer needs this time to notice that readiness has failed.
        await asyncio.sleep(self.settings.limits.drain_notice_seconds)
        self.http.stop_listening()
        await self.router.drained()
        await self.http.close()
        # An outcome that is not recorded leaves its key unknown to repeats.
        await self.claims.close(clocks.deadline_after(CLAIMS_CLOSE_SECONDS))
        await self.tickets.close()
        await self.close_common()

    def is_ready(self) -> bool:
        """Tell whether callers can connect too; their port opens after the admin port."""
        return self.http_port > 0 and super().is_ready()

    def status(self) -> dict[str, typing.Any]:
        """Return versions, queue figures and the dispatcher of each service."""
        configuration = self.view.configuration
        services = configuration.services if configuration is not None else ()
        return {
            **self.common_status(),
            "http_port": self.http_port,
            "dispatchers": {
                service.name: self.tickets.dispatcher_of(service.name) for service in services
            },
            "requests": self.request_figures(),
        }

    def explain(self, request_id: str) -> dict[str, typing.Any] | None:
        """Return the record of a request that this entry handled."""
        record = self.router.explain_log.get(request_id)
        return None if record is None else msgspec.structs.asdict(record)

    def request_figures(self) -> dict[str, typing.Any]:
        """Return how many requests and bytes this entry holds."""
        return {
            "held": len(self.router.admitted_ids),
            "queued": self.router.queue.waiting,
            "body_bytes": self.router.queue.body_bytes,
            "draining": self.router.draining,
        }
