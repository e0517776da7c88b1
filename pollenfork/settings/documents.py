"""Decodes the JSON that operators write; a name that stands twice is an error.

Decoders keep the last of two members with one name and drop the other, so a
class pasted twice would lose its first half unseen.
"""

from collections.abc import Iterable, Iterator
import json

import result

from pollenfork.settings import errors
from pollenfork.settings import schema

Members = list[tuple[str, object]]


def decode(body: bytes) -> result.Result[object, errors.BadDocument]:
    """Returns the JSON value of `body`, or what is wrong with it."""
    notes = _Duplicates()
    try:
        value = json.loads(
            body, object_pairs_hook=notes.build, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as error:
        return _refuse([errors.Violation("", f"not JSON: {error}")])
    if notes.names:
        return _refuse(notes.locate(value, ""))
    return result.Ok(value)


def _refuse(
    violations: Iterable[errors.Violation],
) -> result.Err[errors.BadDocument]:
    found = tuple(violations)
    failure = errors.BadDocument(detail=str(found[0]), violations=found)
    return result.Err(failure)


class _Duplicates:
    """Names that stand twice, by the object that they stand in."""

    def __init__(self) -> None:
        self.names: dict[int, list[str]] = {}
        # Kept alive, as another object could else get the same `id`.
        self._objects: list[dict[str, object]] = []

    def build(self, members: Members) -> dict[str, object]:
        built = dict(members)
        if len(built) < len(members):
            names = [name for name, _ in members]
            twice = [name for name in built if names.count(name) > 1]
            self.names[id(built)] = twice
            self._objects.append(built)
        return built

    def locate(self, value: object, path: str) -> Iterator[errors.Violation]:
        for name in self.names.get(id(value), ()):
            yield errors.Violation(path, f"{name} stands twice")
        if isinstance(value, dict):
            for name, item in value.items():
                yield from self.locate(item, schema.join(path, name))
        elif isinstance(value, list):
            for index, item in enumerate(value):
                yield from self.locate(item, schema.join(path, str(index)))


def _refuse_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")
