"""What other slices say to the settings slice and hear from it."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.settings import state


class TreeInForce(msgspec.Struct, frozen=True):
    """A tree has come into force at this instance; revisions only grow.

    Attributes:
        tree: The tree, without the teams' accounts (up to 42,000): those are
            found through `lookups`.
        lookups: The same tree, compiled for the request path.
    """

    tree: model.Tree
    lookups: snapshot.Snapshot


class Rights(msgspec.Struct, frozen=True):
    """What an operator's token is bound to.

    Attributes:
        everything: The whole tree, and orders to endpoints.
        teams: Teams whose subtrees the token may change.
    """

    everything: bool = False
    teams: frozenset[ids.Team] = frozenset()


class Source(enum.Enum):
    """Where an operator's read was answered from."""

    TABLE = "table"
    IN_FORCE = "in-force"  # The table is away: what this instance serves.


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """What is at a path.

    Attributes:
        value: JSON.
        revision: Of the subtree, or of the tree for the whole.
        tree_revision: Of the tree that was read.
    """

    value: bytes
    revision: ids.Revision
    tree_revision: ids.Revision
    source: Source


class WriteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A write that an operator asks for.

    Attributes:
        operator: SHA-256 hex digest of the operator's token.
        body: The JSON to put at `path`.
        expected: The revision that the operator saw: of the subtree, or of
            the tree for a write of the whole; 0 where nothing was there.
    """

    operator: str
    path: str
    body: bytes
    expected: ids.Revision
    write_id: ids.WriteId


class Written(msgspec.Struct, frozen=True):
    """An accepted, durable write.

    Attributes:
        repeated: An earlier sending of the same write had been accepted.
    """

    revision: ids.Revision
    repeated: bool


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write of a subtree.

    Attributes:
        operator: First digits of the digest of the operator's token.
        at: Unix seconds.
        value: The subtree's JSON as the write left it; null if removed.
    """

    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float
    value: bytes


class PeerRevision(msgspec.Struct, frozen=True):
    """The revision in force at a peer, as its heartbeat says; 0 for none."""

    instance: ids.InstanceId
    revision: ids.Revision


class PeerGone(msgspec.Struct, frozen=True):
    """A peer can't be reached: its copy of the tree neither."""

    instance: ids.InstanceId


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; sent a few times a second."""


class TreeWritten(msgspec.Struct, frozen=True):
    """A write through this instance was accepted."""

    tree: state.InForce


Message = PeerRevision | PeerGone | Tick | TreeWritten


class SubtreeCopy(msgspec.Struct, frozen=True, array_like=True):
    """One subtree in a `TreeCopy`; `packed` is its JSON, compressed."""

    path: str
    revision: ids.Revision
    history: tuple[ids.Revision, ...]
    packed: bytes


class TreeCopy(msgspec.Struct, frozen=True, array_like=True):
    """The whole tree as one instance hands it to another, in MessagePack."""

    format: int
    revision: ids.Revision
    subtrees: tuple[SubtreeCopy, ...]
