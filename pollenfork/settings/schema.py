"""Validates a JSON value against a type and reports all errors.

`msgspec` stops at the first error. This module walks the value along the
type's description instead, and leaves the final check to `msgspec`.
"""

from collections.abc import Iterator
import re
from typing import TypeVar

import msgspec
from msgspec import inspect
import result

from pollenfork.settings import errors

T = TypeVar("T")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_BOUNDS = (("gt", ">"), ("ge", ">="), ("lt", "<"), ("le", "<="))


def convert(
    value: object, kind: type[T], path: str
) -> result.Result[T, tuple[errors.Violation, ...]]:
    """Converts `value` to `kind`, or returns all violations.

    Args:
        value: A decoded JSON value.
        kind: A `msgspec.Struct` type.
        path: Dotted path of `value`, for error messages.
    """
    found = tuple(_walk_struct(value, _describe(kind), path))
    if found:
        return result.Err(found)
    try:
        return result.Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return result.Err((errors.Violation(path, str(error)),))


def decode_stored(
    body: bytes, kind: type[T], path: str
) -> result.Result[T, errors.UnreadableRow]:
    """Decodes stored JSON as `kind`, ignoring unknown fields.

    A later version may have stored settings that this one doesn't know.
    """
    try:
        return result.Ok(msgspec.json.decode(body, type=kind))
    except msgspec.ValidationError:
        value = _prune(msgspec.json.decode(body), _describe(kind))
    except msgspec.DecodeError as error:
        return result.Err(errors.UnreadableRow(detail=f"{path}: {error}"))
    try:
        return result.Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return result.Err(errors.UnreadableRow(detail=f"{path}: {error}"))


def join(path: str, step: str) -> str:
    """Returns the dotted path of `step` inside `path`."""
    return f"{path}.{step}" if path else step


def _describe(kind: type) -> inspect.StructType:
    described = inspect.type_info(kind)
    if not isinstance(described, inspect.StructType):
        raise TypeError(f"{kind} is not a struct")
    return described


def _walk_struct(
    value: object, kind: inspect.StructType, path: str
) -> Iterator[errors.Violation]:
    if not isinstance(value, dict):
        yield errors.Violation(path, "must be an object")
        return
    known = {field.encode_name for field in kind.fields}
    for name in value:
        if name not in known:
            yield errors.Violation(path, f"{name} is not a setting")
    for field in kind.fields:
        name = field.encode_name
        if name in value:
            yield from _walk(value[name], field.type, path, name)
        elif field.required:
            yield errors.Violation(path, f"{name} is required")


def _walk(
    value: object, kind: inspect.Type, path: str, name: str
) -> Iterator[errors.Violation]:
    match kind:
        case inspect.StructType():
            yield from _walk_struct(value, kind, join(path, name))
        case inspect.DictType():
            yield from _walk_dict(value, kind, join(path, name))
        case inspect.VarTupleType():
            yield from _walk_array(value, kind, path, name)
        case inspect.UnionType():
            if value is not None:
                yield from _walk(value, kind.types[0], path, name)
        case _:
            rule = _check_leaf(value, kind)
            if rule:
                yield errors.Violation(path, f"{name} must be {rule}")


def _walk_dict(
    value: object, kind: inspect.DictType, path: str
) -> Iterator[errors.Violation]:
    if not isinstance(value, dict):
        yield errors.Violation(path, "must be an object")
        return
    for name, item in value.items():
        if not _NAME.fullmatch(name):
            rule = "must be a name of letters, digits, '.', '_' and '-'"
            yield errors.Violation(path, f"{name!r} {rule}, 64 at most")
            continue
        yield from _walk(item, kind.value_type, path, name)


def _walk_array(
    value: object, kind: inspect.VarTupleType, path: str, name: str
) -> Iterator[errors.Violation]:
    if not isinstance(value, list):
        yield errors.Violation(path, f"{name} must be an array")
        return
    for index, item in enumerate(value):
        yield from _walk(item, kind.item_type, path, f"{name}[{index}]")


def _check_leaf(value: object, kind: inspect.Type) -> str | None:
    match kind:
        case inspect.IntType():
            return _check_number(value, kind, whole=True)
        case inspect.FloatType():
            return _check_number(value, kind, whole=False)
        case inspect.StrType():
            return _check_text(value, kind)
        case inspect.BoolType():
            return None if isinstance(value, bool) else "true or false"
        case inspect.EnumType():
            choices = [member.value for member in kind.cls]
            return (
                None
                if value in choices
                else f"one of {_format_choices(choices)}"
            )
    return None


def _check_number(
    value: object,
    kind: inspect.IntType | inspect.FloatType,
    whole: bool,
) -> str | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return "an integer" if whole else "a number"
    if whole and not isinstance(value, int):
        return "an integer"
    for attribute, sign in _BOUNDS:
        bound = getattr(kind, attribute)
        if bound is not None and not _satisfies(value, sign, bound):
            return f"{sign} {bound:g}"
    return None


def _satisfies(value: float, sign: str, bound: float) -> bool:
    match sign:
        case ">":
            return value > bound
        case ">=":
            return value >= bound
        case "<":
            return value < bound
    return value <= bound


def _check_text(value: object, kind: inspect.StrType) -> str | None:
    if not isinstance(value, str):
        return "a string"
    if kind.pattern and not re.search(kind.pattern, value):
        return f"text that matches {kind.pattern}"
    return None


def _format_choices(choices: list[object]) -> str:
    return ", ".join(str(choice) for choice in choices)


def _prune(value: object, kind: inspect.Type) -> object:
    if isinstance(value, dict) and isinstance(kind, inspect.StructType):
        fields = {field.encode_name: field.type for field in kind.fields}
        return {
            name: _prune(item, fields[name])
            for name, item in value.items()
            if name in fields
        }
    if isinstance(value, dict) and isinstance(kind, inspect.DictType):
        return {
            name: _prune(item, kind.value_type) for name, item in value.items()
        }
    return value
