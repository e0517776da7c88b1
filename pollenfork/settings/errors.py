"""Failures of the settings slice."""

from collections.abc import Iterable

import msgspec
import result

from pollenfork import failures
from pollenfork import ids


class SettingsFailure(failures.Failure, frozen=True, kw_only=True):
    """Base of the failures that the settings slice reports."""


class NoSuchPath(SettingsFailure, frozen=True, kw_only=True):
    """The path names nothing in the tree."""


class Violation(msgspec.Struct, frozen=True):
    """One broken rule.

    Attributes:
        path: Dotted place in the tree, such as `teams.linework`.
        rule: The field and what it must be.
    """

    path: str
    rule: str

    def __str__(self) -> str:
        """Returns one line such as `teams.a: max_in_flight must be > 0`."""
        return f"{self.path}: {self.rule}" if self.path else self.rule


class BadTree(SettingsFailure, frozen=True, kw_only=True):
    """The tree breaks rules, and nothing of it was written."""

    violations: tuple[Violation, ...]


class BadDocument(SettingsFailure, frozen=True, kw_only=True):
    """What should be JSON isn't, or has a name that stands twice."""

    violations: tuple[Violation, ...]


def refuse_tree(violations: Iterable[Violation]) -> result.Err[BadTree]:
    """Returns the refusal of a tree that breaks these rules."""
    found = tuple(violations)
    detail = f"broken rules: {len(found)}, the first: {found[0]}"
    return result.Err(BadTree(detail=detail, violations=found))


class Stale(SettingsFailure, frozen=True, kw_only=True):
    """Another write came first; `current` is 0 where nothing exists."""

    current: ids.Revision


class NotReady(SettingsFailure, frozen=True, kw_only=True):
    """No settings are in force at this instance yet."""


class UnknownOperator(SettingsFailure, frozen=True, kw_only=True):
    """Nobody has this token in the settings in force."""


class Forbidden(SettingsFailure, frozen=True, kw_only=True):
    """The token isn't bound to this part of the tree."""


class WriteIdReused(SettingsFailure, frozen=True, kw_only=True):
    """An earlier write had the same id and another content."""


class Unreadable(SettingsFailure, frozen=True, kw_only=True):
    """The table couldn't be read; `detail` names the failure."""


class NotWritten(SettingsFailure, frozen=True, kw_only=True):
    """The write had no effect and will have none.

    Attributes:
        retry_after_s: When to try again.
    """

    retry_after_s: float = 1.0


class WriteUnknown(SettingsFailure, frozen=True, kw_only=True):
    """The answer was lost: repeating with the same write id is safe."""

    retry_after_s: float = 1.0


class UnreadableRow(SettingsFailure, frozen=True, kw_only=True):
    """A row or a peer's copy is of an unknown format or damaged."""


class TreeMoving(SettingsFailure, frozen=True, kw_only=True):
    """Writes kept overtaking the read; the next poll tries again."""


class TableBehind(SettingsFailure, frozen=True, kw_only=True):
    """The table's tree is older than the one in force."""
