"""What peers last said of their queues and slots."""

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages

_SILENT_S = 3.0
_HOLD_S = 10.0


class Peer(msgspec.Struct):
    """One peer's last pressure and when it came.

    Attributes:
        lost_at: When it was lost or fell silent; its queue no longer counts,
            but the slots it held are left to it for a while.
    """

    pressure: messages.Pressure
    heard_at: float
    lost_at: float | None = None


class Peers:
    """The peers that share this instance's endpoints."""

    def __init__(self) -> None:
        self._peers: dict[ids.InstanceId, Peer] = {}

    def find(self, instance: ids.InstanceId) -> Peer | None:
        """Returns what is known of a peer."""
        return self._peers.get(instance)

    def note(self, pressure: messages.Pressure, now: float) -> Peer:
        """Takes a peer's pressure in place of its earlier one."""
        peer = self._peers[pressure.instance] = Peer(pressure, now)
        return peer

    def note_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Takes a peer's loss."""
        peer = self._peers.get(instance)
        if peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def expire(self, now: float) -> bool:
        """Loses silent peers, drops long lost ones; whether any changed."""
        changed = False
        for name, peer in list(self._peers.items()):
            if peer.lost_at is None and now - peer.heard_at > _SILENT_S:
                peer.lost_at = now
                changed = True
            elif self._is_forgotten(peer, now):
                del self._peers[name]
                changed = True
        return changed

    def _is_forgotten(self, peer: Peer, now: float) -> bool:
        # Where all are lost at once it is rather this instance that is cut
        # off: they are kept, and with them the equal share.
        if peer.lost_at is None or self.is_cut_off():
            return False
        return now - peer.lost_at > _HOLD_S

    def is_cut_off(self) -> bool:
        """Returns whether every peer there was has been lost."""
        return bool(self._peers) and not self.count_present()

    def count(self) -> int:
        """Returns the peers that count, lost ones still held included."""
        return len(self._peers)

    def count_present(self) -> int:
        """Returns the peers that are there."""
        return sum(p.lost_at is None for p in self._peers.values())

    def list_all(self) -> list[Peer]:
        """Returns every peer that counts."""
        return list(self._peers.values())
