"""What other slices say to the settings slice and hear from it."""

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
