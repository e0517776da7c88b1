"""Failures of the settings package."""

from collections.abc import Iterable

import msgspec
import result

from pollenfork import failures
from pollenfork import ids


class SettingsFailure(failures.Failure, frozen=True, kw_only=True):
    """Base class of the settings failures."""


class NoSuchPath(SettingsFailure, frozen=True, kw_only=True):
    """The path does not exist in the tree."""


class Violation(msgspec.Struct, frozen=True):
    """One violated validation rule.

    Attributes:
        path: Dotted path in the tree, such as `teams.linework`.
        rule: The field and its constraint.
    """

    path: str
    rule: str

    def __str__(self) -> str:
        """Returns one line such as `teams.a: max_in_flight must be > 0`."""
        return f"{self.path}: {self.rule}" if self.path else self.rule


class BadTree(SettingsFailure, frozen=True, kw_only=True):
    """The tree violates rules; nothing was written."""

    violations: tuple[Violation, ...]


class BadDocument(SettingsFailure, frozen=True, kw_only=True):
    """The document is not valid JSON or has duplicate member names."""

    violations: tuple[Violation, ...]


def refuse_tree(violations: Iterable[Violation]) -> result.Err[BadTree]:
    """Returns the failure for a tree with these violations."""
    found = tuple(violations)
    detail = f"broken rules: {len(found)}, the first: {found[0]}"
    return result.Err(BadTree(detail=detail, violations=found))


class Stale(SettingsFailure, frozen=True, kw_only=True):
    """The expected revision is outdated; `current` is 0 if nothing exists."""

    current: ids.Revision


class NotReady(SettingsFailure, frozen=True, kw_only=True):
    """No settings are in force at this instance yet."""


class UnknownOperator(SettingsFailure, frozen=True, kw_only=True):
    """The settings in force do not contain this token."""


class Forbidden(SettingsFailure, frozen=True, kw_only=True):
    """The token has no rights to this part of the tree."""


class WriteIdReused(SettingsFailure, frozen=True, kw_only=True):
    """An earlier write had the same id but different content."""


class Unreadable(SettingsFailure, frozen=True, kw_only=True):
    """The table couldn't be read; `detail` names the failure."""


class NotWritten(SettingsFailure, frozen=True, kw_only=True):
    """The write had no effect and will not take effect later.

    Attributes:
        retry_after_s: Seconds to wait before a retry.
    """

    retry_after_s: float = 1.0


class WriteUnknown(SettingsFailure, frozen=True, kw_only=True):
    """The outcome is unknown; a retry with the same write id is safe."""

    retry_after_s: float = 1.0


class UnreadableRow(SettingsFailure, frozen=True, kw_only=True):
    """A row or a peer's copy is corrupt or has an unknown format."""


class TreeMoving(SettingsFailure, frozen=True, kw_only=True):
    """Concurrent writes kept changing the tree; the next poll reads again."""


class TableBehind(SettingsFailure, frozen=True, kw_only=True):
    """The table's tree is older than the one in force."""
