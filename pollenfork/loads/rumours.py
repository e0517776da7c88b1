"""What instances tell each other past the relays; sends nothing itself."""

import msgspec

from pollenfork.loads import edges
from pollenfork.loads import findings
from pollenfork.loads import gossip
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads import proofs

Told = list[tuple[str, messages.Message]]


class Rumours:
    """News of the store, and of runners, from instance to instance."""

    def __init__(
        self,
        me: messages.Member,
        roster: members.Roster,
        instance: edges.Instance,
    ) -> None:
        """Starts with nothing told.

        Args:
            me: This instance.
            roster: The members known.
            instance: Is asked and told.
        """
        self._me = me
        self._witness = messages.hash_name(me.host.encode())
        self._instance = instance
        self._gossip = gossip.Gossip(me, roster)
        self._outbox = findings.Outbox()

    def tick(self, now: float) -> Told:
        """Returns what to send in this period, by host."""
        told: Told = []
        told += self._gossip.tell(self._instance.read_proof(now), now)
        for own in self._instance.take_found():
            finding = msgspec.structs.replace(
                own, data_centre=self._me.data_centre, witness=self._witness
            )
            self._outbox.take(finding, now)
        found = self._outbox.choose(now)
        if found:
            message = messages.Findings(self._me.data_centre, found)
            told += [(host, message) for host in self._gossip.pick_round()]
        return told

    def hear(
        self,
        message: messages.Gossip | messages.Findings,
        host: str,
        now: float,
    ) -> Told:
        """Takes a message; returns what to answer, by host."""
        if isinstance(message, messages.Findings):
            self._take_found(message, now)
            return []
        proofs.take(self._instance, message.proof, message.echo, host, now)
        proof = self._instance.read_proof(now)
        answer = self._gossip.answer(message, proof, now)
        return [] if answer is None else [(host, answer)]

    def _take_found(self, message: messages.Findings, now: float) -> None:
        for finding in message.found:
            if self._outbox.take(finding, now):
                self._instance.note_found(finding, now)
