"""Who may relay loads in each data centre."""

from pollenfork.loads import messages

# A relay that says nothing for this long is passed over, in seconds: several
# times what it may take to speak even when nothing changes.
SILENT_S = 1.2
_PASSED_OVER_S = 4.0
# A member that nobody hears of is forgotten after this long, in seconds.
_FORGOTTEN_S = 15.0


class Roster:
    """Members by data centre, and which of them don't answer.

    Every instance sorts the same members the same way, so they agree on the
    relays without a vote; while they don't, loads are still counted once, for
    an instance reports to one relay at a time.
    """

    def __init__(self, me: messages.Member) -> None:
        self._me = me
        self._seen: dict[messages.Member, float] = {}
        # By host, as each datagram's sender is looked up.
        self._data_centres = {me.host: me.data_centre}
        self._passed_over: dict[str, float] = {}
        self._waiting_since: dict[str, float] = {}
        self._greeted: dict[str | None, str] = {}

    @property
    def size(self) -> int:
        """The number of members known, this one included."""
        return 1 + len(self._seen)

    def list_sightings(self, now: float) -> tuple[messages.Sighting, ...]:
        """Returns all members known, this one included."""
        seen = [
            messages.Sighting(member, round(now - at, 2))
            for member, at in self._seen.items()
        ]
        return (messages.Sighting(self._me, 0.0), *seen)

    def note(self, member: messages.Member, at: float) -> None:
        """Notes a sign of a member that it gave at `at`."""
        if member != self._me and at > self._seen.get(member, 0.0):
            self._seen[member] = at
            self._data_centres[member.host] = member.data_centre

    def note_answer(self, host: str) -> None:
        """Notes that a relay has spoken."""
        self._waiting_since.pop(host, None)
        self._passed_over.pop(host, None)

    def note_asked(self, host: str, now: float) -> None:
        """Notes that a relay should speak soon; passes over a silent one."""
        since = self._waiting_since.setdefault(host, now)
        if now - since > SILENT_S:
            self.mark_unresponsive(host, now)

    def mark_unresponsive(self, host: str, now: float) -> None:
        """Lets another member relay instead of one that doesn't answer."""
        self._passed_over[host] = now
        self._waiting_since.pop(host, None)

    def forgive(self, data_centre: str, since: float) -> None:
        """Passes over none any more of those seen there since a moment."""
        for member, seen_at in self._seen.items():
            if member.data_centre == data_centre and seen_at >= since:
                self._passed_over.pop(member.host, None)
                self._waiting_since.pop(member.host, None)

    def knows(self, host: str) -> bool:
        """Returns whether a host is that of a known member."""
        return host in self._data_centres

    def list_hosts(self, here: bool) -> list[str]:
        """Returns the hosts of members of this data centre, or of others."""
        home = self._me.data_centre
        return [
            member.host
            for member in self._seen
            if (member.data_centre == home) is here
        ]

    def list_hosts_in(self, data_centre: str) -> list[str]:
        """Returns the hosts of a data centre's members, this one included."""
        return [
            member.host
            for member in (self._me, *self._seen)
            if member.data_centre == data_centre
        ]

    def find_data_centre(self, host: str) -> str | None:
        """Returns where a host's member runs; None: it isn't known."""
        return self._data_centres.get(host)

    def choose_next(self, data_centre: str | None) -> list[str]:
        """Returns a known member to greet, another one each time; if any.

        Args:
            data_centre: Where it must run; None: anywhere.
        """
        hosts = sorted(
            member.host
            for member in self._seen
            if data_centre in (None, member.data_centre)
        )
        if not hosts:
            return []
        greeted = self._greeted.get(data_centre, "")
        later = [host for host in hosts if host > greeted]
        self._greeted[data_centre] = later[0] if later else hosts[0]
        return [self._greeted[data_centre]]

    def forget(self, now: float) -> None:
        """Forgets members that nobody has heard of for long."""
        for member, seen in list(self._seen.items()):
            if now - seen > _FORGOTTEN_S:
                del self._seen[member]
                self._data_centres.pop(member.host, None)

    def find_relay(self, data_centre: str, now: float) -> str | None:
        """Returns the host that relays for a data centre."""
        here = sorted(
            (member.host, member)
            for member in (self._me, *self._seen)
            if member.data_centre == data_centre
        )
        for host, member in here:
            if self._may_relay(member, now):
                return host
        return None

    def _may_relay(self, member: messages.Member, now: float) -> bool:
        """Returns whether a member may be asked to relay.

        One that was passed over must have given a sign since, to anyone, and
        gets its next chance after a while: the way to it may be cut.
        """
        passed_at = self._passed_over.get(member.host)
        if passed_at is None:
            return True
        seen_since = self._seen.get(member, passed_at) > passed_at
        return seen_since and now - passed_at > _PASSED_OVER_S

    def list_elsewhere(self) -> list[str]:
        """Returns the other data centres."""
        found = {member.data_centre for member in self._seen}
        return sorted(found - {self._me.data_centre})
