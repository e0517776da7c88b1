"""The known instances, and which of them may relay in each data centre."""

from pollenfork.loads import messages

# A relay that sends nothing for this long counts as unresponsive, in seconds:
# several times the longest interval between its messages while nothing changes.
SILENT_S = 1.2
_RETRY_AFTER_S = 4.0
# A member that no instance hears from is removed after this long, in seconds.
_EXPIRY_S = 15.0


class Roster:
    """Members by data centre, and which of them don't respond.

    All instances sort the same members in the same way, so they agree on the
    relays without an election. While they disagree, loads are still counted
    once, as an instance reports to one relay at a time.

    Attributes:
        ever_elsewhere: The other data centres that ever had a member.
    """

    def __init__(self, me: messages.Member, capacity: int = 0) -> None:
        """Creates a roster that knows only its own instance.

        Args:
            me: The instance.
            capacity: How much it can send, in Mbit/s; 0: unknown.
        """
        self._me = me
        self._capacities = {me.host: capacity}
        self._prefers_capacity = False
        self._seen_at: dict[messages.Member, float] = {}
        # By host, to look up the sender of each datagram.
        self._data_centres = {me.host: me.data_centre}
        self._unresponsive_since: dict[str, float] = {}
        self._waiting_since: dict[str, float] = {}
        self._last_chosen: dict[str | None, str] = {}
        self.ever_elsewhere: set[str] = set()

    @property
    def size(self) -> int:
        """The number of members known, this one included."""
        return 1 + len(self._seen_at)

    def list_sightings(self, now: float) -> tuple[messages.Sighting, ...]:
        """Returns all members known, this one included."""
        others = [
            messages.Sighting(
                member,
                round(now - seen_at, 2),
                self._rank(member.host),
            )
            for member, seen_at in self._seen_at.items()
        ]
        own = messages.Sighting(self._me, 0.0, self.told_capacity)
        return (own, *others)

    def prefer_capacity(self, preferred: bool) -> None:
        """Sets whether the members that can send most relay first.

        A relay sends every other instance of its data centre the loads up to
        20 times a second. Small instances with links of 5 Mbit/s fell silent
        as relays of 28 others.
        """
        self._prefers_capacity = preferred

    @property
    def told_capacity(self) -> int:
        """What others are told of this instance's capacity; 0: nothing."""
        return self._rank(self._me.host)

    def record_capacity(self, host: str, capacity: int) -> None:
        """Notes how much another instance can send; 0: it didn't say."""
        if capacity > 0 and host != self._me.host:
            self._capacities[host] = capacity

    def record_sighting(self, member: messages.Member, seen_at: float) -> None:
        """Notes when a member was last heard from, by any instance."""
        if member != self._me and seen_at > self._seen_at.get(member, 0.0):
            self._seen_at[member] = seen_at
            self._data_centres[member.host] = member.data_centre
            if member.data_centre != self._me.data_centre:
                self.ever_elsewhere.add(member.data_centre)

    def record_answer(self, host: str) -> None:
        """Notes that a relay has sent a message."""
        self._waiting_since.pop(host, None)
        self._unresponsive_since.pop(host, None)

    def record_request(self, host: str, now: float) -> None:
        """Notes that a relay should send a message; gives up a silent one."""
        since = self._waiting_since.setdefault(host, now)
        if now - since > SILENT_S:
            self.mark_unresponsive(host, now)

    def mark_unresponsive(self, host: str, now: float) -> None:
        """Lets another member relay instead of one that doesn't respond."""
        self._unresponsive_since[host] = now
        self._waiting_since.pop(host, None)

    def reinstate(self, data_centre: str, since: float) -> None:
        """Lets a data centre's members relay again if seen since a moment."""
        for member, seen_at in self._seen_at.items():
            if member.data_centre == data_centre and seen_at >= since:
                self._unresponsive_since.pop(member.host, None)
                self._waiting_since.pop(member.host, None)

    def knows(self, host: str) -> bool:
        """Returns whether a host is that of a known member."""
        return host in self._data_centres

    def list_hosts(self, local: bool) -> list[str]:
        """Returns the other hosts of this data centre, or those elsewhere."""
        home = self._me.data_centre
        return [
            member.host
            for member in self._seen_at
            if (member.data_centre == home) is local
        ]

    def list_hosts_in(self, data_centre: str) -> list[str]:
        """Returns the hosts of a data centre's members, this one included."""
        return [
            member.host
            for member in (self._me, *self._seen_at)
            if member.data_centre == data_centre
        ]

    def list_by_data_centre(self) -> dict[str, list[str]]:
        """Returns the hosts of all members by data centre."""
        found: dict[str, list[str]] = {}
        for member in (self._me, *self._seen_at):
            found.setdefault(member.data_centre, []).append(member.host)
        return found

    def find_data_centre(self, host: str) -> str | None:
        """Returns a host's data centre; None: the host isn't known."""
        return self._data_centres.get(host)

    def choose_next(self, data_centre: str | None) -> list[str]:
        """Returns a known member to contact, if any, in a round robin.

        Args:
            data_centre: Where it must run; None: anywhere.
        """
        hosts = sorted(
            member.host
            for member in self._seen_at
            if data_centre in (None, member.data_centre)
        )
        if not hosts:
            return []
        last = self._last_chosen.get(data_centre, "")
        later = [host for host in hosts if host > last]
        self._last_chosen[data_centre] = later[0] if later else hosts[0]
        return [self._last_chosen[data_centre]]

    def expire(self, now: float) -> None:
        """Removes members that no instance has heard from for long."""
        for member, seen_at in list(self._seen_at.items()):
            if now - seen_at > _EXPIRY_S:
                del self._seen_at[member]
                self._data_centres.pop(member.host, None)
                self._capacities.pop(member.host, None)

    def find_relay(self, data_centre: str, now: float) -> str | None:
        """Returns the host that relays for a data centre."""
        candidates = sorted(
            (-self._rank(member.host), member.host, member)
            for member in (self._me, *self._seen_at)
            if member.data_centre == data_centre
        )
        for _, host, member in candidates:
            if self._may_relay(member, now):
                return host
        return None

    def _rank(self, host: str) -> int:
        """Returns a host's capacity if it counts, else the same for all."""
        return self._capacities.get(host, 0) if self._prefers_capacity else 0

    def _may_relay(self, member: messages.Member, now: float) -> bool:
        """Returns whether a member may be asked to relay.

        An unresponsive member must have been seen since, by any instance, and
        is retried only after a while: the link to it may be down.
        """
        unresponsive_since = self._unresponsive_since.get(member.host)
        if unresponsive_since is None:
            return True
        seen_since = (
            self._seen_at.get(member, unresponsive_since) > unresponsive_since
        )
        return seen_since and now - unresponsive_since > _RETRY_AFTER_S

    def list_elsewhere(self) -> list[str]:
        """Returns the other data centres."""
        found = {member.data_centre for member in self._seen_at}
        return sorted(found - {self._me.data_centre})
