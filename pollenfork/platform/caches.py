"""A runner's calls about the parts of prompts that it keeps."""

import msgspec
import result

from pollenfork import failures
from pollenfork.fleet import messages
from pollenfork.fleet import model as fleet
from pollenfork.platform import entries
from pollenfork.platform import names

_OK = 200
_KEPT = "+"


class BadCacheNews(failures.Failure, frozen=True, kw_only=True):
    """A runner's answer doesn't tell what it keeps."""


class _Event(msgspec.Struct, array_like=True):
    number: int
    sign: str
    wall: str  # Empty on these deployments.
    part: str
    tokens: int  # Kept now, a whole number of the runner's blocks.


class _Held(msgspec.Struct, array_like=True):
    wall: str
    part: str
    tokens: int


class _News(msgspec.Struct):
    next: int  # The number after which the next call goes on.
    lost: bool = False
    events: list[_Event] = []  # Of a feed.
    held: list[_Held] = []  # Of a list.
    epoch: int | str = ""
    born: int | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_News)


def encode_feed_request(
    runner: fleet.Runner, after: int, wait_s: float
) -> bytes:
    """Returns the request for the changes after one, as they come."""
    target = f"{names.CACHE_FEED_PATH}?since={after}"
    extra = names.FEED_WAIT + b": %d\r\n" % int(wait_s * 1000)
    return _write(runner, target, extra)


def encode_list_request(runner: fleet.Runner) -> bytes:
    """Returns the request for all parts kept; it delays the runner's work."""
    return _write(runner, names.CACHE_LIST_PATH)


def decode_feed(
    status: int, body: bytes
) -> result.Result[messages.CacheReport, BadCacheNews]:
    """Decodes the answer to the first."""
    return _decode(status, body).map(lambda told: _make_news(told, whole=False))


def decode_list(
    status: int, body: bytes
) -> result.Result[messages.CacheReport, BadCacheNews]:
    """Decodes the answer to the second."""
    return _decode(status, body).map(lambda told: _make_news(told, whole=True))


def _make_news(told: _News, whole: bool) -> messages.CacheReport:
    changed = [(each.part, each.sign == _KEPT) for each in told.events]
    held = [(each.part, True) for each in told.held]
    return messages.CacheReport(
        tuple(
            messages.CacheChange(part.encode(), kept)
            for part, kept in (held if whole else changed)
        ),
        told.next,
        complete=whole,
        gap=told.lost,
        epoch=str(told.epoch),
        start=entries.read_start(told.born),
    )


def _decode(status: int, body: bytes) -> result.Result[_News, BadCacheNews]:
    if status != _OK:
        return result.Err(BadCacheNews(detail=f"status {status}"))
    try:
        return result.Ok(_DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return result.Err(BadCacheNews(detail=str(error)))


def _write(runner: fleet.Runner, target: str, extra: bytes = b"") -> bytes:
    host = f"{runner.host}:{runner.port}"
    head = f"GET {target} HTTP/1.1\r\nhost: {host}\r\n"
    return head.encode() + extra + b"\r\n"
