"""Decodes operators' JSON documents and rejects duplicate member names.

JSON decoders keep only the last of several members with the same name, so a
class that was pasted twice would silently lose its first definition.
"""

import collections
from collections.abc import Iterable, Iterator
import json

import result

from pollenfork.settings import errors
from pollenfork.settings import schema

_MAX_DEPTH = 32  # The tree itself has seven levels.

Members = list[tuple[str, object]]


def decode(body: bytes) -> result.Result[object, errors.BadDocument]:
    """Decodes `body`, or returns all its errors."""
    try:
        value = json.loads(
            body,
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return _make_failure([errors.Violation("", f"not JSON: {error}")])
    found = list(_find_violations(value, "", 0))
    return _make_failure(found) if found else result.Ok(value)


def _make_failure(
    violations: Iterable[errors.Violation],
) -> result.Err[errors.BadDocument]:
    found = tuple(violations)
    failure = errors.BadDocument(detail=str(found[0]), violations=found)
    return result.Err(failure)


class _DuplicateMembers(dict[str, object]):
    """An object with duplicate member names."""

    def __init__(self, members: Members) -> None:
        super().__init__(members)
        counts = collections.Counter(name for name, _ in members)
        self.duplicates = [name for name, count in counts.items() if count > 1]


def _build_object(members: Members) -> dict[str, object]:
    built = dict(members)
    return built if len(built) == len(members) else _DuplicateMembers(members)


def _find_violations(
    value: object, path: str, depth: int
) -> Iterator[errors.Violation]:
    if depth > _MAX_DEPTH:
        yield errors.Violation(path, "is nested too deep")
        return
    if isinstance(value, _DuplicateMembers):
        for name in value.duplicates:
            yield errors.Violation(path, f"{name} stands twice")
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _find_violations(
                item, schema.join(path, name), depth + 1
            )
    elif isinstance(value, list):
        for index, item in enumerate(value):
            inner = schema.join(path, str(index))
            yield from _find_violations(item, inner, depth + 1)


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")
