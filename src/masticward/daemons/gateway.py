"""The gateway process: start, readiness, settings reload and graceful stop."""

import asyncio
import collections.abc
import signal
import statistics
import types
import typing

import msgspec

from masticward import errors, events, logs, metrics
from masticward.daemons import stop_monitor
from masticward.gateway import (
    calls,
    followers,
    front,
    gateway_metrics,
    peering,
    placement_explanation,
    placer,
    prover,
    quarantine_keeper,
    request_path,
    response_buffers,
    rollout_keeper,
    snapshots,
    sources,
)
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import body_memory, load_shedding, loop_lag
from masticward.transport import http1_server, turn_queue
from masticward.utils import addresses, clocks, tasks

# The platform kills the process at the end of the grace period; the process exits before that.
STOP_MARGIN_SECONDS = 0.6
# Requests that arrive in part are refused this long before the end, for the refusal to be read.
STOP_READING_SECONDS = 0.4
TICK_INTERVAL_SECONDS = 0.25
# Interval of the timer whose lateness decides on the refusal of requests.
LAG_PROBE_INTERVAL_SECONDS = 0.02
# A late gateway leaves the rotation only while at least this fraction of the zone's others is not
# late: the load balancer uses all gateways of a zone when fewer than half are ready.
MIN_AVAILABLE_PEERS = 0.5
# The settings file is polled because it may change without a signal.
RELOAD_INTERVAL_SECONDS = 2.0
# Settings that hold from the start to the end of a process.
RESTART_SETTINGS = (
    "instance_id",
    "ip",
    "client_address",
    "ready_address",
    "peer_port",
    "store_address",
)
# Keeps a task that fails immediately on each start from using all CPU time.
TASK_RESTART_DELAY_SECONDS = 0.2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
LOGGER = logs.get_logger(__name__)


class ReadinessHandler(http1_server.RequestHandler):
    """Serves the load balancer's readiness checks and the metrics."""

    def __init__(self, program: "GatewayProgram") -> None:
        self.program = program

    def limits(self) -> gateway.ClientLimits:
        """Return the default limits."""
        return gateway.ClientLimits()

    async def handle(
        self, request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        """Serve metrics, or readiness as status 200 or 503."""
        if request.target.startswith(b"/metrics"):
            body = self.program.metrics.render()
            await responder.send(200, [(b"Content-Type", b"text/plain; version=0.0.4")], body)
            return
        await responder.send(200 if self.program.ready() else 503, [], b"")


class GatewayProgram:
    """The components of one gateway process and its lifecycle."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        source: sources.FleetSource,
        codec: sources.RequestCodec,
        read_settings: collections.abc.Callable[[], gateway.GatewaySettings],
    ) -> None:
        self.settings = settings
        self.codec = codec
        # As read last, with values that take effect only after a restart.
        self.loaded_settings = settings
        self.read_settings = read_settings
        self.metrics = metrics.ProcessMetrics()
        self.fleet = fleet_module.FleetState(settings)
        source.on_era = self.fleet.learn_era
        self.peering = peering.Peering(self.fleet, source, self.relist, self.set_reads_store)
        self.followers = followers.create_followers(source, self.fleet, self.peering.relay_changes)
        self.prover = prover.Prover(
            source, self.fleet, self.followers[sources.ObjectKind.CONFIGURATION], self.send_proof
        )
        self.quarantine_keeper = quarantine_keeper.QuarantineKeeper(source, self.fleet)
        self.rollout_keeper = rollout_keeper.RolloutKeeper(
            source, self.fleet, self.followers[sources.ObjectKind.ROLLOUTS]
        )
        self.snapshots = snapshots.SnapshotFetcher(self.fleet, self.peering, self.followers)
        self.body_memory = body_memory.BodyMemory(body_memory.requests_limit(settings.memory_bytes))
        self.answer_memory = body_memory.AnswerMemory(
            body_memory.answers_limit(settings.memory_bytes)
        )
        self.endpoint_client = calls.EndpointClient(self.fleet, codec, self.answer_memory)
        self.placer = placer.Placer(
            self.fleet, self.peering.announce_prompt, self.endpoint_client.pool.connected_ids
        )
        self.source = source
        self.gateway_metrics = gateway_metrics.GatewayMetrics(self.metrics)
        dependencies = request_path.RequestDependencies(
            self.fleet, codec, self.placer, self.endpoint_client, self.gateway_metrics
        )
        self.response_buffers = response_buffers.ResponseBuffers(
            self.answer_memory, self.gateway_metrics
        )
        dependencies.response_buffers = self.response_buffers
        self.placer.on_bound = self.response_buffers.record_bound
        self.crash_detector = dependencies.crash_detector
        self.front = front.ClientRequestHandler(dependencies, self.peering.available_peers)
        self.client_server = http1_server.Server(
            addresses.split(settings.client_address), self.front, self.body_memory
        )
        self.snapshot_server = http1_server.Server(
            (settings.ip, settings.peer_port),
            snapshots.SnapshotHandler(self.fleet, placement_explanation.Explainer(self.front)),
            self.body_memory,
        )
        self.ready_server = http1_server.Server(
            addresses.split(settings.ready_address), ReadinessHandler(self), self.body_memory
        )
        self.background = tasks.TaskGroup()
        self.lag = loop_lag.LoopLag()
        self.stopping = False
        self.was_ready = False
        self.settings_problems: list[str] = []
        self.register_gauges()

    def register_gauges(self) -> None:
        """Register the gauges that are evaluated when the metrics are collected."""
        fleet = self.fleet
        add = self.gateway_metrics.add_gauge
        add(
            "masticward_gateway_waiting_requests",
            "requests that wait for an endpoint",
            lambda: sum(len(queue) for queue in self.placer.queues.values()),
        )
        add(
            "masticward_gateway_unfinished_requests",
            "requests that are being read or answered",
            lambda: self.client_server.busy,
        )
        add(
            "masticward_gateway_body_bytes",
            "bytes of requests' bodies that are being read or held",
            lambda: self.body_memory.held_bytes,
        )
        add(
            "masticward_gateway_answer_bytes",
            "bytes of answers' bodies that are held until clients have them",
            lambda: self.answer_memory.held_bytes,
        )
        add(
            "masticward_gateway_endpoint_body_bytes",
            "bytes of requests' bodies that endpoints hold for this gateway",
            lambda: fleet.endpoint_bodies.total_bytes,
        )
        add(
            "masticward_gateway_unread_bytes",
            "bytes that clients have sent behind requests that are being served",
            lambda: self.client_server.unread_bytes,
        )
        add(
            "masticward_gateway_configuration_version",
            "configuration in force",
            lambda: fleet.configuration_version,
        )
        add(
            "masticward_gateway_proof_age_seconds",
            "time since the last proof of the configuration, in seconds",
            lambda: clocks.boot_time() - fleet.configuration_proven_at,
        )
        add(
            "masticward_gateway_store_era",
            "how often the store was restored from a copy, as far as known",
            lambda: fleet.known_era,
        )
        add(
            "masticward_gateway_late_seconds",
            "smoothed lateness of a timer, in seconds",
            lambda: self.lag.lag_seconds,
        )
        add(
            "masticward_gateway_live_gateways",
            "gateways heard lately",
            lambda: len(fleet.live_gateways),
        )
        add(
            "masticward_gateway_opened_connections",
            "connections opened to endpoints",
            lambda: self.endpoint_client.pool.opened,
        )
        add(
            "masticward_gateway_repeats",
            "repeated sends within the window",
            lambda: sum(len(budget.retries) for budget in fleet.budgets.values()),
        )
        add(
            "masticward_gateway_waiting_connections",
            "connections that wait for a turn to be read",
            lambda: turn_queue.current().turns.waiting_count,
        )
        add(
            "masticward_gateway_turn_wait_seconds",
            "time for which connections waited for turns to be read, in seconds",
            lambda: turn_queue.current().turns.waited_seconds,
        )
        add(
            "masticward_gateway_turn_seconds",
            "time that turns of connections above their share took, in seconds",
            lambda: turn_queue.current().turns.turn_seconds,
        )
        add(
            "masticward_gateway_restricted_parts",
            "parts of prompts that are suspected or quarantined because endpoints crashed",
            lambda: len(fleet.quarantine.restricted),
        )
        add(
            "masticward_gateway_speed_reports",
            "answers in which endpoints said how long work takes on them",
            lambda: fleet.speeds.reports,
        )
        self.gateway_metrics.add_labelled_gauge(
            "masticward_gateway_time_factor",
            "how long work takes at the endpoints that report it, as a multiple of normal",
            "statistic",
            {
                "lowest": lambda: min(fleet.speeds.time_factors(clocks.boot_time())),
                "mean": lambda: statistics.fmean(fleet.speeds.time_factors(clocks.boot_time())),
                "highest": lambda: max(fleet.speeds.time_factors(clocks.boot_time())),
            },
        )
        add(
            "masticward_gateway_canary_sends",
            "requests sent to new versions under the present orders",
            lambda: sum(item.sends for item in fleet.rollouts.rollouts.values()),
        )
        self.gateway_metrics.add_labelled_gauge(
            "masticward_gateway_rollouts",
            "orders to roll out a version by state here",
            "state",
            {
                "running": lambda: sum(item.active for item in fleet.rollouts.rollouts.values()),
                "stopped": lambda: sum(item.stopped for item in fleet.rollouts.rollouts.values()),
                "completed": lambda: sum(
                    item.completed for item in fleet.rollouts.rollouts.values()
                ),
            },
        )
        self.gateway_metrics.add_labelled_gauge(
            "masticward_gateway_endpoints",
            "endpoints by state",
            "state",
            {
                "usable": lambda: sum(
                    not item.draining
                    and item.id not in fleet.table.missing
                    and fleet.announcements.is_open(item, clocks.boot_time())
                    for item in fleet.table.endpoints.values()
                ),
                "leaving": lambda: sum(item.draining for item in fleet.table.endpoints.values()),
                "announced leaving": lambda: sum(
                    not item.draining and fleet.announcements.is_leaving(item)
                    for item in fleet.table.endpoints.values()
                ),
                "wants nothing": lambda: len(fleet.announcements.paused_until),
                "missing": lambda: len(fleet.table.missing),
            },
        )
        self.gateway_metrics.add_labelled_gauge(
            "masticward_gateway_store_calls",
            "calls to the store",
            "outcome",
            {
                "answered": lambda: self.source.calls - self.source.failed_calls,
                "failed": lambda: self.source.failed_calls,
            },
        )

    def ready(self) -> bool:
        """Return whether the load balancer should send new connections here; log each change.

        Without a recent proof of the configuration, the process is unready only while a peer has
        one.
        """
        fleet = self.fleet
        ready = (
            not self.stopping
            and not self.lag.overloaded
            and not self.is_paused()
            and fleet.configuration is not None
            and fleet.endpoints_known
            and (fleet.proof_is_fresh(clocks.boot_time()) or not self.peer_has_recent_proof())
        )
        if ready != self.was_ready:
            self.was_ready = ready
            LOGGER.log(events.Event.READINESS_CHANGED, ready=ready, stopping=self.stopping)
        return ready

    def is_paused(self) -> bool:
        """Return whether other gateways of the zone should take this one's clients."""
        return (
            self.fleet.shedder.is_paused(clocks.boot_time())
            and self.peering.available_peers() >= MIN_AVAILABLE_PEERS
        )

    def peer_has_recent_proof(self) -> bool:
        """Return whether another live gateway has a recent proof of its configuration."""
        limit = self.settings.bounds.revoke_seconds - fleet_module.REVOKE_MARGIN_SECONDS
        return any(
            peer.live and not peer.stopping and 0 <= peer.configuration_proof_age < limit
            for peer in self.peering.peers.values()
        )

    def relist(self) -> None:
        """List endpoints and evacuations again: from the store, or from a peer that reads it."""
        if self.fleet.reads_store:
            self.snapshots.request_listings()
        self.snapshots.listing_differs = True

    def set_reads_store(self, reads_store: bool) -> None:
        """Start or stop to read the store."""
        for follower in self.followers.values():
            follower.set_active(reads_store)

    def send_proof(self) -> None:
        """Send a new proof to the peers at once, so that they need not fetch their own."""
        if self.fleet.relays_changes:
            self.peering.send_changes()
        else:
            self.peering.send_reports()

    def record_callback_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        """Count and log an unexpected error in a callback; the event loop goes on."""
        self.gateway_metrics.failed_callbacks.inc()
        LOGGER.log(
            events.Event.CALLBACK_FAILED,
            error=repr(context.get("exception")),
            detail=context.get("message"),
        )

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        asyncio.get_running_loop().set_exception_handler(self.record_callback_error)
        await self.ready_server.start()
        await self.client_server.start()
        await self.snapshot_server.start()
        await self.peering.start()
        self.supervise(self.peering.run, "peering")
        self.supervise(self.peering.run_changes, "changes for peers")
        self.supervise(self.peering.run_registration, "registration")
        for kind, follower in self.followers.items():
            if kind is not sources.ObjectKind.ROLLOUTS:
                self.supervise(follower.run, f"follower of {kind.value}")
        self.supervise(self.rollout_keeper.run_follower, "follower of rollouts")
        self.supervise(self.rollout_keeper.run_checks, "checks of rollouts")
        self.supervise(self.rollout_keeper.run_writes, "status of rollouts")
        self.supervise(self.prover.run, "prover")
        self.supervise(self.snapshots.run, "snapshots of peers")
        self.supervise(self.placer.run, "placer")
        self.supervise(self.quarantine_keeper.run, "quarantine keeper")
        self.supervise(self.run_ticks, "ticks")
        self.supervise(self.run_lag_probe, "lag probe")
        self.supervise(self.run_reloads, "reloads")
        LOGGER.log(
            events.Event.GATEWAY_STARTED,
            instance=self.settings.instance_id,
            zone=self.settings.availability_zone,
            clients=self.settings.client_address,
        )

    def supervise(
        self,
        run: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, None]],
        name: str,
    ) -> None:
        """Run a background task and restart it whenever it ends."""

        async def restart_forever() -> None:
            while True:
                try:
                    await run()
                except Exception as error:
                    LOGGER.log(events.Event.TASK_FAILED, task=name, error=repr(error))
                await asyncio.sleep(TASK_RESTART_DELAY_SECONDS)

        self.background.spawn(restart_forever(), name)

    async def run_ticks(self) -> None:
        """Record the event loop lag and remove expired state, until cancelled."""
        while True:
            due = clocks.boot_time() + TICK_INTERVAL_SECONDS
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = clocks.boot_time()
            if self.lag.record(now - due, now):
                LOGGER.log(
                    events.Event.OVERLOAD_CHANGED,
                    overloaded=self.lag.overloaded,
                    late_seconds=round(self.lag.lag_seconds, 3),
                    unfinished=self.client_server.busy,
                )
            # Without a peer there is no other instance that could serve the clients.
            has_peers = len(self.fleet.live_gateways) > 1
            self.client_server.overloaded = has_peers and (
                self.lag.moves_clients or self.fleet.shedder.has_left_rotation(now)
            )
            unread_limit = body_memory.unread_limit(self.settings.memory_bytes)
            for server in (self.client_server, self.snapshot_server, self.ready_server):
                server.limit_unread(unread_limit)
            self.fleet.drop_expired_endpoints()
            self.fleet.quarantine.expire(now)
            self.fleet.announcements.expire(self.fleet.table.endpoints.values(), now)
            self.crash_detector.expire()
            self.endpoint_client.pool.expire(set(self.fleet.table.endpoints))

    async def run_lag_probe(self) -> None:
        """Record how late a frequent timer fires, until cancelled."""
        while True:
            due = clocks.boot_time() + LAG_PROBE_INTERVAL_SECONDS
            await asyncio.sleep(LAG_PROBE_INTERVAL_SECONDS)
            now = clocks.boot_time()
            self.fleet.pauses.tick(now)
            if self.fleet.shedder.record(now - due, now):
                LOGGER.log(
                    events.Event.ROTATION_PAUSED,
                    late_seconds=round(self.fleet.shedder.long_lag_seconds, 3),
                    pause_seconds=self.fleet.shedder.pause_seconds,
                    available_peers=round(self.peering.available_peers(), 2),
                )

    async def run_reloads(self) -> None:
        """Reload the settings periodically, until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Apply changed settings; keep the current ones if the file is invalid.

        What needs a restart also stays as it is: the process goes on to use its addresses and ports
        until then, and so do its peers.
        """
        try:
            loaded = self.read_settings()
        except errors.SettingsError as error:
            if error.problems != self.settings_problems:
                LOGGER.log(events.Event.SETTINGS_UNREADABLE, problems=error.problems)
            self.settings_problems = error.problems
            return
        self.settings_problems = []
        if loaded == self.loaded_settings:
            return
        self.loaded_settings = loaded
        in_use = {name: getattr(self.settings, name) for name in RESTART_SETTINGS}
        needs_restart = any(getattr(loaded, name) != value for name, value in in_use.items())
        loaded = msgspec.structs.replace(loaded, **in_use)
        self.settings = loaded
        self.fleet.apply_settings(loaded)
        self.body_memory.limit_bytes = body_memory.requests_limit(loaded.memory_bytes)
        self.answer_memory.limit_bytes = body_memory.answers_limit(loaded.memory_bytes)
        self.peering.apply_settings(loaded)
        LOGGER.log(events.Event.SETTINGS_RELOADED, needs_restart=needs_restart)

    async def stop(self, signalled_at: float | None = None) -> None:
        """Leave the load balancer's rotation, finish open requests, then stop.

        Requests that cannot end before the end of the grace period are refused from the start.
        Those that are still open shortly before it are aborted. The grace period began at
        ``signalled_at`` (``clocks.boot_time``), or begins now.
        """
        started = clocks.boot_time() if signalled_at is None else signalled_at
        abort_at = started + self.settings.bounds.stop_grace_seconds - STOP_MARGIN_SECONDS
        late_seconds = clocks.boot_time() - started
        LOGGER.log(
            events.Event.PROCESS_STOPPING,
            instance=self.settings.instance_id,
            unfinished=self.client_server.busy,
            connections=len(self.client_server.connections),
            late_ms=stop_monitor.to_milliseconds(late_seconds),
            ends_in_ms=stop_monitor.to_milliseconds(abort_at - clocks.boot_time()),
            grace_ms=stop_monitor.to_milliseconds(self.settings.bounds.stop_grace_seconds),
        )
        monitor = stop_monitor.StopMonitor(self.client_server, self.codec, abort_at)
        monitor.record_lateness(late_seconds)
        self.stopping = True
        self.peering.stopping = True
        self.fleet.stopping_at = started
        self.fleet.ends_at = abort_at
        self.client_server.stopping = True
        rotation_exit_at = clocks.boot_time() + load_shedding.ROTATION_EXIT_SECONDS
        await monitor.sleep_until(min(rotation_exit_at, abort_at))
        self.client_server.stop_listening()
        while self.client_server.busy and clocks.boot_time() < abort_at:
            await monitor.sleep()
            self.client_server.close_unused()
            reads_end = clocks.boot_time() >= abort_at - STOP_READING_SECONDS
            if reads_end and not self.client_server.reading_stopped:
                self.client_server.stop_reading()
        connections = len(self.client_server.connections)
        cut = self.client_server.abort()
        await self.background.cancel()
        LOGGER.log(
            events.Event.PROCESS_STOPPED,
            instance=self.settings.instance_id,
            cut=cut.total(),
            cut_by_stage={stage.value: count for stage, count in cut.items()},
            connections=connections,
            stopping_ms=stop_monitor.to_milliseconds(clocks.boot_time() - started),
            late_ms=stop_monitor.to_milliseconds(monitor.longest_late_seconds),
        )


class StopSignal:
    """Waits for SIGTERM or SIGINT and stores when the first of them arrived.

    The event loop's own handlers are called late if it is late, and are removed before the process
    ends. Those of the interpreter are called at once.
    """

    __slots__ = ("arrived_at", "event", "loop")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.event = asyncio.Event()
        # In seconds of ``clocks.boot_time``.
        self.arrived_at: float | None = None

    def install(self) -> None:
        """Handle the signals; to be called in the main thread."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.receive)

    def receive(self, _number: int, _frame: types.FrameType | None) -> None:
        """Store the time of the first signal and wake the event loop up."""
        if self.arrived_at is None:
            self.arrived_at = clocks.boot_time()
            self.loop.call_soon_threadsafe(self.event.set)


async def run_until_signal(program: GatewayProgram) -> int:
    """Run a program until SIGTERM or SIGINT; return its exit code."""
    stop = StopSignal()
    stop.install()
    loop = asyncio.get_running_loop()
    # The default action of SIGHUP would end the process.
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    await program.start()
    await stop.event.wait()
    await program.stop(stop.arrived_at)
    return 0
