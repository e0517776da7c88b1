"""Compares a session of two operators with a golden transcript."""

import io
import pathlib

from pollenfork.operator.tests import support
from pollenfork.settings.tests import support as settings_support

GOLDEN = (
    pathlib.Path(__file__).parents[3] / "tests/golden/operator/session-1.txt"
)
SUMMARY = "/operator/settings/teams/linework/classes/summary"
ROOT = settings_support.ROOT_TOKEN
# Method, target, token, headers, body.
SESSION = [
    ("GET", SUMMARY, "linework-token", {}, b""),
    ("PUT", SUMMARY, "linework-token",
     {"If-Match": '"1"', "Idempotency-Key": "w-2"}, b'{"tier": 5}'),
    ("PUT", SUMMARY, "linework-token",
     {"If-Match": '"1"', "Idempotency-Key": "w-2"}, b'{"tier": 5}'),
    ("PUT", SUMMARY, ROOT,
     {"If-Match": '"1"', "Idempotency-Key": "w-3"}, b'{"tier": 6}'),
    ("PUT", SUMMARY, "linework-token", {"If-Match": '"2"'},
     b'{"tier": 9, "target_gap_ms": 0}'),
    ("PUT", SUMMARY, "linework-token", {"If-Match": '"2"'},
     b'{"tier": 5, "tier": 4}'),
    ("PUT", SUMMARY, "linework-token", {}, b'{"tier": 5}'),
    ("PUT", SUMMARY, "ledger-token", {"If-Match": '"2"'}, b'{"tier": 5}'),
    ("GET", SUMMARY, "guess", {}, b""),
    ("GET", "/operator/settings-history/teams/linework", ROOT, {}, b""),
    ("GET", "/operator/status", "ledger-token", {}, b""),
    ("GET", "/operator/endpoints", ROOT, {}, b""),
    ("POST", "/operator/endpoints/runner-1/drain", ROOT, {}, b""),
]  # fmt: skip


def format_exchange(
    harness: support.Harness, method, target, token, headers, body
) -> str:
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": target,
        "CONTENT_LENGTH": str(len(body)),
        "HTTP_AUTHORIZATION": f"Bearer {token}",
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in headers.items():
        environ[f"HTTP_{name.upper().replace('-', '_')}"] = value
    sent = []
    chunks = harness.app(environ, lambda *start: sent.append(start))
    status, fields = sent[0]
    request = [f"> {method} {target}", f"> Authorization: Bearer {token}"]
    request += [f"> {name}: {value}" for name, value in headers.items()]
    reply = [f"< {status}", *(f"< {name}: {value}" for name, value in fields)]
    content = b"".join(chunks).decode()
    return "\n".join([*request, f"> {body.decode()}", *reply, f"< {content}\n"])


def test_session_matches_golden_transcript() -> None:
    harness = support.Harness()
    harness.site.seed()
    transcript = "\n".join(
        format_exchange(harness, *exchange) for exchange in SESSION
    )
    assert transcript == GOLDEN.read_text()
