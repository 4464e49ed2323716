"""What an agent offers to the dispatchers of its service and reports to them."""

import abc
import asyncio
import collections
import time

import msgspec

from masticward import errors, events, logs
from masticward.coordination import fleet_view, rendezvous
from masticward.models import membership
from masticward.protocol import dispatch_client, dispatch_reports, dispatch_role, snapshots
from masticward.transport import channels as channels_module
from masticward.utils import tasks
from masticward.wire import masticward_pb2

LOG = logs.get_logger(__name__)
# The reservation of a running call covers its progress up to the estimate, so a later report only
# delays what a call costs beyond it.
REPORT_SECONDS = 0.5
# Ends within this time share one report, which bounds the cost of agents with very short calls.
# Offers are not delayed by it, and reservations hold until the report.
REPORT_SPACING_SECONDS = 0.1
# The standby decides nothing; once it is primary the next report brings it up to date.
STANDBY_REPORT_SECONDS = 1.0
# Deadlines within this time share one timer.
EXPIRY_SPACING_SECONDS = 0.05
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.5
SESSION_COUNT = 2
# A dispatcher that is left returns its free slots within a round trip. Otherwise they count as
# issued until their deadline of 2 s, and the agent offers little to the new one until then.
RELEASE_SECONDS = 0.5


class SlotOffer(msgspec.Struct, frozen=True, kw_only=True):
    """Slot ids issued together, valid until a monotonic deadline in seconds."""

    slot_ids: tuple[int, ...]
    deadline: float


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent rendered, in cost units. Counters grow only, within one incarnation.

    ``progress`` holds the cost so far of each running ticket. ``finished`` holds the final cost of
    the tickets that ended since the last call of ``report``; 0 if the ticket was refused.
    """

    counters: dict[str, float]
    progress: dict[str, float]
    finished: dict[str, float]
    running: int
    staged: int
    limit: int
    admission_state: str


class SlotSource(abc.ABC):
    """The side of the endpoint runner that the offer loop uses.

    ``changed`` is set whenever new slots may be issued or an attempt has ended.
    """

    changed: asyncio.Event

    @abc.abstractmethod
    def issue_slots(self) -> SlotOffer:
        """Issue fresh slots up to the admission limit plus the staged depth; may be empty.

        Nothing is issued while the endpoint, its instance or its zone is out or leaving.
        """

    @abc.abstractmethod
    def report(self) -> UsageReport:
        """Return all counters, the progress of running tickets and the newly finished ones."""

    @abc.abstractmethod
    def is_retracted(self) -> bool:
        """Tell whether every slot that was offered must be withdrawn."""

    def reclaim_slots(self, slot_ids: tuple[int, ...]) -> None:  # noqa: B027
        """Take back slots that a dispatcher discarded unassigned, so that new ones may be issued.

        A source that does not override this issues new slots when the old ones expire.
        """

    @abc.abstractmethod
    def record_one_way_delay(self, seconds: float) -> None:
        """Record a measured one-way time to the dispatcher, used for the staged depth."""

    def record_waiting_tickets(self, count: int) -> None:  # noqa: B027
        """Record how many tickets wait at the dispatcher that gets the offers."""


class DispatcherSession(dispatch_client.AgentListener):
    """The session with one dispatcher and what it has been told."""

    def __init__(self, loop: "OfferLoop", target: membership.Instance) -> None:
        self.loop = loop
        self.target = target
        self.link: dispatch_client.AgentLink | None = None
        self.waiting = 0
        self.sent_counters: dict[str, float] = {}
        self.sent_progress: dict[str, float] = {}
        self.finished: dict[str, float] = {}
        self.sent_load: tuple[int, int, int] | None = None
        self.writer = dispatch_reports.ReportWriter()
        self.received = snapshots.SnapshotReceiver()
        # What was passed on over this link last: whose snapshot and its sequence.
        self.passed: tuple[snapshots.SnapshotReceiver, int] | None = None
        self.offered_until = 0.0
        # Whether this link was ever offered slots; if not, the dispatcher knows no ticket here.
        self.offered = False
        self.reported_at = 0.0
        self.answered = False
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.task: asyncio.Task[None] | None = None
        self.released = False

    async def run(self) -> None:
        """Keep the session open until cancelled; a released one is not opened again."""
        while not self.released:
            self.connect()
            try:
                assert self.link is not None
                await self.link.run()
            except errors.PeerUnavailableError as error:
                if self.answered or self.backoff_seconds == INITIAL_BACKOFF_SECONDS:
                    LOG.log(
                        events.Event.DISPATCH_SESSION_LOST,
                        service=self.loop.instance.service,
                        dispatcher=self.target.id,
                        error=str(error),
                    )
            finally:
                self.link = None
                self.waiting = 0
                self.offered_until = 0.0
            if self.released:
                return
            self.loop.note_lost(self.target)
            await asyncio.sleep(self.backoff_seconds)
            self.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2 * self.backoff_seconds)

    async def release(self) -> None:
        """Take the free slots back and end the session.

        Slots are returned only by the dispatcher, which may have assigned some of them.
        """
        task = self.task
        if task is None:
            return
        if self.link is not None and self.offered:
            self.link.retract()
            # Ends early only if the dispatcher closes the session.
            await asyncio.wait([task], timeout=RELEASE_SECONDS)
        await tasks.cancel_and_wait(task)

    def connect(self) -> None:
        """Open a link that starts with hello and a full report."""
        self.link = self.loop.open_link(self)
        self.sent_counters.clear()
        self.sent_progress.clear()
        self.sent_load = None
        self.writer = dispatch_reports.ReportWriter()
        self.received = snapshots.SnapshotReceiver()
        self.passed = None
        self.offered = False
        self.reported_at = 0.0
        self.answered = False
        self.loop.reported_at = 0.0
        self.loop.source.changed.set()

    @property
    def usable(self) -> bool:
        """Whether the dispatcher has answered on the present link."""
        return self.link is not None and self.link.established

    def on_pong(self, waiting: int, round_trip_seconds: float) -> None:
        """Record the queue length; the first pong makes the session usable."""
        first, self.answered = not self.answered, True
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.waiting = waiting
        self.loop.handle_pong(self, round_trip_seconds, first)

    def on_snapshot(self, message: masticward_pb2.Snapshot) -> None:
        """Store the snapshot for the next hello."""
        self.loop.store_snapshot(self, message)

    def on_returned(self, slot_ids: tuple[int, ...]) -> None:
        """Let the source issue new slots in place of the discarded ones."""
        self.offered_until = 0.0
        self.loop.source.reclaim_slots(slot_ids)
        self.loop.source.changed.set()

    def note_finished(self, finished: dict[str, float]) -> None:
        """Keep the ended tickets for the next report, if the dispatcher can know them."""
        if self.link is None or not self.offered:
            self.finished.clear()
        else:
            self.finished.update(finished)

    def is_report_due(self, now: float) -> bool:
        """Tell whether a session that gets no offers is due for a report."""
        return now - self.reported_at >= STANDBY_REPORT_SECONDS

    def send_report(self, report: UsageReport, now: float) -> None:
        """Send what changed since the last report of this session; nothing if nothing did."""
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
            dispatch_role.AgentReport(
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
    """Offers slots to the primary dispatcher and reports to primary and standby."""

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
        self.group = tasks.TaskGroup()
        self.reported_at = 0.0
        self.retracted = False
        self.expiries: collections.deque[float] = collections.deque()
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.report_timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def start(self) -> None:
        """Open the sessions and begin to offer."""
        self.view.subscribe(self.follow_view)
        self.follow_view()
        self.group.spawn(self.offer_continuously(), "offers")
        self.group.spawn(self.report_periodically(), "offer-reports")

    async def close(self) -> None:
        """Close the sessions; the dispatchers drop the slots."""
        self.closed = True
        for timer in (self.expiry_timer, self.report_timer):
            if timer is not None:
                timer.cancel()
        await self.group.cancel()

    def follow_view(self) -> None:
        """Keep sessions with the first two candidates for dispatcher."""
        if self.closed:
            return
        service = self.instance.service
        ranked = rendezvous.rank(service, self.view.available_agents(service))[:SESSION_COUNT]
        if not ranked:
            # Sessions are kept while no candidate is known: the view may only be cut off.
            return
        earlier = self.primary
        self.ranked = [(target.id, target.peer_address) for target in ranked]
        for key in [known for known in self.sessions if known not in self.ranked]:
            session = self.sessions.pop(key)
            session.released = True
            self.group.spawn(session.release(), f"release-{session.target.id}")
        for key, target in zip(self.ranked, ranked, strict=True):
            if key not in self.sessions:
                session = self.sessions[key] = DispatcherSession(self, target)
                session.task = self.group.spawn(session.run(), f"agent-session-{target.id}")
        if earlier is not None and earlier is not self.primary and earlier.link is not None:
            # The slots come back from the earlier primary and go to the new one.
            earlier.link.retract()
        self.source.changed.set()

    def open_link(self, session: DispatcherSession) -> dispatch_client.AgentLink:
        """Return a link whose first message carries the stored snapshot."""
        hello = masticward_pb2.AgentHello(
            agent_id=self.instance.id,
            incarnation=self.incarnation,
            service=self.instance.service,
            availability_zone=self.instance.availability_zone,
            peer_address=self.instance.peer_address,
            stored_snapshot=self.write_snapshot(),
        )
        return dispatch_client.AgentLink(self.channels, session.target.peer_address, hello, session)

    def note_lost(self, target: membership.Instance) -> None:
        """Suspect a dispatcher whose session broke and choose again."""
        self.view.suspect(target.id)
        self.follow_view()

    def handle_pong(
        self, session: DispatcherSession, round_trip_seconds: float, first: bool
    ) -> None:
        """Use a pong of a dispatcher: hop time, and where slots are wanted."""
        primary, standby = self.primary, self.standby
        if session is primary:
            self.source.record_one_way_delay(round_trip_seconds / 2)
        if session is self.choose_session():
            self.source.record_waiting_tickets(session.waiting)
        if first:
            self.source.changed.set()
        if primary is not None and standby is not None and wants_standby(primary, standby):
            if primary.offered_until > time.monotonic() and primary.link is not None:
                # The dispatcher returns what it drops, and those slots are issued again.
                primary.link.retract()
            self.source.changed.set()

    @property
    def primary(self) -> DispatcherSession | None:
        """The session with the first candidate."""
        return self.sessions.get(self.ranked[0]) if self.ranked else None

    @property
    def standby(self) -> DispatcherSession | None:
        """The session with the second candidate."""
        return self.sessions.get(self.ranked[1]) if len(self.ranked) > 1 else None

    def choose_session(self) -> DispatcherSession | None:
        """Return the session to which slots are offered now."""
        primary, standby = self.primary, self.standby
        if primary is not None and primary.usable:
            if standby is not None and wants_standby(primary, standby):
                return standby
            return primary
        return standby if standby is not None and standby.usable else None

    async def offer_continuously(self) -> None:
        """Offer new slots and report ends whenever the source changed."""
        while True:
            await self.source.changed.wait()
            self.source.changed.clear()
            self.retract_if_needed()
            self.offer()
            self.report_soon()

    def retract_if_needed(self) -> None:
        """Withdraw all slots once after the source began to be retracted."""
        retracted = self.source.is_retracted()
        if retracted and not self.retracted:
            for session in self.sessions.values():
                if session.link is not None:
                    session.link.retract()
        self.retracted = retracted

    def offer(self) -> None:
        """Issue slots and send them to the dispatcher that has work for them."""
        session = self.choose_session()
        if session is None or session.link is None or self.retracted:
            return
        offered = self.source.issue_slots()
        if offered.slot_ids:
            session.link.offer(offered.slot_ids, offered.deadline)
            session.offered_until = offered.deadline
            session.offered = True
            self.note_expiry(offered.deadline)

    def note_expiry(self, deadline: float) -> None:
        """Look for slots to issue again soon after the deadline."""
        if self.expiries and deadline - self.expiries[-1] < EXPIRY_SPACING_SECONDS:
            return
        self.expiries.append(deadline)
        if self.expiry_timer is None:
            self.arm_expiry_timer()

    def arm_expiry_timer(self) -> None:
        """Wake the offers when the earliest noted deadline has certainly passed."""
        now = time.monotonic()
        while self.expiries and self.expiries[0] + EXPIRY_SPACING_SECONDS <= now:
            self.expiries.popleft()
            self.source.changed.set()
        self.expiry_timer = None
        if self.expiries:
            delay = self.expiries[0] + EXPIRY_SPACING_SECONDS - now
            loop = asyncio.get_running_loop()
            self.expiry_timer = loop.call_later(delay, self.arm_expiry_timer)

    def report_soon(self) -> None:
        """Report now, or as soon as the spacing between two reports allows."""
        delay = self.reported_at + REPORT_SPACING_SECONDS - time.monotonic()
        if delay <= 0.0:
            self.send_reports()
        elif self.report_timer is None:
            loop = asyncio.get_running_loop()
            self.report_timer = loop.call_later(delay, self.send_reports)

    def send_reports(self) -> None:
        """Send to each session what it has not been told."""
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
        self.reported_at = time.monotonic()
        report = self.source.report()
        receiver = self.choose_session()
        for session in self.sessions.values():
            session.note_finished(report.finished)
            if session is receiver or session.is_report_due(self.reported_at):
                session.send_report(report, self.reported_at)

    async def report_periodically(self) -> None:
        """Report the progress of running work."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            if time.monotonic() - self.reported_at >= REPORT_SECONDS / 2:
                self.send_reports()

    def store_snapshot(self, sender: DispatcherSession, message: masticward_pb2.Snapshot) -> None:
        """Keep the newest snapshot and pass it to the dispatcher in this agent's own process.

        The standby is an agent too, so it knows the primary's snapshots before it takes over.
        """
        received = sender.received
        if not received.apply(message):
            return
        if self.snapshot is not None and received.included_total < self.snapshot.included_total:
            return
        self.snapshot = received
        for session in self.sessions.values():
            own = session.target.id == self.instance.id
            if own and session is not sender and session.link is not None:
                usable = not message.base_sequence or session.passed == (
                    received,
                    message.base_sequence,
                )
                session.link.pass_snapshot(
                    message if usable else received.write(self.instance.service)
                )
                session.passed = (received, message.sequence)

    def write_snapshot(self) -> masticward_pb2.Snapshot | None:
        """Return the stored snapshot in full, None if there is none."""
        return None if self.snapshot is None else self.snapshot.write(self.instance.service)


def wants_standby(primary: DispatcherSession, standby: DispatcherSession) -> bool:
    """Tell whether only the standby has waiting tickets."""
    return standby.usable and standby.waiting > 0 and primary.waiting == 0


def changed_values(values: dict[str, float], sent: dict[str, float]) -> dict[str, float]:
    """Return the entries that differ from those sent before."""
    return {key: value for key, value in values.items() if sent.get(key) != value}
