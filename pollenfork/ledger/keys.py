"""Identity of a request with an `Idempotency-Key` header."""

import hashlib
import re

import msgspec
import result

from pollenfork import failures
from pollenfork import ids

KEY_LIMIT = 255
ROW_PREFIX = "ledger/"

_QUOTED = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*)"')
_ESCAPED = re.compile(r'\\(["\\])')
_BARE = re.compile(r"[\x21\x23-\x5b\x5d-\x7e]+")


class BadKey(failures.Failure, frozen=True, kw_only=True):
    """The `Idempotency-Key` header is invalid; `detail` has the reason."""


class RequestKey(msgspec.Struct, frozen=True):
    """A key chosen by a client, unique within its account."""

    account: ids.AccountId
    key: str

    @property
    def row(self) -> str:
        """Key of the record's row in the table."""
        return ROW_PREFIX + _digest(self.account, self.key).hexdigest()


def read_header(
    account: ids.AccountId, header: str
) -> result.Result[RequestKey, BadKey]:
    """Parses an `Idempotency-Key` header: a quoted or unquoted string.

    The draft standard requires a quoted string (RFC 8941), but many clients
    omit the quotes. Both forms of the same characters are the same key.
    """
    text = header.strip()
    quoted = _QUOTED.fullmatch(text)
    if quoted:
        key = _ESCAPED.sub(r"\1", quoted[1])
    elif _BARE.fullmatch(text):
        key = text
    else:
        return result.Err(BadKey(detail="Idempotency-Key: not a string"))
    if not 0 < len(key) <= KEY_LIMIT:
        detail = f"Idempotency-Key: 1 to {KEY_LIMIT} characters"
        return result.Err(BadKey(detail=detail))
    return result.Ok(RequestKey(account, key))


def compute_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns a 32-byte digest of the method, path and body."""
    digest = _digest(method, path)
    digest.update(body)
    return digest.digest()


def make_answer_key(row: str, attempt: ids.AttemptId) -> str:
    """Returns the object store key of the attempt's answer."""
    return f"{row}/{attempt}"


def _digest(*parts: str) -> "hashlib._Hash":
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest
