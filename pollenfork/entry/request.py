"""Validation and parsing of callers' HTTP requests."""

from collections.abc import Mapping
import http
import re
from typing import Annotated, Any

import msgspec
import result
import xxhash

from pollenfork import ids
from pollenfork.entry import errors
from pollenfork.settings import model
from pollenfork.settings import snapshot

Environ = Mapping[str, Any]

CLASS_HEADER = "HTTP_X_SERVICE_CLASS"
MAX_HEADERS = 100
MAX_TARGET_LENGTH = 4096
_MAX_QUOTED_LENGTH = 64
_PREFIX_BYTES = 1024
_BYTES_PER_TOKEN = 4
_BEARER = "bearer "
_FIELD_NAME = re.compile(r"required field `(\w+)`|`\$\.(\w+)")

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class Prompt(msgspec.Struct):
    """The fields of a completion request that the router reads."""

    model: str
    stream: bool | None = None
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    max_tokens: _NonNegativeInt | None = None
    max_completion_tokens: _NonNegativeInt | None = None
    n: _PositiveInt | None = None
    continue_from: msgspec.Raw = msgspec.Raw()

    def get_max_tokens(self) -> int | None:
        """Returns the caller's limit on the answer's tokens, if any."""
        return self.max_completion_tokens or self.max_tokens

    def get_text(self) -> bytes:
        """Returns the messages or the prompt as raw JSON from the body."""
        return bytes(self.messages) or bytes(self.prompt)


class Identity(msgspec.Struct, frozen=True):
    """The account behind a request and the class that it runs in."""

    caller: snapshot.Caller
    class_name: ids.ClassName
    service_class: model.ServiceClass


_PROMPT_DECODER = msgspec.json.Decoder(Prompt)


def check_head(environ: Environ) -> result.Result[None, errors.Refusal]:
    """Refuses a request target that is too long, or too many headers."""
    if len(environ.get("REQUEST_URI", "")) > MAX_TARGET_LENGTH:
        return errors.refuse(
            http.HTTPStatus.REQUEST_URI_TOO_LONG,
            errors.Code.TARGET_TOO_LONG,
            f"The path and query exceed {MAX_TARGET_LENGTH} bytes.",
        )
    if sum(name.startswith("HTTP_") for name in environ) > MAX_HEADERS:
        return errors.refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            errors.Code.HEADER_TOO_LONG,
            f"The request has more than {MAX_HEADERS} headers.",
            reason="too_many_headers",
        )
    return result.Ok(None)


def check_method(
    environ: Environ, allowed: tuple[str, ...]
) -> result.Result[None, errors.Refusal]:
    """Refuses a method that isn't allowed."""
    method = environ["REQUEST_METHOD"]
    if method in allowed:
        return result.Ok(None)
    return errors.refuse(
        http.HTTPStatus.METHOD_NOT_ALLOWED,
        errors.Code.METHOD_NOT_ALLOWED,
        f"The path takes {', '.join(allowed)}, not {shorten(method)}.",
        allow=allowed,
    )


def authenticate(
    environ: Environ, settings: snapshot.Snapshot
) -> result.Result[snapshot.Caller, errors.Refusal]:
    """Returns the caller that the request's API key belongs to."""
    header = environ.get("HTTP_AUTHORIZATION", "")
    scheme, key = header[: len(_BEARER)], header[len(_BEARER) :].strip()
    if scheme.lower() != _BEARER or not key:
        return _refuse_key("missing_key", "The key is missing")
    caller = settings.find_caller(key)
    if caller is None:
        return _refuse_key("unknown_key", "The key is unknown")
    return result.Ok(caller)


def choose_class(
    environ: Environ, caller: snapshot.Caller, settings: snapshot.Snapshot
) -> result.Result[Identity, errors.Refusal]:
    """Returns the class from the header, or else the account's default."""
    name = ids.ClassName(
        environ.get(CLASS_HEADER) or caller.settings.default_class
    )
    found = settings.find_class(caller.team, name)
    if found is None or name not in caller.settings.classes:
        return errors.refuse(
            http.HTTPStatus.FORBIDDEN,
            errors.Code.UNKNOWN_CLASS,
            f"The account has no class {shorten(name)!r};"
            " name one it is bound to in X-Service-Class.",
        )
    return result.Ok(Identity(caller, name, found))


def read_body(
    environ: Environ, limit: int
) -> result.Result[bytes, errors.Refusal]:
    """Returns the request's body, at most `limit` bytes."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        return errors.refuse(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            errors.Code.BODY_TOO_LARGE,
            f"The body has {length} bytes; the limit is {limit}.",
        )
    return result.Ok(environ["wsgi.input"].read(length) if length else b"")


def parse_prompt(
    body: bytes, chat: bool
) -> result.Result[Prompt, errors.Refusal]:
    """Parses the fields of a completion request that the router uses.

    Args:
        body: The request's body.
        chat: Whether it is a chat completion.
    """
    try:
        if not body.isascii():
            body.decode()
        prompt = _PROMPT_DECODER.decode(body)
    except msgspec.ValidationError as error:
        return _refuse_field(str(error), _find_param(str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _refuse_json(str(error))
    except RecursionError:
        return _refuse_json("The JSON is nested too deeply.")
    return _check_prompt(prompt, chat)


def _check_prompt(
    prompt: Prompt, chat: bool
) -> result.Result[Prompt, errors.Refusal]:
    if chat and not bytes(prompt.messages).startswith(b"["):
        return _refuse_field("`messages` must be an array.", "messages")
    if chat and not bytes(prompt.messages)[1:-1].strip():
        return _refuse_field("`messages` is empty.", "messages")
    if not chat and not bytes(prompt.prompt).startswith((b'"', b"[")):
        return _refuse_field("`prompt` must be text or an array.", "prompt")
    if prompt.stream and prompt.n and prompt.n > 1:
        return _refuse_field("A stream has one choice: `n` must be 1.", "n")
    if bytes(prompt.continue_from):
        return _refuse_field(
            "`continue_from` is reserved to the router.", "continue_from"
        )
    return result.Ok(prompt)


def hash_prefix(prompt: Prompt) -> int:
    """Returns a hash of the first bytes of the prompt."""
    return xxhash.xxh3_64_intdigest(prompt.get_text()[:_PREFIX_BYTES])


def estimate_tokens(prompt: Prompt) -> int:
    """Returns an estimate of the prompt's length in tokens."""
    return len(prompt.get_text()) // _BYTES_PER_TOKEN


def shorten(text: str) -> str:
    """Returns text from a caller, truncated for an error message."""
    if len(text) <= _MAX_QUOTED_LENGTH:
        return text
    return text[:_MAX_QUOTED_LENGTH] + "..."


def _find_param(detail: str) -> str | None:
    """Returns the field that is named in an error message of msgspec."""
    found = _FIELD_NAME.search(detail)
    return found[1] or found[2] if found else None


def _refuse_key(reason: str, detail: str) -> result.Err[errors.Refusal]:
    return errors.refuse(
        http.HTTPStatus.UNAUTHORIZED,
        errors.Code.WRONG_KEY,
        f"{detail}; send Authorization: Bearer KEY.",
        reason=reason,
    )


def _refuse_json(detail: str) -> result.Err[errors.Refusal]:
    status = http.HTTPStatus.BAD_REQUEST
    return errors.refuse(status, errors.Code.BAD_JSON, detail)


def _refuse_field(detail: str, param: str | None) -> result.Err[errors.Refusal]:
    return errors.refuse(
        http.HTTPStatus.BAD_REQUEST,
        errors.Code.BAD_REQUEST,
        detail,
        param=param,
    )
