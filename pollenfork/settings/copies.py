"""Encodes the whole tree for peers that can't read the table."""

import msgspec
import result

from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import state

FORMAT = 1


def encode(in_force: state.InForce) -> bytes:
    """Returns the tree as a `messages.TreeCopy` in MessagePack."""
    subtrees = tuple(
        messages.SubtreeCopy(
            subtree.path, subtree.revision, subtree.history, subtree.packed
        )
        for subtree in in_force.subtrees.values()
    )
    copy = messages.TreeCopy(FORMAT, in_force.revision, subtrees)
    return msgspec.msgpack.encode(copy)


def decode(
    body: bytes, previous: state.InForce = state.EMPTY
) -> result.Result[state.InForce, errors.UnreadableRow]:
    """Decodes and compiles a tree received from a peer.

    Args:
        body: The peer's tree, as encoded by `encode`.
        previous: The tree in force here; unchanged parts are reused.
    """
    try:
        copy = msgspec.msgpack.decode(body, type=messages.TreeCopy)
    except msgspec.MsgspecError as error:
        return result.Err(errors.UnreadableRow(detail=f"peer's tree: {error}"))
    if copy.format > FORMAT:
        detail = f"peer's tree of format {copy.format}, known up to {FORMAT}"
        return result.Err(errors.UnreadableRow(detail=detail))
    subtrees = (
        state.Subtree(part.path, part.revision, part.history, part.packed)
        for part in copy.subtrees
    )
    return state.compile_tree(copy.revision, subtrees, previous)
