"""Which part of the tree an operator's token may read and change."""

from collections.abc import Collection

import msgspec

from pollenfork import ids
from pollenfork.settings import model
from pollenfork.settings import paths


class Rights(msgspec.Struct, frozen=True):
    """What a token is bound to.

    Attributes:
        everything: The whole tree, and orders to endpoints.
        teams: Teams whose subtrees the token may change.
    """

    everything: bool = False
    teams: frozenset[ids.Team] = frozenset()

    def cover(self, path: paths.SettingsPath) -> bool:
        """Returns whether the token may read and change what is at `path`."""
        return self.everything or path.team in self.teams


def find_rights(
    tree: model.Tree, digest: str, first_operators: Collection[str] = ()
) -> Rights | None:
    """Returns the rights of a token, or None where nobody knows it.

    Args:
        tree: The tree that binds tokens.
        digest: SHA-256 hex digest of the token.
        first_operators: Digests from the process's own settings, bound to
            everything: they write the first tree and undo a lock-out.
    """
    if digest in first_operators or digest in tree.root.operator_sha256:
        return Rights(everything=True)
    teams = frozenset(
        team
        for team, ceiling in tree.root.ceilings.items()
        if digest in ceiling.operator_sha256
    )
    return Rights(teams=teams) if teams else None
