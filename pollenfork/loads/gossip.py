"""Whom an instance tells of the store's news by itself, past the relays.

Rumour mongering with regular exchanges beside it (Demers et al., "Epidemic
algorithms for replicated database maintenance", 1987). A relay that dies, or is
cut off, is missed by its reporters after 1.2 s only; without a second way, news
of a leaving runner reached them 2.05 s and more after the first instance knew.
"""

from pollenfork.loads import members
from pollenfork.loads import messages

# Periods in which a newer version is told, and to how many instances in each:
# of its own data centre, and elsewhere. Who hears of it fetches the table and
# tells in turn, so of 40 instances one in 400 is left out at the first go
# (e^-6), and hears of it with the next exchange.
_ROUNDS = 3
_NEAR = 2
_FAR = 1
# One other instance is told this often, in seconds, in its own data centre and
# elsewhere by turns: some 0.3 KB/s with the answers.
_EXCHANGE_S = 0.3
# An answer is worth a datagram when its proof is this much younger, in seconds.
_YOUNGER_S = 0.2


class Gossip:
    """Decides whom to tell; sends nothing itself."""

    def __init__(self, me: messages.Member, roster: members.Roster) -> None:
        """Starts with nothing told.

        Args:
            me: This instance.
            roster: The members known.
        """
        self._me = me
        self._roster = roster
        self._told = (0, 0)
        self._rounds_left = 0
        self._exchange_at = 0.0
        self._near_next = True
        self._last: dict[bool, int] = {}

    def tick(
        self, proof: messages.StoreStatus | None, now: float
    ) -> list[tuple[str, messages.Gossip]]:
        """Returns what to send in this period, by host.

        Args:
            proof: What is known here of the store, if anything.
            now: Monotonic seconds.
        """
        if proof is None:
            return []
        message = messages.Gossip(self._me.data_centre, proof, now)
        return [(host, message) for host in self._choose(proof, now)]

    def answer(
        self,
        message: messages.Gossip,
        proof: messages.StoreStatus | None,
        now: float,
    ) -> messages.Gossip | None:
        """Returns what to answer, if that is worth a datagram."""
        if proof is None or message.echo:
            return None
        if not _is_better(proof, message.proof):
            return None
        return messages.Gossip(
            self._me.data_centre, proof, now, message.sent_at
        )

    def pick_fanout(self) -> list[str]:
        """Returns the hosts to tell of news in one period."""
        return self._pick(True, _NEAR) + self._pick(False, _FAR)

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""
        return self._pick(True, 1) + self._pick(False, 1)

    def _choose(self, proof: messages.StoreStatus, now: float) -> list[str]:
        versions = proof.configuration, proof.runners
        if versions != self._told:
            self._told = versions
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

        Each instance has an order of its own, so that what one leaves out
        another one tells.
        """
        ranks = sorted(
            (messages.hash_name(f"{self._me.host} {host}".encode()), host)
            for host in self._roster.list_hosts(near)
        )
        if not ranks:
            return []
        last = self._last.get(near, -1)
        first = next(
            (at for at, (rank, _) in enumerate(ranks) if rank > last), 0
        )
        picked = (ranks[first:] + ranks[:first])[:count]
        self._last[near] = picked[-1][0]
        return [host for _, host in picked]


def _is_better(
    mine: messages.StoreStatus, theirs: messages.StoreStatus
) -> bool:
    """Returns whether one proof would tell the other's holder anything."""
    return (
        mine.configuration > theirs.configuration
        or mine.runners > theirs.runners
        or mine.age_s + _YOUNGER_S < theirs.age_s
    )
