"""Paths of the settings tree, such as `teams/linework/classes/morning`.

The first one or two segments name a subtree (`root`, `teams/NAME`), the unit
that has a revision; further segments name a part of it. The empty path stands
for the whole tree.
"""

import msgspec
import result

from pollenfork import ids
from pollenfork.settings import errors

ROOT = "root"
_TEAMS = "teams"


class SettingsPath(msgspec.Struct, frozen=True):
    """A parsed path.

    Attributes:
        subtree: `root`, `teams/NAME`, or empty for the whole tree.
        inner: Segments below the subtree.
    """

    subtree: str
    inner: tuple[str, ...] = ()

    @property
    def is_tree(self) -> bool:
        """Whether this is the path of the whole tree."""
        return not self.subtree

    @property
    def team(self) -> ids.Team | None:
        """The team of the subtree, or None for any other path."""
        return find_team(self.subtree)

    def __str__(self) -> str:
        """Returns the path without leading or trailing slashes."""
        return "/".join((self.subtree, *self.inner))


def parse_path(text: str) -> result.Result[SettingsPath, errors.NoSuchPath]:
    """Parses a path, ignoring empty segments."""
    steps = [step for step in text.split("/") if step]
    if not steps:
        return result.Ok(SettingsPath(""))
    if steps[0] == ROOT:
        return result.Ok(SettingsPath(ROOT, tuple(steps[1:])))
    if steps[0] == _TEAMS and len(steps) > 1:
        return result.Ok(
            SettingsPath(get_team_path(steps[1]), tuple(steps[2:]))
        )
    hint = "paths start with root/ or teams/NAME/"
    return result.Err(errors.NoSuchPath(detail=f"no path {text}: {hint}"))


def get_team_path(team: str) -> str:
    """Returns the path of a team's subtree."""
    return f"{_TEAMS}/{team}"


def find_team(subtree: str) -> ids.Team | None:
    """Returns the team of a subtree path, or None for the root."""
    head, _, name = subtree.partition("/")
    return ids.Team(name) if head == _TEAMS else None
