"""Decides which tree is in force and when to look for a newer one.

No I/O: methods take events and the time and return actions. A tree is replaced
only by one of a higher revision, from whichever source and however late.
"""

import enum
import random

import msgspec

from pollenfork import ids
from pollenfork.settings import state

POLL_S = 5.0
"""Mean time between two reads of the head row.

A write must be in force everywhere within 16 s. At least two reads fit in
that time, so one failed read is tolerated. 360 instances make 72 reads/s, of
the 2,000 that the table allows.
"""
POLL_JITTER = 0.2
FIRST_POLL_S = 1.0
"""Mean time between two reads while no tree is in force.

Also the first delay after a failed read. The delay doubles with each further
failure, up to `POLL_S`: a single failure is retried soon, and an outage causes
no more load than regular polling.
"""
READ_SPREAD_S = 2.0
"""Range of the random delay before a read caused by a peer's newer revision.

It spreads the reads of instances that learn of a revision together.
"""
DISCOVERY_S = 3.0
"""How long an instance without a tree collects peers' revisions first.

Applies if the table can't be read; then the newest peer's tree is fetched.
"""

FETCH_TIMEOUT_S = 5.0
"""How long to wait for a peer's copy before asking another peer."""

PEER_RETRY_DELAY_S = 5.0
"""Delay before asking a peer again after a failed or outdated copy."""

_MAX_DOUBLINGS = 3  # Eight times `FIRST_POLL_S` is past `POLL_S`.


class ReadTable(msgspec.Struct, frozen=True):
    """Read the head row and the subtrees that have changed."""


class FetchCopy(msgspec.Struct, frozen=True):
    """Fetch the whole tree from a peer."""

    peer: ids.InstanceId


class Source(enum.Enum):
    """Where a tree came from; a label of the adoption counter."""

    TABLE = "table"
    PEER = "peer"
    WRITE = "write"


class Publish(msgspec.Struct, frozen=True):
    """Notify the subscribers that this tree is in force."""

    in_force: state.InForce
    source: Source


Action = ReadTable | FetchCopy | Publish


class Core:
    """State machine that selects the tree in force at one instance."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.in_force: state.InForce | None = None
        self.in_force_since = now
        self.platform_answers = True
        self._rng = rng
        self._confirmed_at: float | None = None
        self._peers: dict[ids.InstanceId, ids.Revision] = {}
        self._retry_peers_at: dict[ids.InstanceId, float] = {}
        self._next_read = now
        self._failures = 0
        self._discovery_ends_at: float | None = None
        self._fetch_deadline = now

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 if there is none yet."""
        return self.in_force.revision if self.in_force else ids.Revision(0)

    def age_s(self, now: float) -> float | None:
        """Returns seconds since the tree was last confirmed to be the newest.

        None if no tree is in force. Adopting a peer's tree counts as a
        confirmation, since it is the newest tree available.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, now - self._confirmed_at)

    def tick(self, now: float) -> list[Action]:
        """Returns the actions that are due."""
        actions: list[Action] = []
        if not self.platform_answers and self._may_fetch(now):
            # Fetch before reading: the read may block until its timeout.
            actions += self._fetch_from_newest_peer(now)
        if now >= self._next_read:
            self._next_read = now + self._get_poll_delay_s()
            actions.append(ReadTable())
        return actions

    def record_peer_revision(
        self, peer: ids.InstanceId, revision: ids.Revision, now: float
    ) -> None:
        """Records the revision in force at a peer."""
        newest = max(self._peers.values(), default=ids.Revision(0))
        self._peers[peer] = revision
        # One random delay per revision. Drawing one for each peer that reports
        # it and using the minimum would make all instances read at once.
        if revision > max(newest, self.revision):
            soon = now + self._rng.uniform(0, READ_SPREAD_S)
            self._next_read = min(self._next_read, soon)

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Removes an unreachable peer."""
        self._peers.pop(peer, None)
        self._retry_peers_at.pop(peer, None)

    def handle_read(
        self, found: state.InForce | None, now: float
    ) -> list[Action]:
        """Handles a successful read of the table.

        Args:
            found: The tree read, or None if the table has no tree or an older
                one than is in force.
            now: When the read was sent.
        """
        self.platform_answers = True
        self._failures = 0
        self._discovery_ends_at = None
        actions: list[Action] = []
        if found is not None:
            actions += self._adopt(found, Source.TABLE, now)
            if self.in_force and found.revision == self.revision:
                self._confirm(now)
        if max(self._peers.values(), default=0) > self.revision:
            actions += self._fetch_from_newest_peer(now)
        return actions

    def handle_read_failure(self, now: float) -> None:
        """Handles a failed read of the table; `now` is when it was sent."""
        self.platform_answers = False
        delay_s = min(POLL_S, FIRST_POLL_S * 2**self._failures)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        self._next_read = min(self._next_read, now + self._add_jitter(delay_s))
        if self._discovery_ends_at is None:
            self._discovery_ends_at = now + DISCOVERY_S

    def handle_copy(
        self, peer: ids.InstanceId, found: state.InForce | None, now: float
    ) -> list[Action]:
        """Handles a peer's tree, or None if the fetch failed."""
        self._fetch_deadline = now
        known = self._peers.get(peer, ids.Revision(0))
        if found is None or found.revision < known:
            # Keep the peer for a later retry: membership reports each of its
            # revisions only once.
            self._retry_peers_at[peer] = now + PEER_RETRY_DELAY_S
        if found is None:
            return []
        return self._adopt(found, Source.PEER, now)

    def handle_write(self, written: state.InForce, now: float) -> list[Action]:
        """Handles the tree that a write through this instance produced."""
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

    def _may_fetch(self, now: float) -> bool:
        if self.in_force is not None:
            return True
        return (
            self._discovery_ends_at is not None
            and now >= self._discovery_ends_at
        )

    def _fetch_from_newest_peer(self, now: float) -> list[Action]:
        if now < self._fetch_deadline:
            return []
        ahead = [
            (revision, peer)
            for peer, revision in self._peers.items()
            if revision > self.revision
            and now >= self._retry_peers_at.get(peer, now)
        ]
        if not ahead:
            return []
        _, newest_peer = max(ahead)
        self._fetch_deadline = now + FETCH_TIMEOUT_S
        return [FetchCopy(newest_peer)]

    def _get_poll_delay_s(self) -> float:
        return self._add_jitter(POLL_S if self.in_force else FIRST_POLL_S)

    def _add_jitter(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
