"""The instances that a process knows of, from the instance list and from exchanges with them."""

import collections.abc

import msgspec

from masticward.models import membership

# An instance that answers exchanges is kept so long without being listed, because the list lags.
UNLISTED_SECONDS = 10.0
# How long an unlisted instance that no longer answers is remembered.
FORGET_SECONDS = 60.0


class Member:
    """One instance with what the list and the exchanges say about it. Times are monotonic."""

    __slots__ = (
        "announced_leaving",
        "contact_at",
        "counted",
        "incarnation",
        "instance",
        "listed",
        "suspected_at",
        "unlisted_since",
    )

    def __init__(self, instance: membership.Instance) -> None:
        self.instance = instance
        self.listed = False
        self.unlisted_since: float | None = None
        self.contact_at: float | None = None
        # Whether the instance was a member when the view was last brought up to date.
        self.counted = False
        self.incarnation = 0
        self.announced_leaving = False
        self.suspected_at: float | None = None

    def is_present(self, now: float) -> bool:
        """Tell whether the instance counts as a member at the time ``now``."""
        if self.listed:
            return True
        if self.contact_at is None or now >= self.contact_at + UNLISTED_SECONDS:
            return False
        return self.unlisted_since is None or now < self.unlisted_since + UNLISTED_SECONDS

    def is_leaving(self) -> bool:
        """Tell whether the instance is listed or has announced itself as leaving."""
        return self.instance.leaving or self.announced_leaving

    def described(self) -> membership.Instance:
        """Return the instance with its announcement applied."""
        if self.announced_leaving and not self.instance.leaving:
            return msgspec.structs.replace(self.instance, leaving=True)
        return self.instance


class MembershipView:
    """Combines list and exchanges. A list that is down changes nothing: the last one is kept.

    The own instance is always a member. ``revision`` grows with every change; the passing of time
    takes effect with ``expire``, which ``apply_list`` includes.
    """

    __slots__ = ("known", "own_id", "revision")

    def __init__(self, own: membership.Instance) -> None:
        self.own_id = own.id
        self.revision = 0
        self.known: dict[str, Member] = {own.id: Member(own)}
        self.known[own.id].listed = True

    def apply_list(
        self, instances: collections.abc.Iterable[membership.Instance], now: float
    ) -> None:
        """Take over a list that was read at the time ``now``."""
        listed = {instance.id: instance for instance in instances}
        for instance in listed.values():
            self.note_listed(instance)
        for instance_id, member in self.known.items():
            if instance_id not in listed and instance_id != self.own_id:
                self.note_absent(member, now)
        self.expire(now)

    def note_listed(self, instance: membership.Instance) -> None:
        """Record that the list holds the instance."""
        member = self.known.get(instance.id)
        if member is None:
            member = self.known[instance.id] = Member(instance)
        elif instance.id == self.own_id:
            # The process knows its own addresses better than the list.
            instance = msgspec.structs.replace(member.instance, leaving=instance.leaving)
        if member.listed and (member.instance is instance or member.instance == instance):
            return
        member.instance = instance
        member.listed = True
        member.unlisted_since = None
        self.revision += 1

    def note_absent(self, member: Member, now: float) -> None:
        """Record that a list did not hold a known instance."""
        if member.unlisted_since is None:
            member.listed = False
            member.unlisted_since = now
            self.revision += 1

    def expire(self, now: float) -> None:
        """Let the passing of time take effect: unlisted instances cease to be members."""
        for instance_id, member in list(self.known.items()):
            present = member.is_present(now)
            if member.counted != present:
                member.counted = present
                self.revision += 1
            last_seen = member.contact_at or member.unlisted_since
            if not present and last_seen is not None and now >= last_seen + FORGET_SECONDS:
                del self.known[instance_id]
                self.revision += 1

    def note_contact(
        self, instance: membership.Instance, incarnation: int, sent_at: float, answered_at: float
    ) -> None:
        """Record an exchange sent at ``sent_at`` that the instance answered at ``answered_at``.

        Messages of an earlier incarnation are ignored. Suspicion ends only by an exchange that was
        sent after it arose.
        """
        member = self.note_announcement(instance, incarnation)
        if member is None:
            return
        if member.contact_at is None:
            self.revision += 1
        member.contact_at = max(member.contact_at or answered_at, answered_at)
        if member.suspected_at is not None and sent_at >= member.suspected_at:
            member.suspected_at = None
            self.revision += 1

    def note_announcement(self, instance: membership.Instance, incarnation: int) -> Member | None:
        """Record what an instance says about itself; None if the message is to be ignored."""
        if instance.id == self.own_id:
            return None
        staying = msgspec.structs.replace(instance, leaving=False)
        member = self.known.get(instance.id)
        if member is None:
            member = self.known[instance.id] = Member(staying)
        if incarnation < member.incarnation:
            return None
        if incarnation > member.incarnation:
            self.restart(member, staying, incarnation)
        if instance.leaving and not member.announced_leaving:
            member.announced_leaving = True
            self.revision += 1
        return member

    def restart(self, member: Member, instance: membership.Instance, incarnation: int) -> None:
        """Forget what an earlier incarnation of a member announced."""
        member.incarnation = incarnation
        member.announced_leaving = False
        if not member.listed:
            member.instance = instance
        self.revision += 1

    def announce_own_leaving(self) -> None:
        """Record that the own instance is leaving."""
        self.known[self.own_id].announced_leaving = True
        self.revision += 1

    def suspect(self, instance_id: str, now: float) -> bool:
        """Suspect an instance from the time ``now``; tells whether it was not suspected before."""
        member = self.known.get(instance_id)
        if member is None or instance_id == self.own_id:
            return False
        newly = member.suspected_at is None
        member.suspected_at = now
        if newly:
            self.revision += 1
        return newly

    def is_suspected(self, instance_id: str) -> bool:
        """Tell whether the instance is suspected."""
        member = self.known.get(instance_id)
        return member is not None and member.suspected_at is not None

    def suspected_ids(self) -> set[str]:
        """Return the ids of the suspected instances."""
        return {name for name, member in self.known.items() if member.suspected_at is not None}

    def leaving_ids(self) -> set[str]:
        """Return the ids of the instances that are leaving."""
        return {name for name, member in self.known.items() if member.is_leaving()}

    def is_leaving(self, instance_id: str) -> bool:
        """Tell whether the instance is listed or has announced itself as leaving."""
        member = self.known.get(instance_id)
        return member is not None and member.is_leaving()

    def members(self, now: float) -> list[membership.Instance]:
        """Return every member at the time ``now``, whether or not it responds, sorted by id."""
        present = [member.described() for member in self.known.values() if member.is_present(now)]
        return sorted(present, key=lambda instance: instance.id)
