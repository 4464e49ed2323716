"""An agent's slot offers and usage reports to the dispatchers of its service."""

import abc
import asyncio
import collections
import time

import msgspec

from masticward import errors, events, logs
from masticward.coordination import fleet_view, rendezvous
from masticward.models import membership
from masticward.protocol import dispatch_client, dispatch_handler, dispatch_reports, snapshots
from masticward.transport import channels as channels_module
from masticward.utils import tasks
from masticward.wire import masticward_pb2

LOG = logs.get_logger(__name__)
# Interval between progress reports. The dispatcher reserves the estimated cost of a running call,
# so a longer interval only delays charging what a call costs beyond its estimate.
REPORT_INTERVAL_SECONDS = 0.5
# Calls that end within this time share one report, which bounds the number of reports of agents
# with very short calls. Offers are not delayed, and costs stay reserved until they are reported.
MINIMUM_REPORT_INTERVAL_SECONDS = 0.1
# Reports to the standby dispatcher can be rare because it assigns nothing. When it becomes primary,
# the next report brings it up to date.
STANDBY_REPORT_INTERVAL_SECONDS = 1.0
# Slot deadlines within this time of each other share one timer.
EXPIRY_TIMER_RESOLUTION_SECONDS = 0.05
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.5
# The primary dispatcher and its standby.
SESSION_COUNT = 2
# A dispatcher that is no longer used returns its free slots within a round trip. Slots that are not
# returned count as issued until they expire after 2 s, which leaves only few slots to offer to the
# new dispatcher until then.
RELEASE_TIMEOUT_SECONDS = 0.5


class SlotOffer(msgspec.Struct, frozen=True, kw_only=True):
    """Slot ids issued together, valid until a monotonic deadline in seconds."""

    slot_ids: tuple[int, ...]
    deadline: float


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """The service that an agent has provided, in cost units, and its load in calls.

    ``counters`` holds the total cost by team; it never decreases within one incarnation.
    ``progress`` holds the cost so far of each running ticket. ``finished`` holds the final cost of
    the tickets that ended since the previous report; 0 if the ticket was refused.
    """

    counters: dict[str, float]
    progress: dict[str, float]
    finished: dict[str, float]
    running: int
    staged: int
    limit: int
    admission_state: str


class SlotSource(abc.ABC):
    """Provides the slots that an offer loop offers and the usage that it reports.

    ``changed`` is set whenever new slots may be issued or an attempt has ended.
    """

    changed: asyncio.Event

    @abc.abstractmethod
    def issue_slots(self) -> SlotOffer:
        """Issue new slots up to the admission limit plus the staged depth, possibly none.

        No slot is issued while the endpoint, its instance or its availability zone is out of
        service or leaving.
        """

    @abc.abstractmethod
    def report(self) -> UsageReport:
        """Return all counters, the progress of running tickets and newly finished tickets."""

    @abc.abstractmethod
    def is_retracted(self) -> bool:
        """Return whether all slots offered so far must be retracted, and no more may be offered."""

    def reclaim_slots(self, slot_ids: tuple[int, ...]) -> None:  # noqa: B027
        """Reclaim slots that a dispatcher returned unassigned, so that new ones may be issued.

        A source that does not override this issues new slots when the old ones expire.
        """

    @abc.abstractmethod
    def record_one_way_delay(self, seconds: float) -> None:
        """Record a one-way network delay to the dispatcher, used for the staged depth."""

    def record_waiting_tickets(self, count: int) -> None:  # noqa: B027
        """Record the number of tickets that wait at the dispatcher that receives the offers."""


def add_final_cost(finished: dict[str, float], ticket_id: str, cost: float) -> None:
    """Add the final cost of a ticket to costs that were not reported yet.

    A refused duplicate, which costs nothing, does not replace the cost of the run.
    """
    finished[ticket_id] = max(cost, finished.get(ticket_id, 0.0))


class DispatcherSession(dispatch_client.AgentListener):
    """The session with one dispatcher, and the values last reported to it."""

    def __init__(self, offer_loop: "OfferLoop", target: membership.Instance) -> None:
        self.offer_loop = offer_loop
        self.target = target
        self.link: dispatch_client.AgentLink | None = None
        self.waiting = 0
        self.sent_counters: dict[str, float] = {}
        self.sent_progress: dict[str, float] = {}
        self.finished: dict[str, float] = {}
        self.sent_load: tuple[int, int, int] | None = None
        self.writer = dispatch_reports.ReportWriter()
        self.snapshot_receiver = snapshots.SnapshotReceiver()
        # The snapshot last forwarded on this link: the sender's receiver and the sequence number.
        self.forwarded: tuple[snapshots.SnapshotReceiver, int] | None = None
        self.offered_until = 0.0
        # Whether slots were ever offered on this link. If not, the dispatcher has assigned no
        # ticket to this agent and needs no progress or final costs.
        self.offered = False
        self.reported_at = 0.0
        self.answered = False
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.task: asyncio.Task[None] | None = None
        self.released = False

    async def run(self) -> None:
        """Keep the session open until cancelled or released. Reconnects with back-off."""
        while not self.released:
            self.connect()
            try:
                assert self.link is not None
                await self.link.run()
            except errors.PeerUnavailableError as error:
                if self.answered or self.backoff_seconds == INITIAL_BACKOFF_SECONDS:
                    LOG.log(
                        events.Event.DISPATCH_SESSION_LOST,
                        service=self.offer_loop.instance.service,
                        dispatcher=self.target.id,
                        error=str(error),
                    )
            finally:
                self.link = None
                self.waiting = 0
                self.offered_until = 0.0
            if self.released:
                return
            self.offer_loop.handle_session_loss(self.target)
            await asyncio.sleep(self.backoff_seconds)
            self.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2 * self.backoff_seconds)

    async def release(self) -> None:
        """Retract the free slots and end the session.

        Waits for the dispatcher to return the slots, because it may have assigned some of them.
        """
        task = self.task
        if task is None:
            return
        if self.link is not None and self.offered:
            self.link.retract()
            # The task ends before the time-out only if the dispatcher closes the session.
            await asyncio.wait([task], timeout=RELEASE_TIMEOUT_SECONDS)
        await tasks.cancel_and_wait(task)

    def connect(self) -> None:
        """Open a new link and reset what was reported, so that the first report is complete."""
        self.link = self.offer_loop.open_link(self)
        self.sent_counters.clear()
        self.sent_progress.clear()
        self.sent_load = None
        self.writer = dispatch_reports.ReportWriter()
        self.snapshot_receiver = snapshots.SnapshotReceiver()
        self.forwarded = None
        self.offered = False
        self.reported_at = 0.0
        self.answered = False
        self.offer_loop.reported_at = 0.0
        self.offer_loop.source.changed.set()

    @property
    def usable(self) -> bool:
        """Whether the dispatcher has answered on the current link."""
        return self.link is not None and self.link.established

    def on_pong(self, waiting: int, round_trip_seconds: float) -> None:
        """Record the dispatcher's queue length and reset the back-off."""
        first, self.answered = not self.answered, True
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.waiting = waiting
        self.offer_loop.handle_pong(self, round_trip_seconds, first)

    def on_snapshot(self, message: masticward_pb2.Snapshot) -> None:
        """Store the snapshot, which is sent with the next hello message."""
        self.offer_loop.store_snapshot(self, message)

    def on_returned(self, slot_ids: tuple[int, ...]) -> None:
        """Reclaim the returned slots, so that new ones are issued in their place."""
        self.offered_until = 0.0
        self.offer_loop.source.reclaim_slots(slot_ids)
        self.offer_loop.source.changed.set()

    def add_finished(self, finished: dict[str, float]) -> None:
        """Store final costs for the next report, unless no slots were offered on this link."""
        if self.link is None or not self.offered:
            self.finished.clear()
            return
        for ticket_id, cost in finished.items():
            add_final_cost(self.finished, ticket_id, cost)

    def is_report_due(self, now: float) -> bool:
        """Return whether a report is due on a session that receives no offers."""
        return now - self.reported_at >= STANDBY_REPORT_INTERVAL_SECONDS

    def send_report(self, report: UsageReport, now: float) -> None:
        """Send the values that changed since the session's last report, if any did."""
        if self.link is None:
            return
        self.reported_at = now
        counters = changed_values(report.counters, self.sent_counters)
        running = report.progress if self.offered else {}
        progress = changed_values(running, self.sent_progress)
        load = (report.running, report.staged, report.limit)
        if not counters and not progress and not self.finished and load == self.sent_load:
            return
        message = self.writer.write(
            dispatch_handler.AgentReport(
                counters=counters,
                progress=progress,
                finished=self.finished,
                running=report.running,
                staged=report.staged,
                limit=report.limit,
            )
        )
        self.link.report(message)
        self.sent_counters.update(counters)
        self.sent_progress = dict(running)
        self.sent_load = load
        self.finished.clear()


class OfferLoop:
    """Offers slots to the primary dispatcher and reports usage to the primary and the standby."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        channels: channels_module.ChannelPool,
        source: SlotSource,
        instance: membership.Instance,
        incarnation: int,
    ) -> None:
        self.view = view
        self.channels = channels
        self.source = source
        self.instance = instance
        self.incarnation = incarnation
        self.sessions: dict[tuple[str, str], DispatcherSession] = {}
        self.ranked: list[tuple[str, str]] = []
        self.snapshot: snapshots.SnapshotReceiver | None = None
        self.background = tasks.TaskGroup()
        self.reported_at = 0.0
        self.retracted = False
        self.expiries: collections.deque[float] = collections.deque()
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.report_timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def start(self) -> None:
        """Open the sessions and start to offer slots."""
        self.view.subscribe(self.on_view_change)
        self.on_view_change()
        self.background.spawn(self.offer_continuously(), "offers")
        self.background.spawn(self.report_periodically(), "offer-reports")

    async def close(self) -> None:
        """Close the sessions. The dispatchers then discard the free slots."""
        self.closed = True
        for timer in (self.expiry_timer, self.report_timer):
            if timer is not None:
                timer.cancel()
        await self.background.cancel()

    def on_view_change(self) -> None:
        """Open and release sessions so that the first two dispatcher candidates have one."""
        if self.closed:
            return
        service = self.instance.service
        ranked = rendezvous.rank(service, self.view.available_agents(service))[:SESSION_COUNT]
        if not ranked:
            # Keep the sessions: this instance may just be partitioned from its peers.
            return
        previous = self.primary
        self.ranked = [(target.id, target.peer_address) for target in ranked]
        for key in [item for item in self.sessions if item not in self.ranked]:
            session = self.sessions.pop(key)
            session.released = True
            self.background.spawn(session.release(), f"release-{session.target.id}")
        for key, target in zip(self.ranked, ranked, strict=True):
            if key not in self.sessions:
                session = self.sessions[key] = DispatcherSession(self, target)
                session.task = self.background.spawn(session.run(), f"agent-session-{target.id}")
        if previous is not None and previous is not self.primary and previous.link is not None:
            # The previous primary returns its slots, and they are issued to the new one.
            previous.link.retract()
        self.source.changed.set()

    def open_link(self, session: DispatcherSession) -> dispatch_client.AgentLink:
        """Return a new link whose hello message includes the stored snapshot."""
        hello = masticward_pb2.AgentHello(
            agent_id=self.instance.id,
            incarnation=self.incarnation,
            service=self.instance.service,
            availability_zone=self.instance.availability_zone,
            peer_address=self.instance.peer_address,
            stored_snapshot=self.write_snapshot(),
        )
        return dispatch_client.AgentLink(self.channels, session.target.peer_address, hello, session)

    def handle_session_loss(self, target: membership.Instance) -> None:
        """Mark a dispatcher whose session failed as suspected, and update the sessions."""
        self.view.suspect(target.id)
        self.on_view_change()

    def handle_pong(
        self, session: DispatcherSession, round_trip_seconds: float, first: bool
    ) -> None:
        """Record the delay and queue length of a pong, and offer slots where tickets wait."""
        primary, standby = self.primary, self.standby
        if session is primary:
            self.source.record_one_way_delay(round_trip_seconds / 2)
        if session is self.choose_session():
            self.source.record_waiting_tickets(session.waiting)
        if first:
            self.source.changed.set()
        if (
            primary is not None
            and standby is not None
            and only_standby_has_tickets(primary, standby)
        ):
            if primary.offered_until > time.monotonic() and primary.link is not None:
                # The primary returns its free slots, and they are issued to the standby.
                primary.link.retract()
            self.source.changed.set()

    @property
    def primary(self) -> DispatcherSession | None:
        """The session with the first dispatcher candidate."""
        return self.sessions.get(self.ranked[0]) if self.ranked else None

    @property
    def standby(self) -> DispatcherSession | None:
        """The session with the second dispatcher candidate."""
        return self.sessions.get(self.ranked[1]) if len(self.ranked) > 1 else None

    def choose_session(self) -> DispatcherSession | None:
        """Return the session on which to offer slots, None if no dispatcher answers.

        Slots go to the standby if the primary does not answer, or if only the standby has tickets.
        """
        primary, standby = self.primary, self.standby
        if primary is not None and primary.usable:
            if standby is not None and only_standby_has_tickets(primary, standby):
                return standby
            return primary
        return standby if standby is not None and standby.usable else None

    async def offer_continuously(self) -> None:
        """Offer new slots and report finished tickets whenever the source changes."""
        while True:
            await self.source.changed.wait()
            self.source.changed.clear()
            self.retract_if_needed()
            self.offer()
            self.schedule_report()

    def retract_if_needed(self) -> None:
        """Retract the slots of all sessions once when the source becomes retracted."""
        retracted = self.source.is_retracted()
        if retracted and not self.retracted:
            for session in self.sessions.values():
                if session.link is not None:
                    session.link.retract()
        self.retracted = retracted

    def offer(self) -> None:
        """Issue slots and send them to the chosen dispatcher."""
        session = self.choose_session()
        if session is None or session.link is None or self.retracted:
            return
        offered = self.source.issue_slots()
        if offered.slot_ids:
            session.link.offer(offered.slot_ids, offered.deadline)
            session.offered_until = offered.deadline
            session.offered = True
            self.schedule_expiry(offered.deadline)

    def schedule_expiry(self, deadline: float) -> None:
        """Schedule the next issue of slots shortly after the deadline."""
        if self.expiries and deadline - self.expiries[-1] < EXPIRY_TIMER_RESOLUTION_SECONDS:
            return
        self.expiries.append(deadline)
        if self.expiry_timer is None:
            self.update_expiry_timer()

    def update_expiry_timer(self) -> None:
        """Wake the offer loop for deadlines that have passed, and set the timer for the next."""
        now = time.monotonic()
        while self.expiries and self.expiries[0] + EXPIRY_TIMER_RESOLUTION_SECONDS <= now:
            self.expiries.popleft()
            self.source.changed.set()
        self.expiry_timer = None
        if self.expiries:
            delay = self.expiries[0] + EXPIRY_TIMER_RESOLUTION_SECONDS - now
            loop = asyncio.get_running_loop()
            self.expiry_timer = loop.call_later(delay, self.update_expiry_timer)

    def schedule_report(self) -> None:
        """Send reports now, or once the minimum interval since the last ones has passed."""
        delay = self.reported_at + MINIMUM_REPORT_INTERVAL_SECONDS - time.monotonic()
        if delay <= 0.0:
            self.send_reports()
        elif self.report_timer is None:
            loop = asyncio.get_running_loop()
            self.report_timer = loop.call_later(delay, self.send_reports)

    def send_reports(self) -> None:
        """Send each session that is due the values that changed since its last report."""
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
        self.reported_at = time.monotonic()
        report = self.source.report()
        offered_session = self.choose_session()
        for session in self.sessions.values():
            session.add_finished(report.finished)
            if session is offered_session or session.is_report_due(self.reported_at):
                session.send_report(report, self.reported_at)

    async def report_periodically(self) -> None:
        """Report the progress of running calls every 500 ms unless a report was just sent."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            if time.monotonic() - self.reported_at >= REPORT_INTERVAL_SECONDS / 2:
                self.send_reports()

    def store_snapshot(self, sender: DispatcherSession, message: masticward_pb2.Snapshot) -> None:
        """Store the newest snapshot and forward it to the dispatcher in this process.

        Every agent process also runs a dispatcher. Forwarding gives the standby the primary's
        snapshots before a failover.
        """
        receiver = sender.snapshot_receiver
        if not receiver.apply(message):
            return
        if self.snapshot is not None and receiver.included_total < self.snapshot.included_total:
            return
        self.snapshot = receiver
        for session in self.sessions.values():
            is_local = session.target.id == self.instance.id
            if is_local and session is not sender and session.link is not None:
                can_forward = not message.base_sequence or session.forwarded == (
                    receiver,
                    message.base_sequence,
                )
                session.link.forward_snapshot(
                    message if can_forward else receiver.write(self.instance.service)
                )
                session.forwarded = (receiver, message.sequence)

    def write_snapshot(self) -> masticward_pb2.Snapshot | None:
        """Return the complete stored snapshot, None if there is none."""
        return None if self.snapshot is None else self.snapshot.write(self.instance.service)


def only_standby_has_tickets(primary: DispatcherSession, standby: DispatcherSession) -> bool:
    """Return whether tickets wait at the standby and none at the primary."""
    return standby.usable and standby.waiting > 0 and primary.waiting == 0


def changed_values(values: dict[str, float], sent: dict[str, float]) -> dict[str, float]:
    """Return the entries of ``values`` that differ from those in ``sent``."""
    return {key: value for key, value in values.items() if sent.get(key) != value}
