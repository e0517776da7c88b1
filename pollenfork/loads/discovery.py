"""Finds other instances, at start and after a network partition."""

from collections.abc import Collection

from pollenfork.loads import members

_HELLO_INTERVAL_S = 0.5


class Discovery:
    """Chooses hosts to send a hello to while nobody has been heard from.

    After a partition both sides regard all relays of the other as
    unresponsive and would wait for each other: without hellos, two data
    centres that were partitioned for 4 s had not reconnected 30 s later.
    """

    def __init__(
        self,
        roster: members.Roster,
        data_centre: str,
        silent_s: float,
    ) -> None:
        """Starts with no instance known.

        Args:
            roster: The known members.
            data_centre: Where this instance runs.
            silent_s: Seconds without a message after which a host counts as
                lost.
        """
        self._roster = roster
        self._data_centre = data_centre
        self._silent_s = silent_s
        self._seeds: frozenset[str] = frozenset()
        self._due_at = 0.0
        self._received_at = 0.0

    def set_seeds(self, hosts: Collection[str]) -> None:
        """Sets the hosts to contact while no other is known."""
        self._seeds = frozenset(hosts)

    @property
    def lacks_members(self) -> bool:
        """Whether there are seeds to contact, but no instance is known."""
        return self._roster.size == 1 and bool(self._seeds)

    def choose(
        self, is_relay: bool, active_relays: Collection[str], now: float
    ) -> list[str]:
        """Returns the hosts to send a hello to now.

        Args:
            is_relay: Whether this instance relays for its data centre.
            active_relays: The hosts of relays that send to this instance.
            now: Monotonic seconds.
        """
        self._due_at = now + _HELLO_INTERVAL_S
        return sorted(self._list_lost(is_relay, active_relays, now))

    def hasten(self) -> None:
        """Makes it time to choose hosts again."""
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether it is time to choose hosts again."""
        return now >= self._due_at

    def record_contact(
        self, host: str, active_relays: Collection[str], now: float
    ) -> None:
        """Notes a message of a host: a broken connection may work again.

        Args:
            host: The sender.
            active_relays: The hosts of relays that send to this instance.
            now: Monotonic seconds.
        """
        was_isolated = self._is_isolated(now)
        self._received_at = now
        data_centre = self._roster.find_data_centre(host)
        if data_centre is None:
            return
        if was_isolated or self._lacks_relay(data_centre, active_relays):
            self._roster.reinstate(data_centre, now - self._silent_s)

    def _list_lost(
        self, is_relay: bool, active_relays: Collection[str], now: float
    ) -> set[str]:
        if self._is_isolated(now):
            return {*self._seeds, *self._roster.choose_next(None)}
        if not is_relay:
            return set()
        lost = {host for host in self._seeds if not self._roster.knows(host)}
        for data_centre in self._roster.list_elsewhere():
            if self._lacks_relay(data_centre, active_relays):
                lost.update(self._roster.choose_next(data_centre))
        return lost

    def _is_isolated(self, now: float) -> bool:
        """Returns whether nobody is known, or nobody was heard from lately."""
        return (
            self._roster.size == 1 or now - self._received_at > self._silent_s
        )

    def _lacks_relay(
        self, data_centre: str, active_relays: Collection[str]
    ) -> bool:
        """Returns whether no relay of another data centre sends anything."""
        if data_centre == self._data_centre:
            return False
        return data_centre not in map(
            self._roster.find_data_centre, active_relays
        )
