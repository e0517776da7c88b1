"""The WSGI application with a fake request handler."""

from collections.abc import Iterable, Iterator
import json
from typing import Any

import pytest
import result

from pollenfork import metrics
from pollenfork.answers import session
from pollenfork.entry import errors
from pollenfork.entry import front
from pollenfork.settings import model
from pollenfork.settings import snapshot


class Chunks(Iterator[bytes]):
    """Two chunks; counts the calls of `close`."""

    def __init__(self) -> None:
        self.closed = 0
        self._left = [b"b", b"a"]

    def __next__(self) -> bytes:
        if not self._left:
            raise StopIteration
        return self._left.pop()

    def close(self) -> None:
        self.closed += 1


class Handler:
    """Returns or raises the given result."""

    def __init__(self, served: Any) -> None:
        self.served = served

    def handle_completion(self, environ: Any, settings: Any, log: Any) -> Any:
        if isinstance(self.served, Exception):
            raise self.served
        return self.served


class Server:
    """Calls the application like a WSGI server."""

    def __init__(self, served: Any, ready: bool = True) -> None:
        settings = snapshot.Snapshot(model.Tree(root=model.RootSettings()))
        self.front = front.Front(
            Handler(served),  # type: ignore[arg-type]
            metrics.Metrics(),
            lambda: settings,
            lambda: ready,
            None,
        )
        self.status = ""
        self.headers: dict[str, str] = {}

    def start_response(
        self, status: str, headers: list[tuple[str, str]], *exc_info: Any
    ) -> None:
        self.status = status
        self.headers = dict(headers)

    def call(
        self, path: str = "/v1/completions", **more: Any
    ) -> Iterable[bytes]:
        method = "GET" if path in ("/healthz", "/none") else "POST"
        environ = {"PATH_INFO": path, "REQUEST_METHOD": method, **more}
        return self.front(environ, self.start_response)


def answer(chunks: Chunks) -> Any:
    return result.Ok(session.Answer(200, [], chunks))


REFUSED = result.Err(errors.Refusal(status=503, code=errors.Code.OVERLOADED))  # type: ignore[arg-type]


def test_answer_is_in_progress_until_closed() -> None:
    chunks = Chunks()
    server = Server(answer(chunks))
    answered = server.call()
    assert list(answered) == [b"a", b"b"]
    assert server.front.in_progress.count == 1
    answered.close()  # type: ignore[attr-defined]
    answered.close()  # type: ignore[attr-defined]
    assert server.front.in_progress.count == 0
    assert chunks.closed == 1


@pytest.mark.parametrize(
    ("served", "ready", "path"),
    [
        (REFUSED, True, "/v1/completions"),
        (REFUSED, False, "/v1/completions"),
        (REFUSED, True, "/none"),
        (REFUSED, True, "/healthz"),
    ],
)
def test_builtin_reply_is_in_progress_until_closed(
    served: Any, ready: bool, path: str
) -> None:
    server = Server(served, ready)
    replied = server.call(path)
    assert server.front.in_progress.count == 1
    replied.close()  # type: ignore[attr-defined]
    assert server.front.in_progress.count == 0


def test_answer_is_closed_when_its_head_cannot_be_sent() -> None:
    chunks = Chunks()
    server = Server(answer(chunks))
    heads: list[str] = []

    def fail(status: str, headers: Any, exc_info: Any = None) -> None:
        heads.append(status)
        if not exc_info:
            raise ValueError(status)

    environ = {"PATH_INFO": "/v1/completions", "REQUEST_METHOD": "POST"}
    replied = server.front(environ, fail)
    assert heads == ["200 OK", "500 Internal Server Error"]
    assert chunks.closed == 1
    replied.close()  # type: ignore[attr-defined]
    assert server.front.in_progress.count == 0


def test_internal_error_has_an_unknown_outcome(
    caplog: pytest.LogCaptureFixture,
) -> None:
    server = Server(OSError("lost"))
    replied = server.call()
    body = json.loads(b"".join(replied))
    assert server.status == "500 Internal Server Error"
    assert server.headers["X-Outcome"] == "unknown"
    assert body["error"]["code"] == "internal_error"
    assert "event=request_failed" in caplog.text
    replied.close()  # type: ignore[attr-defined]
    assert server.front.in_progress.count == 0
