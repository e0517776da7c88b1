"""Whom an instance greets: before it knows anyone, and after a cut."""

from collections.abc import Collection

from pollenfork.loads import members

_HELLO_S = 0.5


class Discovery:
    """Finds others anew where nobody has been heard lately.

    After a cut both sides have passed over all relays of the other, and
    neither would speak first: without this, two data centres that had been
    apart for 4 s heard nothing of each other 30 s later.
    """

    def __init__(
        self,
        roster: members.Roster,
        data_centre: str,
        silent_s: float,
    ) -> None:
        """Starts with nobody known.

        Args:
            roster: The members known.
            data_centre: Where this instance runs.
            silent_s: Seconds after which one that isn't heard is missed.
        """
        self._roster = roster
        self._data_centre = data_centre
        self._silent_s = silent_s
        self._seeds: frozenset[str] = frozenset()
        self._due_at = 0.0
        self._heard_at = 0.0

    def set_seeds(self, hosts: Collection[str]) -> None:
        """Sets the hosts to greet while no other is known."""
        self._seeds = frozenset(hosts)

    def choose(
        self, relays: bool, heard: Collection[str], now: float
    ) -> list[str]:
        """Returns the hosts to greet now.

        Args:
            relays: Whether this instance relays for its data centre.
            heard: The hosts of relays that it hears.
            now: Monotonic seconds.
        """
        self._due_at = now + _HELLO_S
        return sorted(self._list_missed(relays, heard, now))

    def is_due(self, now: float) -> bool:
        """Returns whether to look again for whom to greet."""
        return now >= self._due_at

    def note_heard(self, host: str, heard: Collection[str], now: float) -> None:
        """Takes a sign of a host: a way that was cut may work again.

        Args:
            host: Who spoke, of itself or in answer.
            heard: The hosts of relays that are heard.
            now: Monotonic seconds.
        """
        alone = self._is_alone(now)
        self._heard_at = now
        data_centre = self._roster.find_data_centre(host)
        if data_centre is None:
            return
        if alone or self._misses(data_centre, heard):
            self._roster.forgive(data_centre, now - self._silent_s)

    def _list_missed(
        self, relays: bool, heard: Collection[str], now: float
    ) -> set[str]:
        if self._is_alone(now):
            return {*self._seeds, *self._roster.choose_next(None)}
        if not relays:
            return set()
        missed = {host for host in self._seeds if not self._roster.knows(host)}
        for data_centre in self._roster.list_elsewhere():
            if self._misses(data_centre, heard):
                missed.update(self._roster.choose_next(data_centre))
        return missed

    def _is_alone(self, now: float) -> bool:
        """Returns whether nobody is known, or none has been heard lately."""
        return self._roster.size == 1 or now - self._heard_at > self._silent_s

    def _misses(self, data_centre: str, heard: Collection[str]) -> bool:
        """Returns whether no relay of another data centre is heard."""
        if data_centre == self._data_centre:
            return False
        return data_centre not in map(self._roster.find_data_centre, heard)
