"""Rules of HTTP for header fields, and their values as numbers."""

from collections.abc import Callable, Collection, Iterable
from typing import TypeVar

from pollenfork.gateway import messages

_T = TypeVar("_T")

# Hop-by-hop headers, besides those that a `Connection` header lists.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)


_MAX_POSITION_DIGITS = 18


def find_hop_by_hop(
    headers: Iterable[messages.Header], kept: Collection[bytes]
) -> frozenset[bytes]:
    """Returns the names of headers that concern one connection only.

    Args:
        headers: All headers, names in lower case.
        kept: Headers that a `Connection` header can't make hop-by-hop.
    """
    found = _HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            found = found | (listed - set(kept))
    return found


def parse(kind: Callable[[bytes], _T], value: bytes | None) -> _T | None:
    """Returns a value converted by `kind`; None if it is missing or invalid."""
    try:
        return None if value is None else kind(value)
    except ValueError:
        return None


def parse_position(value: bytes | None) -> int | None:
    """Returns the position of an event; None if it is missing or invalid."""
    return parse_digits(value, _MAX_POSITION_DIGITS)


def parse_digits(value: bytes | None, most: int) -> int | None:
    """Returns a number of at most so many digits; None if it is none."""
    number = (value or b"").strip()
    is_valid = number.isdigit() and len(number) <= most
    return int(number) if is_valid else None


def parse_numbers(
    headers: Iterable[messages.Header], name: bytes
) -> tuple[float | None, ...]:
    """Returns the values of a header; None for one that isn't a number."""
    return tuple(parse(float, value) for each, value in headers if each == name)
