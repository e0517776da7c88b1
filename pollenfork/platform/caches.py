"""Encodes and decodes calls that ask which prompt parts a runner caches."""

import msgspec
import result

from pollenfork import failures
from pollenfork.fleet import messages
from pollenfork.fleet import model as fleet
from pollenfork.platform import entries
from pollenfork.platform import names

_Decoded = result.Result[messages.CacheReport, "BadCacheReport"]

_OK = 200
_ADDED = "+"


class BadCacheReport(failures.Failure, frozen=True, kw_only=True):
    """A runner's response doesn't say what it caches."""


class _Event(msgspec.Struct, array_like=True):
    sequence: int
    operation: str
    wall: str  # Always empty on these deployments.
    part: str
    tokens: int  # Cached now; a multiple of the block size.


class _CachedPart(msgspec.Struct, array_like=True):
    wall: str
    part: str
    tokens: int


class _Reply(msgspec.Struct):
    next: int  # The sequence number to continue after.
    lost: bool = False
    events: list[_Event] = []  # In the response to a feed request.
    held: list[_CachedPart] = []  # In the response to a list request.
    epoch: int | str = ""
    born: int | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Reply)


def encode_feed_request(
    runner: fleet.Runner, after: int, wait_s: float
) -> bytes:
    """Returns the long-poll request for changes after a sequence number."""
    target = f"{names.CACHE_FEED_PATH}?since={after}"
    extra = names.FEED_WAIT_MS + b": %d\r\n" % int(wait_s * 1000)
    return _encode(runner, target, extra)


def encode_list_request(runner: fleet.Runner) -> bytes:
    """Returns the request for all cached parts, which delays the runner."""
    return _encode(runner, names.CACHE_LIST_PATH)


def decode_feed(status: int, body: bytes) -> _Decoded:
    """Decodes the response to a feed request."""
    return _decode(status, body).map(lambda raw: _convert(raw, complete=False))


def decode_list(status: int, body: bytes) -> _Decoded:
    """Decodes the response to a list request."""
    return _decode(status, body).map(lambda raw: _convert(raw, complete=True))


def _convert(raw: _Reply, complete: bool) -> messages.CacheReport:
    changes = [(e.part, e.operation == _ADDED, e.sequence) for e in raw.events]
    held = [(each.part, True, 0) for each in raw.held]
    return messages.CacheReport(
        tuple(
            messages.CacheChange(part.encode(), cached, number)
            for part, cached, number in (held if complete else changes)
        ),
        raw.next,
        complete=complete,
        gap=raw.lost,
        epoch=str(raw.epoch),
        start=entries.decode_start(raw.born),
    )


def _decode(status: int, body: bytes) -> result.Result[_Reply, BadCacheReport]:
    if status != _OK:
        return result.Err(BadCacheReport(detail=f"status {status}"))
    try:
        reply = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        return result.Err(BadCacheReport(detail=str(error)))
    if not fleet.is_possible_start(entries.decode_start(reply.born)):
        return result.Err(BadCacheReport(detail="impossible start"))
    return result.Ok(reply)


def _encode(runner: fleet.Runner, target: str, extra: bytes = b"") -> bytes:
    host = f"{runner.host}:{runner.port}"
    head = f"GET {target} HTTP/1.1\r\nhost: {host}\r\n"
    return head.encode() + extra + b"\r\n"
