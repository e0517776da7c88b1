"""Authorizes operators: which parts of the tree a token may access."""

from collections.abc import Collection

from pollenfork.settings import messages
from pollenfork.settings import model
from pollenfork.settings import paths


def covers(rights: messages.Rights, path: paths.SettingsPath) -> bool:
    """Returns whether the rights allow access to `path`."""
    return rights.everything or path.team in rights.teams


def find_rights(
    tree: model.Tree, digest: str, first_operators: Collection[str] = ()
) -> messages.Rights | None:
    """Returns the rights of a token, or None for an unknown token.

    Args:
        tree: The tree that grants rights to tokens.
        digest: SHA-256 hex digest of the token.
        first_operators: Token digests from the process's own configuration,
            with access to the whole tree. They are needed to write the first
            tree and to recover when the tree has locked all operators out.
    """
    if digest in first_operators or digest in tree.root.operator_sha256:
        return messages.Rights(everything=True)
    teams = frozenset(
        team
        for team, ceiling in tree.root.ceilings.items()
        if digest in ceiling.operator_sha256
    )
    return messages.Rights(teams=teams) if teams else None
