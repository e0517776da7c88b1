"""The latest pressure reports of peers."""

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages

_TIMEOUT_S = 3.0
_HOLD_S = 10.0


class Peer(msgspec.Struct):
    """A peer's latest pressure report.

    Attributes:
        lost_at: When the peer was lost or timed out. Its queue no longer counts
            then, but its slots stay reserved for a while.
    """

    pressure: messages.Pressure
    heard_at: float
    lost_at: float | None = None


class Peers:
    """The peers that share endpoints with this instance."""

    def __init__(self) -> None:
        self._peers: dict[ids.InstanceId, Peer] = {}

    def find(self, instance: ids.InstanceId) -> Peer | None:
        """Returns a peer; None if it is unknown."""
        return self._peers.get(instance)

    def record(self, pressure: messages.Pressure, now: float) -> Peer:
        """Replaces a peer's pressure with a newer one."""
        peer = self._peers[pressure.instance] = Peer(pressure, now)
        return peer

    def record_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Marks a peer as lost."""
        peer = self._peers.get(instance)
        if peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def expire(self, now: float) -> bool:
        """Marks silent peers as lost, drops old ones; whether any changed."""
        changed = False
        for name, peer in list(self._peers.items()):
            if peer.lost_at is None and now - peer.heard_at > _TIMEOUT_S:
                peer.lost_at = now
                changed = True
            elif self._is_expired(peer, now):
                del self._peers[name]
                changed = True
        return changed

    def _is_expired(self, peer: Peer, now: float) -> bool:
        # If all peers are lost, this instance is probably the one that is cut
        # off. They are kept then, so that it uses only its equal share.
        if peer.lost_at is None or self.is_cut_off():
            return False
        return now - peer.lost_at > _HOLD_S

    def is_cut_off(self) -> bool:
        """Returns whether there were peers and all of them are lost."""
        return bool(self._peers) and not self.count_present()

    def count(self) -> int:
        """Returns the number of peers, including lost ones not yet dropped."""
        return len(self._peers)

    def count_present(self) -> int:
        """Returns the number of peers that aren't lost."""
        return sum(p.lost_at is None for p in self._peers.values())

    def list_all(self) -> list[Peer]:
        """Returns all peers, including lost ones not yet dropped."""
        return list(self._peers.values())
