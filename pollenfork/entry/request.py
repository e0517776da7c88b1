"""A caller's HTTP request, checked and typed."""

from collections.abc import Mapping
import http
from typing import Any

import msgspec
import result
import xxhash

from pollenfork import failures
from pollenfork import ids
from pollenfork.entry import errors
from pollenfork.settings import model
from pollenfork.settings import snapshot

CLASS_HEADER = "HTTP_X_SERVICE_CLASS"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
MAX_KEY_LENGTH = 255
_PREFIX_BYTES = 1024
_BYTES_PER_TOKEN = 4
_BEARER = "Bearer "


class Prompt(msgspec.Struct):
    """The fields of a completion request that the router reads."""

    model: str
    stream: bool = False
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def read_limit(self) -> int | None:
        """Returns the caller's own bound on the answer's tokens."""
        return self.max_completion_tokens or self.max_tokens


class Identity(msgspec.Struct, frozen=True):
    """Who asks, and in which class."""

    caller: snapshot.Caller
    class_name: ids.ClassName
    service_class: model.ServiceClass


_PROMPT_DECODER = msgspec.json.Decoder(Prompt)


def identify(
    environ: Mapping[str, Any], lookups: snapshot.Snapshot
) -> result.Result[Identity, errors.Refusal]:
    """Returns whose key the request carries and the class it names."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    caller = None
    if header.startswith(_BEARER):
        caller = lookups.find_caller(header[len(_BEARER) :])
    if caller is None:
        return _refuse(
            http.HTTPStatus.UNAUTHORIZED,
            errors.Code.WRONG_KEY,
            "The key is missing or unknown; send Authorization: Bearer KEY.",
        )
    name = ids.ClassName(
        environ.get(CLASS_HEADER) or caller.settings.default_class
    )
    found = lookups.find_class(caller.team, name)
    if found is None or name not in caller.settings.classes:
        return _refuse(
            http.HTTPStatus.FORBIDDEN,
            errors.Code.UNKNOWN_CLASS,
            f"The account has no class {name!r}; name one it is bound to.",
        )
    return result.Ok(Identity(caller, name, found))


def read_body(
    environ: Mapping[str, Any], limit: int
) -> result.Result[bytes, errors.Refusal]:
    """Returns the request's body, at most `limit` bytes."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        return _refuse(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            errors.Code.BODY_TOO_LARGE,
            f"The body has {length} bytes; the limit is {limit}.",
        )
    return result.Ok(environ["wsgi.input"].read(length) if length else b"")


def read_prompt(body: bytes) -> result.Result[Prompt, errors.Refusal]:
    """Returns what the router needs of a completion request."""
    try:
        prompt = _PROMPT_DECODER.decode(body)
    except msgspec.ValidationError as error:
        return _refuse_bad(errors.Code.BAD_REQUEST, str(error))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _refuse_bad(errors.Code.BAD_JSON, str(error))
    if not bytes(prompt.messages) and not bytes(prompt.prompt):
        detail = "The request has neither `messages` nor `prompt`."
        return _refuse_bad(errors.Code.BAD_REQUEST, detail)
    return result.Ok(prompt)


def hash_prefix(prompt: Prompt) -> int:
    """Returns a hash of the prompt's head, equal for equal heads."""
    text = bytes(prompt.messages) or bytes(prompt.prompt)
    return xxhash.xxh3_64_intdigest(text[:_PREFIX_BYTES])


def estimate_tokens(prompt: Prompt) -> int:
    """Returns about how many tokens the prompt has."""
    text = bytes(prompt.messages) or bytes(prompt.prompt)
    return len(text) // _BYTES_PER_TOKEN


def _refuse_bad(code: errors.Code, detail: str) -> result.Err[errors.Refusal]:
    return _refuse(http.HTTPStatus.BAD_REQUEST, code, detail)


def _refuse(
    status: http.HTTPStatus, code: errors.Code, detail: str
) -> result.Err[errors.Refusal]:
    return result.Err(
        errors.Refusal(
            status=status,
            code=code,
            outcome=failures.Outcome.NOT_RUN,
            detail=detail,
        )
    )
