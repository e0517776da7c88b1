"""HTTP clients that send and receive raw bytes."""

import re
import socket

import msgspec

from tests import sites

WAIT_S = 20.0


class Answer(msgspec.Struct, frozen=True):
    """An HTTP response, up to the end of the connection."""

    raw: bytes
    status: int
    headers: dict[str, str]
    body: bytes

    def read_code(self) -> str:
        """Returns the error code from the body."""
        return msgspec.json.decode(self.body)["error"]["code"]


def encode_request(
    method: str = "POST",
    path: str = "/v1/completions",
    body: bytes = b"",
    **headers: str | None,
) -> bytes:
    """Encodes a request; by default it carries the test account's key.

    Header names are given with underscores; None omits a header.
    """
    all_headers = {
        "host": "router",
        "authorization": f"Bearer {sites.KEY}",
        "connection": "close",
        **headers,
    }
    if body:
        all_headers.setdefault("content_type", "application/json")
        all_headers.setdefault("content_length", str(len(body)))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [
        f"{name.replace('_', '-').title()}: {value}"
        for name, value in all_headers.items()
        if value is not None
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def connect(address: str) -> socket.socket:
    """Connects to an entry instance."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_S)


def exchange(address: str, raw: bytes) -> Answer:
    """Sends a request and returns the response."""
    with connect(address) as caller:
        caller.sendall(raw)
        return read_answer(caller)


def read_answer(caller: socket.socket) -> Answer:
    """Reads one response; a connection that closes is read to its end."""
    raw = b""
    while not _is_complete(raw):
        data = caller.recv(65536)
        if not data:
            break
        raw += data
    head, _, body = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    if headers.get("transfer-encoding") == "chunked":
        body = join_chunks(body)
    return Answer(raw, int(first.split()[1]), headers, body)


def join_chunks(body: bytes) -> bytes:
    """Decodes a chunked body, which must be terminated correctly."""
    joined = b""
    while True:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            assert body == b"\r\n"
            return joined
        joined += body[:length]
        body = body[length + 2 :]


def _is_complete(raw: bytes) -> bool:
    """Returns whether a response on a kept-alive connection is complete."""
    head, _, body = raw.partition(b"\r\n\r\n")
    match = re.search(rb"\r\nContent-Length: (\d+)", head)
    if not match or b"\r\nConnection: close" in head:
        return False
    return len(body) >= int(match[1])
