"""Decodes and encodes the HTTP heads of callers and runners."""

from collections.abc import Iterable
import math

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.gateway import header_fields
from pollenfork.gateway import messages
from pollenfork.platform import names

Header = tuple[bytes, bytes]

# Headers that a caller can't drop by listing them in `Connection`.
_PROTECTED = frozenset(
    {names.ATTEMPT, names.MODEL, names.TOKENS, names.PROMPT_PARTS, b"host"}
)
# Repeated, these could be read as different requests by different servers.
_SINGLE_VALUED = _PROTECTED | {
    names.DEADLINE,
    names.AUTHORIZATION,
    b"content-length",
    b"transfer-encoding",
}
_SCHEME = b"bearer "
_MAX_PRIORITY = 9
_MISDIRECTED = 421
# Sums of longer numbers of tokens may not fit in a datagram's 64 bits.
_MAX_DIGITS = 9
EVENT_FIELDS = frozenset({b"x-pollenfork-weight-versions"})


def find_duplicate(headers: list[Header]) -> bytes | None:
    """Returns the name of a single-valued header that occurs repeatedly."""
    seen = set()
    for name, _ in headers:
        if name in seen and name in _SINGLE_VALUED:
            return name
        seen.add(name)
    return None


def decode_request(headers: list[Header]) -> messages.RequestHead:
    """Decodes the headers of a caller's request.

    Args:
        headers: Names in lower case, values as received.
    """
    found = dict(headers)
    return messages.RequestHead(
        attempt=ids.AttemptId(found.get(names.ATTEMPT, b"").decode("latin-1")),
        key=_parse_key(found.get(names.AUTHORIZATION)),
        wait_s=_parse_seconds(found.get(names.DEADLINE)),
        parts=_parse_parts(found.get(names.PROMPT_PARTS)),
        tokens=_parse_tokens(found.get(names.TOKENS)),
        last_event=header_fields.parse_position(found.get(names.LAST_EVENT)),
        length_hint=_parse_length(found.get(names.LENGTH_HINT, b"")),
        resumes=ids.AttemptId(found.get(names.RESUMES, b"").decode("latin-1")),
    )


def encode_request(
    call: messages.Request, sending: messages.ForwardContext
) -> bytes:
    """Encodes a caller's request for a runner."""
    dropped = _list_dropped(call.headers)
    lines = _list_lines(call, dropped, sending.remaining_s, sending.last_event)
    lines.append(names.EXPECTED_RUNNER + b": " + sending.runner.encode())
    if sending.source is not None:
        address = f"{sending.source.host}:{sending.source.port}"
        lines.append(names.COPY_SOURCE + b": " + address.encode())
    if sending.account is not None:
        lines.append(names.ACCOUNT + b": " + sending.account.encode())
    if sending.tier is not None:
        priority = min(_MAX_PRIORITY, max(0, sending.tier))
        lines.append(names.PRIORITY + b": %d" % priority)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


def encode_forwarded(
    call: messages.Request, remaining_s: float, last_event: int | None
) -> bytes:
    """Encodes the head of a caller's request for another instance.

    It lacks the framing of the body and the empty line at the end.

    Args:
        call: The request.
        remaining_s: Seconds until the deadline.
        last_event: The position after which a stream resumes; None: as the
            caller sent it.
    """
    dropped = _list_dropped(call.headers) - {names.AUTHORIZATION}
    lines = _list_lines(call, dropped, remaining_s, last_event)
    return b"\r\n".join(lines) + b"\r\n"


def decode_response(
    status: int, headers: list[Header]
) -> messages.ResponseHead:
    """Decodes a runner's response head."""
    found = dict(headers)
    return messages.ResponseHead(
        status=status,
        attempt=ids.AttemptId(found.get(names.ATTEMPT, b"").decode("latin-1")),
        sealed=names.SEAL in found,
        not_run=names.NOT_RUN in found or status == _MISDIRECTED,
        displaced=status == _MISDIRECTED,
        events=found.get(b"content-type", b"").startswith(b"text/event-stream"),
        headers=headers,
        rates=header_fields.parse_numbers(headers, names.RATE_LIMIT),
        brittle=header_fields.parse_numbers(headers, names.BRITTLE),
        leaving=(names.LEAVING, b"1") in headers,
        retry_after=header_fields.parse_numbers(headers, names.RETRY_AFTER),
    )


def encode_response(
    head: messages.ResponseHead, length: int | None, closing: bool
) -> bytes:
    """Encodes a runner's response head for the caller.

    Args:
        head: The runner's response head.
        length: The body's length in bytes; None for chunked encoding.
        closing: Whether the caller's connection closes after the response.
    """
    lines = [b"HTTP/1.1 %d " % head.status]
    dropped = _list_dropped(head.headers)
    for name, value in head.headers:
        if name not in dropped:
            lines.append(name + b": " + value)
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % length)
    if closing:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _list_lines(
    call: messages.Request,
    dropped: frozenset[bytes],
    remaining_s: float,
    last_event: int | None,
) -> list[bytes]:
    """Returns a request's first line and the headers that are passed on."""
    lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
    if last_event is not None:
        dropped = dropped | {names.LAST_EVENT}
        lines.append(b"Last-Event-Id: %d" % last_event)
    for name, value in call.headers:
        if name not in dropped:
            lines.append(name + b": " + value)
    left_ms = max(1, math.floor(remaining_s * 1000))
    return [*lines, names.DEADLINE + b": %d" % left_ms]


def _list_dropped(headers: Iterable[Header]) -> frozenset[bytes]:
    hop_by_hop = header_fields.find_hop_by_hop(headers, _PROTECTED)
    return hop_by_hop | names.RESERVED | {names.AUTHORIZATION}


def _parse_key(value: bytes | None) -> str | None:
    if value is None or value[: len(_SCHEME)].lower() != _SCHEME:
        return None
    return value[len(_SCHEME) :].strip().decode("latin-1")


def _parse_seconds(value: bytes | None) -> float | None:
    milliseconds = header_fields.parse(float, value)
    return None if milliseconds is None else max(0.0, milliseconds / 1000.0)


def _parse_parts(value: bytes | None) -> tuple[fleet.Part, ...]:
    parts = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.strip().rpartition(b":")
        if not tokens.isdigit() or len(tokens) > _MAX_DIGITS:
            return ()
        parts.append(fleet.Part(name, int(tokens)))
    return tuple(parts)


def _parse_tokens(value: bytes | None) -> tuple[int, int]:
    first, _, second = (value or b"").partition(b",")
    return _parse_length(first), _parse_length(second)


def _parse_length(value: bytes) -> int:
    return header_fields.parse_digits(value, _MAX_DIGITS) or 0


def is_ready_check(target: bytes) -> bool:
    """Returns whether a target is that of the load balancer's check."""
    return target.partition(b"?")[0] == names.READY_PATH
