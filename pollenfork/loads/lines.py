"""What an instance last told another, and what it heard."""

from collections.abc import Iterable

import msgspec

from pollenfork.loads import messages

# Placements that wait to be told; more are left out, oldest first. It is what
# 45 runners keep in shared parts.
_PLACED_LIMIT = 8000
# Placements in one datagram: 12 bytes each, and a lost datagram loses few.
_PLACED_EACH = 100
# Unchanged loads are told again this often, as datagrams get lost.
_REPEAT_S = 0.3


class Heard(msgspec.Struct):
    """What another instance has told."""

    loads: messages.Table
    at: float
    sent_at: float = 0.0


class Line(msgspec.Struct):
    """What goes to one address.

    Attributes:
        loads: What was last told.
        at: When that was.
        placed: Placements to tell.
        proof: What was last told of the store's versions.
    """

    loads: messages.Table = {}
    at: float = -_REPEAT_S
    placed: list[messages.Placed] = msgspec.field(default_factory=list)
    proof: messages.Proof | None = None

    def add_placed(self, placed: Iterable[messages.Placed]) -> None:
        """Takes placements to tell."""
        self.placed.extend(placed)
        del self.placed[:-_PLACED_LIMIT]

    @property
    def next_placed(self) -> tuple[messages.Placed, ...]:
        """The placements for the next datagram."""
        return tuple(self.placed[:_PLACED_EACH])

    def note_told(self, loads: messages.Table, now: float) -> None:
        """Notes that loads and the next placements were told."""
        self.loads = loads
        self.at = now
        del self.placed[:_PLACED_EACH]


def is_due(line: Line, loads: messages.Table, now: float) -> bool:
    """Returns whether there is something to tell, or it is time to repeat."""
    changed = bool(line.placed) or line.loads != loads
    return changed or now - line.at >= _REPEAT_S


def add(tables: list[messages.Table]) -> messages.Table:
    """Returns the loads of several instances added up."""
    total: messages.Table = {}
    for table in tables:
        for runner, load in table.items():
            known = total.get(runner)
            if known is not None:
                load = messages.Load(
                    known.active + load.active,
                    known.pending_tokens + load.pending_tokens,
                    known.top_tier + load.top_tier,
                )
            total[runner] = load
    return total


def subtract(total: messages.Table, part: messages.Table) -> messages.Table:
    """Returns a total without the loads of one that is in it."""
    rest = dict(total)
    for runner, load in part.items():
        known = rest[runner]
        if known == load:
            del rest[runner]
            continue
        rest[runner] = messages.Load(
            known.active - load.active,
            known.pending_tokens - load.pending_tokens,
            known.top_tier - load.top_tier,
        )
    return rest


def has_news(line: Line, proof: messages.Proof | None) -> bool:
    """Returns whether the store's tables have changed since the last word."""
    told = line.proof
    if proof is None:
        return False
    if told is None:
        return True
    return (proof.configuration, proof.runners) != (
        told.configuration,
        told.runners,
    )
