"""What other slices hear from the settings slice."""

import msgspec

from pollenfork.settings import model
from pollenfork.settings import snapshot


class TreeInForce(msgspec.Struct, frozen=True):
    """A tree has come into force at this instance; revisions only grow.

    Attributes:
        tree: The tree.
        lookups: The same tree, compiled for the request path.
    """

    tree: model.Tree
    lookups: snapshot.Snapshot
