"""Gossips the store's versions from instance to instance, beside the relays.

Rumour mongering combined with anti-entropy exchanges (Demers et al., "Epidemic
algorithms for replicated database maintenance", 1987). Reporters take 1.2 s to
notice that a relay has died or is cut off; with the relays as the only path,
news of a leaving runner arrived 2.05 s or more after the first instance had it.
"""

from pollenfork.loads import members
from pollenfork.loads import messages

# A new version is sent in this many ticks, in each of them to this many hosts
# of the own data centre and of the others. Receivers fetch the table and gossip
# in turn: of 40 instances one in 400 (e^-6) misses the first spread and learns
# the version from the next exchange.
_ROUNDS = 3
_NEAR_HOSTS = 2
_FAR_HOSTS = 1
# Interval of the exchanges with one other instance, in seconds, alternately in
# the own data centre and elsewhere: some 0.3 KB/s including the answers.
_EXCHANGE_S = 0.3
# An answer without newer versions is sent only if its status is this much more
# recent, in seconds.
_MORE_RECENT_S = 0.2


class Gossip:
    """Chooses the hosts to gossip with; performs no I/O."""

    def __init__(self, me: messages.Member, roster: members.Roster) -> None:
        """Starts with no version sent.

        Args:
            me: This instance.
            roster: The known members.
        """
        self._me = me
        self._roster = roster
        self._sent_versions = (0, 0)
        self._rounds_left = 0
        self._exchange_at = 0.0
        self._near_next = True
        self._last_ranks: dict[bool, int] = {}

    def tick(
        self, status: messages.StoreStatus | None, now: float
    ) -> list[tuple[str, messages.Gossip]]:
        """Returns the messages of this tick, with their hosts.

        Args:
            status: What this instance knows of the store, if anything.
            now: Monotonic seconds.
        """
        if status is None:
            return []
        message = messages.Gossip(self._me.data_centre, status, now)
        return [(host, message) for host in self._choose(status, now)]

    def answer(
        self,
        message: messages.Gossip,
        status: messages.StoreStatus | None,
        now: float,
    ) -> messages.Gossip | None:
        """Returns the answer to a message; None: it isn't worth a datagram."""
        if status is None or message.echo:
            return None
        if not _is_newer(status, message.status):
            return None
        return messages.Gossip(
            self._me.data_centre, status, now, message.sent_at
        )

    def pick_fanout(self) -> list[str]:
        """Returns the hosts to send an update to in one tick."""
        return self._pick(True, _NEAR_HOSTS) + self._pick(False, _FAR_HOSTS)

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one of another."""
        return self._pick(True, 1) + self._pick(False, 1)

    def _choose(self, status: messages.StoreStatus, now: float) -> list[str]:
        if status.versions != self._sent_versions:
            self._sent_versions = status.versions
            self._rounds_left = _ROUNDS
        if self._rounds_left:
            self._rounds_left -= 1
            return self.pick_fanout()
        if now < self._exchange_at:
            return []
        self._exchange_at = now + _EXCHANGE_S
        self._near_next = not self._near_next
        return self._pick(self._near_next, 1) or self._pick(
            not self._near_next, 1
        )

    def _pick(self, near: bool, count: int) -> list[str]:
        """Returns the next hosts of this data centre, or of the others.

        Every instance goes through the hosts in an order of its own, so that
        hosts left out by one are picked by another.
        """
        ranked = sorted(
            (messages.hash_name(f"{self._me.host} {host}".encode()), host)
            for host in self._roster.list_hosts(near)
        )
        if not ranked:
            return []
        last = self._last_ranks.get(near, -1)
        first = next(
            (index for index, (rank, _) in enumerate(ranked) if rank > last), 0
        )
        picked = (ranked[first:] + ranked[:first])[:count]
        self._last_ranks[near] = picked[-1][0]
        return [host for _, host in picked]


def _is_newer(mine: messages.StoreStatus, theirs: messages.StoreStatus) -> bool:
    """Returns whether a status has anything that the other one lacks."""
    return (
        mine.in_force > theirs.in_force
        or mine.configuration_version > theirs.configuration_version
        or mine.runners_version > theirs.runners_version
        or mine.age_s + _MORE_RECENT_S < theirs.age_s
    )
