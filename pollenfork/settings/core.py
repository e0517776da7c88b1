"""Decides which tree is in force and when to look for a newer one.

No I/O: events and the time come in, actions go out. A tree is replaced only
by one of a higher revision, whatever brings it and however late.
"""

import enum
import random

import msgspec

from pollenfork import ids
from pollenfork.settings import state

POLL_S = 5.0
"""Mean time between two reads of the head row.

Two reads fit the 16 s within which a write must be in force, so one lost
read costs no miss; 360 instances make 72 reads/s of the table's 2,000.
"""
POLL_JITTER = 0.2
FIRST_POLL_S = 1.0
"""Mean time between two reads while no tree is in force.

A failed read is repeated after as long, then twice as long each time, up to
`POLL_S`: one that was lost costs little, an outage costs the table no more
than polling.
"""
READ_SPREAD_S = 2.0
"""Instances that hear of a newer revision at once spread their reads so."""
DISCOVERY_S = 3.0
"""How long a restarted instance without the platform hears peers first."""

FETCH_TIMEOUT_S = 5.0
"""How long a peer's copy is waited for before another peer is asked."""


PEER_RETRY_DELAY_S = 5.0
"""How long a peer whose copy couldn't be had is left alone."""

_MOST_DOUBLINGS = 3  # Eight times `FIRST_POLL_S` is past `POLL_S`.


class ReadTable(msgspec.Struct, frozen=True):
    """Read the head row, and the subtrees that it shows to be newer."""


class FetchCopy(msgspec.Struct, frozen=True):
    """Fetch the whole tree from a peer."""

    peer: ids.InstanceId


class Source(enum.Enum):
    """Where a tree was found; each has its counter."""

    TABLE = "table"
    PEER = "peer"
    WRITE = "write"


class Publish(msgspec.Struct, frozen=True):
    """Tell the other slices that this tree is in force."""

    in_force: state.InForce
    source: Source


Action = ReadTable | FetchCopy | Publish


class Core:
    """The tree in force at one instance."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.in_force: state.InForce | None = None
        self.in_force_since = now
        self.platform_answers = True
        self._rng = rng
        self._confirmed_at: float | None = None
        self._peers: dict[ids.InstanceId, ids.Revision] = {}
        self._resting: dict[ids.InstanceId, float] = {}
        self._next_read = now
        self._failures = 0
        self._gather_until: float | None = None
        self._fetch_until = now

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 before there is one."""
        return self.in_force.revision if self.in_force else ids.Revision(0)

    def age_s(self, now: float) -> float | None:
        """Returns seconds since the tree was last known to be the newest.

        None while no tree is in force. After a tree came from a peer it
        counts from then, as the peer's is the newest that could be had.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, now - self._confirmed_at)

    def tick(self, now: float) -> list[Action]:
        """Returns what is due now."""
        actions: list[Action] = []
        if not self.platform_answers and self._has_gathered(now):
            # Before the read, which may wait for its whole time limit.
            actions += self._fetch_from_best(now)
        if now >= self._next_read:
            self._next_read = now + self._draw_poll_s()
            actions.append(ReadTable())
        return actions

    def record_peer_revision(
        self, peer: ids.InstanceId, revision: ids.Revision, now: float
    ) -> None:
        """Notes the revision in force at a peer."""
        newest = max(self._peers.values(), default=ids.Revision(0))
        self._peers[peer] = revision
        # Drawn once for each revision: the least of many draws, one for each
        # peer that tells of it, would bring all instances' reads together.
        if revision > max(newest, self.revision):
            soon = now + self._rng.uniform(0, READ_SPREAD_S)
            self._next_read = min(self._next_read, soon)

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Drops a peer that can't be reached."""
        self._peers.pop(peer, None)
        self._resting.pop(peer, None)

    def handle_read(
        self, found: state.InForce | None, now: float
    ) -> list[Action]:
        """Takes the answer of a read of the table.

        Args:
            found: The tree found, or None where the table holds none or an
                older one than is in force.
            now: When the read was sent.
        """
        self.platform_answers = True
        self._failures = 0
        self._gather_until = None
        actions: list[Action] = []
        if found is not None:
            actions += self._adopt(found, Source.TABLE, now)
            if self.in_force and found.revision == self.revision:
                self._confirm(now)
        if max(self._peers.values(), default=0) > self.revision:
            actions += self._fetch_from_best(now)
        return actions

    def handle_read_failure(self, now: float) -> None:
        """Takes a read of the table that failed; `now` is when it was sent."""
        self.platform_answers = False
        delay_s = min(POLL_S, FIRST_POLL_S * 2**self._failures)
        self._failures = min(self._failures + 1, _MOST_DOUBLINGS)
        self._next_read = min(self._next_read, now + self._spread(delay_s))
        if self._gather_until is None:
            self._gather_until = now + DISCOVERY_S

    def handle_copy(
        self, peer: ids.InstanceId, found: state.InForce | None, now: float
    ) -> list[Action]:
        """Takes a peer's tree, or None where it couldn't be had."""
        self._fetch_until = now
        known = self._peers.get(peer, ids.Revision(0))
        if found is None or found.revision < known:
            # Membership tells a revision once, so the peer is kept in mind.
            self._resting[peer] = now + PEER_RETRY_DELAY_S
        if found is None:
            return []
        return self._adopt(found, Source.PEER, now)

    def handle_write(self, written: state.InForce, now: float) -> list[Action]:
        """Takes the tree that a write through this instance has made."""
        actions = self._adopt(written, Source.WRITE, now)
        if written.revision == self.revision:
            self._confirm(now)
        return actions

    def _adopt(
        self, found: state.InForce, source: Source, now: float
    ) -> list[Action]:
        if found.revision <= self.revision:
            return []
        self.in_force = found
        self.in_force_since = now
        self._confirm(now)
        return [Publish(found, source)]

    def _confirm(self, at: float) -> None:
        earlier = self._confirmed_at
        self._confirmed_at = at if earlier is None else max(earlier, at)

    def _has_gathered(self, now: float) -> bool:
        if self.in_force is not None:
            return True
        return self._gather_until is not None and now >= self._gather_until

    def _fetch_from_best(self, now: float) -> list[Action]:
        if now < self._fetch_until:
            return []
        ahead = [
            (revision, peer)
            for peer, revision in self._peers.items()
            if revision > self.revision and now >= self._resting.get(peer, now)
        ]
        if not ahead:
            return []
        _, best = max(ahead)
        self._fetch_until = now + FETCH_TIMEOUT_S
        return [FetchCopy(best)]

    def _draw_poll_s(self) -> float:
        return self._spread(POLL_S if self.in_force else FIRST_POLL_S)

    def _spread(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
