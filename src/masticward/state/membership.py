"""Fleet membership, merged from the instance list and from exchanges with peers."""

import collections.abc

import msgspec

from masticward.models import membership

# The instance list lags, so an unlisted instance that answered an exchange within this time stays a
# member, for at most this long after it was first missing from the list.
UNLISTED_GRACE_SECONDS = 10.0
# How long the record of an instance is kept that is neither listed nor answers exchanges.
RECORD_RETENTION_SECONDS = 60.0


class InstanceRecord:
    """One instance and its state in the instance list and in exchanges. Times are monotonic."""

    __slots__ = (
        "announced_leaving",
        "incarnation",
        "instance",
        "last_contact_at",
        "listed",
        "suspected_at",
        "unlisted_since",
        "was_present",
    )

    def __init__(self, instance: membership.Instance) -> None:
        self.instance = instance
        self.listed = False
        self.unlisted_since: float | None = None
        self.last_contact_at: float | None = None
        # Result of ``is_present`` at the last call of ``MembershipView.expire``.
        self.was_present = False
        self.incarnation = 0
        self.announced_leaving = False
        self.suspected_at: float | None = None

    def is_present(self, now: float) -> bool:
        """Return whether the instance is a member at the time ``now``."""
        if self.listed:
            return True
        if self.last_contact_at is None or now >= self.last_contact_at + UNLISTED_GRACE_SECONDS:
            return False
        return self.unlisted_since is None or now < self.unlisted_since + UNLISTED_GRACE_SECONDS

    def is_leaving(self) -> bool:
        """Return whether the instance is listed as leaving or has announced that it is."""
        return self.instance.leaving or self.announced_leaving

    def with_announcement(self) -> membership.Instance:
        """Return the instance, marked as leaving if it has announced so."""
        if self.announced_leaving and not self.instance.leaving:
            return msgspec.structs.replace(self.instance, leaving=True)
        return self.instance


class MembershipView:
    """The members of the fleet as one process sees them.

    While the instance list is unavailable, the last one stays in force. The process's own instance
    is always a member. ``revision`` grows with every change. Time-outs are applied by ``expire``,
    which ``apply_list`` calls.
    """

    __slots__ = ("own_id", "records", "revision")

    def __init__(self, own: membership.Instance) -> None:
        self.own_id = own.id
        self.revision = 0
        self.records: dict[str, InstanceRecord] = {own.id: InstanceRecord(own)}
        self.records[own.id].listed = True

    def apply_list(
        self, instances: collections.abc.Iterable[membership.Instance], now: float
    ) -> None:
        """Apply an instance list that was read at the time ``now``."""
        listed = {instance.id: instance for instance in instances}
        for instance in listed.values():
            self.record_listed(instance)
        for instance_id, record in self.records.items():
            if instance_id not in listed and instance_id != self.own_id:
                self.record_unlisted(record, now)
        self.expire(now)

    def record_listed(self, instance: membership.Instance) -> None:
        """Record that the instance is in the instance list."""
        record = self.records.get(instance.id)
        if record is None:
            record = self.records[instance.id] = InstanceRecord(instance)
        elif instance.id == self.own_id:
            # The list may be outdated: keep the addresses that this process listens on.
            instance = msgspec.structs.replace(record.instance, leaving=instance.leaving)
        if record.listed and (record.instance is instance or record.instance == instance):
            return
        record.instance = instance
        record.listed = True
        record.unlisted_since = None
        self.revision += 1

    def record_unlisted(self, record: InstanceRecord, now: float) -> None:
        """Record that an instance is missing from the instance list."""
        if record.unlisted_since is None:
            record.listed = False
            record.unlisted_since = now
            self.revision += 1

    def expire(self, now: float) -> None:
        """Apply time-outs: end the membership of unlisted instances and delete old records."""
        for instance_id, record in list(self.records.items()):
            present = record.is_present(now)
            if record.was_present != present:
                record.was_present = present
                self.revision += 1
            last_active_at = record.last_contact_at or record.unlisted_since
            if (
                not present
                and last_active_at is not None
                and now >= last_active_at + RECORD_RETENTION_SECONDS
            ):
                del self.records[instance_id]
                self.revision += 1

    def record_exchange(
        self, instance: membership.Instance, incarnation: int, sent_at: float, answered_at: float
    ) -> None:
        """Record an exchange sent at ``sent_at`` that the instance answered at ``answered_at``.

        Messages of an earlier incarnation are ignored. Only an exchange sent after an instance
        was last suspected clears the suspicion.
        """
        record = self.record_announcement(instance, incarnation)
        if record is None:
            return
        if record.last_contact_at is None:
            self.revision += 1
        record.last_contact_at = max(record.last_contact_at or answered_at, answered_at)
        if record.suspected_at is not None and sent_at >= record.suspected_at:
            record.suspected_at = None
            self.revision += 1

    def record_announcement(
        self, instance: membership.Instance, incarnation: int
    ) -> InstanceRecord | None:
        """Record the state that an instance announces. Returns None if the message is ignored."""
        if instance.id == self.own_id:
            return None
        staying = msgspec.structs.replace(instance, leaving=False)
        record = self.records.get(instance.id)
        if record is None:
            record = self.records[instance.id] = InstanceRecord(staying)
        if incarnation < record.incarnation:
            return None
        if incarnation > record.incarnation:
            self.reset_incarnation(record, staying, incarnation)
        if instance.leaving and not record.announced_leaving:
            record.announced_leaving = True
            self.revision += 1
        return record

    def reset_incarnation(
        self, record: InstanceRecord, instance: membership.Instance, incarnation: int
    ) -> None:
        """Discard the announcements of the earlier incarnation of an instance."""
        record.incarnation = incarnation
        record.announced_leaving = False
        if not record.listed:
            record.instance = instance
        self.revision += 1

    def mark_own_leaving(self) -> None:
        """Record that the process's own instance is leaving."""
        self.records[self.own_id].announced_leaving = True
        self.revision += 1

    def suspect(self, instance_id: str, now: float) -> bool:
        """Suspect an instance as of the time ``now``. Returns whether the suspicion is new."""
        record = self.records.get(instance_id)
        if record is None or instance_id == self.own_id:
            return False
        newly_suspected = record.suspected_at is None
        record.suspected_at = now
        if newly_suspected:
            self.revision += 1
        return newly_suspected

    def is_suspected(self, instance_id: str) -> bool:
        """Return whether the instance is suspected."""
        record = self.records.get(instance_id)
        return record is not None and record.suspected_at is not None

    def suspected_ids(self) -> set[str]:
        """Return the ids of the suspected instances."""
        return {
            instance_id
            for instance_id, record in self.records.items()
            if record.suspected_at is not None
        }

    def leaving_ids(self) -> set[str]:
        """Return the ids of the instances that are leaving."""
        return {instance_id for instance_id, record in self.records.items() if record.is_leaving()}

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is listed as leaving or has announced that it is."""
        record = self.records.get(instance_id)
        return record is not None and record.is_leaving()

    def members(self, now: float) -> list[membership.Instance]:
        """Return every member at the time ``now``, whether or not it responds, sorted by id."""
        present = [
            record.with_announcement() for record in self.records.values() if record.is_present(now)
        ]
        return sorted(present, key=lambda instance: instance.id)
