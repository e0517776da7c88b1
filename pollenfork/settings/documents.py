"""Decodes the JSON that operators write; a name that stands twice is an error.

Decoders keep the last of two members with one name and drop the other, so a
class pasted twice would lose its first half unseen.
"""

import collections
from collections.abc import Iterable, Iterator
import json

import result

from pollenfork.settings import errors
from pollenfork.settings import schema

_DEEPEST = 32  # The tree itself has seven levels.

Members = list[tuple[str, object]]


def decode(body: bytes) -> result.Result[object, errors.BadDocument]:
    """Returns the JSON value of `body`, or what is wrong with it."""
    try:
        value = json.loads(
            body, object_pairs_hook=_build, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as error:
        return _refuse([errors.Violation("", f"not JSON: {error}")])
    found = list(_find_faults(value, "", 0))
    return _refuse(found) if found else result.Ok(value)


def _refuse(
    violations: Iterable[errors.Violation],
) -> result.Err[errors.BadDocument]:
    found = tuple(violations)
    failure = errors.BadDocument(detail=str(found[0]), violations=found)
    return result.Err(failure)


class _Ambiguous(dict[str, object]):
    """An object in which names stand twice."""

    def __init__(self, members: Members) -> None:
        super().__init__(members)
        counts = collections.Counter(name for name, _ in members)
        self.twice = [name for name, count in counts.items() if count > 1]


def _build(members: Members) -> dict[str, object]:
    built = dict(members)
    return built if len(built) == len(members) else _Ambiguous(members)


def _find_faults(
    value: object, path: str, depth: int
) -> Iterator[errors.Violation]:
    if depth > _DEEPEST:
        yield errors.Violation(path, "is nested too deep")
        return
    if isinstance(value, _Ambiguous):
        for name in value.twice:
            yield errors.Violation(path, f"{name} stands twice")
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _find_faults(item, schema.join(path, name), depth + 1)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            inner = schema.join(path, str(index))
            yield from _find_faults(item, inner, depth + 1)


def _refuse_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")
