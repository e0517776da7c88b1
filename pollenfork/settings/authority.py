"""Which part of the tree an operator's token may read and change."""

from collections.abc import Collection

from pollenfork.settings import messages
from pollenfork.settings import model
from pollenfork.settings import paths


def covers(rights: messages.Rights, path: paths.SettingsPath) -> bool:
    """Returns whether the rights reach what is at `path`."""
    return rights.everything or path.team in rights.teams


def find_rights(
    tree: model.Tree, digest: str, first_operators: Collection[str] = ()
) -> messages.Rights | None:
    """Returns the rights of a token, or None where nobody knows it.

    Args:
        tree: The tree that binds tokens.
        digest: SHA-256 hex digest of the token.
        first_operators: Digests from the process's own settings, bound to
            everything: they write the first tree and undo a lock-out.
    """
    if digest in first_operators or digest in tree.root.operator_sha256:
        return messages.Rights(everything=True)
    teams = frozenset(
        team
        for team, ceiling in tree.root.ceilings.items()
        if digest in ceiling.operator_sha256
    )
    return messages.Rights(teams=teams) if teams else None
