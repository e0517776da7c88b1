"""Messages between the settings and other packages."""

import enum

import msgspec

from pollenfork import ids
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.settings import state


class TreeInForce(msgspec.Struct, frozen=True):
    """A tree has come into force at this instance; revisions only grow.

    Attributes:
        tree: The tree without the teams' accounts (up to 42,000), which are
            looked up through `lookups`.
        lookups: The same tree, compiled for lookups by requests.
    """

    tree: model.Tree
    lookups: snapshot.Snapshot


class Rights(msgspec.Struct, frozen=True):
    """The rights of an operator's token.

    Attributes:
        everything: May change the whole tree and send orders to endpoints.
        teams: Teams whose subtrees the token may change.
    """

    everything: bool = False
    teams: frozenset[ids.Team] = frozenset()


class Source(enum.Enum):
    """Where the answer to an operator's read came from."""

    TABLE = "table"
    IN_FORCE = "in-force"  # The table is unavailable: this instance's tree.


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """The value at a path.

    Attributes:
        value: JSON.
        revision: Revision of the subtree, or of the tree for the empty path.
        tree_revision: Revision of the tree that was read.
    """

    value: bytes
    revision: ids.Revision
    tree_revision: ids.Revision
    source: Source


class WriteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A write requested by an operator.

    Attributes:
        operator: SHA-256 hex digest of the operator's token.
        body: The JSON to put at `path`.
        expected: The revision that the write is based on: the subtree's, or
            the tree's for a write of the whole tree; 0 if nothing existed.
    """

    operator: str
    path: str
    body: bytes
    expected: ids.Revision
    write_id: ids.WriteId


class Written(msgspec.Struct, frozen=True):
    """An accepted, durable write.

    Attributes:
        repeated: The write is a retry of one that was already accepted.
    """

    revision: ids.Revision
    repeated: bool


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write of a subtree.

    Attributes:
        operator: Prefix of the digest of the operator's token.
        at: Unix seconds.
        value: The subtree's JSON after the write; null if removed.
    """

    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float
    value: bytes


class PeerRevision(msgspec.Struct, frozen=True):
    """The revision in force at a peer, from its heartbeat; 0 if none."""

    instance: ids.InstanceId
    revision: ids.Revision


class PeerGone(msgspec.Struct, frozen=True):
    """A peer is unreachable, so its tree can't be fetched."""

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
    """The whole tree as sent between instances, in MessagePack."""

    format: int
    revision: ids.Revision
    subtrees: tuple[SubtreeCopy, ...]
