"""Error codes and bodies of the operator interface."""

import enum
import http

import msgspec

from pollenfork import failures
from pollenfork import ids
from pollenfork.settings import errors as settings_errors


class Code(enum.Enum):
    """The `code` of an error sent to an operator."""

    BAD_JSON = "bad_json"
    BAD_REQUEST = "bad_request"
    BAD_TREE = "bad_tree"
    BODY_TOO_LARGE = "body_too_large"
    FORBIDDEN = "forbidden"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_READY = "not_ready"
    NOT_WRITTEN = "not_written"
    REVISION_REQUIRED = "revision_required"
    STALE_REVISION = "stale_revision"
    UNAVAILABLE = "unavailable"
    UNKNOWN_PATH = "unknown_path"
    WRITE_ID_REUSED = "write_id_reused"
    WRITE_UNKNOWN = "write_unknown"
    WRONG_TOKEN = "wrong_token"


class Refusal(failures.Failure, frozen=True, kw_only=True):
    """The refusal of an operator's request.

    Attributes:
        outcome: Whether a write took effect, as far as is known.
        current: The current revision, where a write expected another one.
        retry_after_s: Delay before a retry; None sends no `Retry-After`.
        allow: Methods that the path supports, if another was used.
    """

    status: http.HTTPStatus
    code: Code
    outcome: failures.Outcome = failures.Outcome.NOT_RUN
    violations: tuple[settings_errors.Violation, ...] = ()
    current: ids.Revision | None = None
    retry_after_s: float | None = None
    allow: str = ""


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The JSON object that describes an error.

    Attributes:
        violations: All rules that an invalid tree violates.
        revision: The current revision, where a write expected another
            one.
    """

    code: str
    message: str
    violations: tuple[settings_errors.Violation, ...] = ()
    revision: ids.Revision | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """The body of every refusal."""

    error: ErrorBody


def encode_body(refusal: Refusal) -> bytes:
    """Encodes the refusal as JSON."""
    body = ErrorBody(
        code=refusal.code.value,
        message=refusal.detail,
        violations=refusal.violations,
        revision=refusal.current,
    )
    return msgspec.json.encode(ErrorEnvelope(body))


def make_settings_refusal(failure: settings_errors.SettingsFailure) -> Refusal:
    """Maps a failed read or write of settings to a refusal."""
    status, code = _REFUSALS.get(type(failure), _UNAVAILABLE)
    refusal = Refusal(status=status, code=code, detail=failure.detail)
    match failure:
        case settings_errors.BadTree() | settings_errors.BadDocument():
            return msgspec.structs.replace(
                refusal, violations=failure.violations
            )
        case settings_errors.Stale():
            return msgspec.structs.replace(refusal, current=failure.current)
        case settings_errors.NotWritten():
            return msgspec.structs.replace(
                refusal, retry_after_s=failure.retry_after_s
            )
        case settings_errors.WriteUnknown():
            return msgspec.structs.replace(
                refusal,
                outcome=failures.Outcome.UNKNOWN,
                retry_after_s=failure.retry_after_s,
            )
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        return msgspec.structs.replace(refusal, retry_after_s=_RETRY_AFTER_S)
    return refusal


_RETRY_AFTER_S = 1.0
_UNAVAILABLE = (http.HTTPStatus.SERVICE_UNAVAILABLE, Code.UNAVAILABLE)
_REFUSALS = {
    settings_errors.BadDocument: (http.HTTPStatus.BAD_REQUEST, Code.BAD_JSON),
    settings_errors.BadTree: (
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        Code.BAD_TREE,
    ),
    settings_errors.Forbidden: (http.HTTPStatus.FORBIDDEN, Code.FORBIDDEN),
    settings_errors.NoSuchPath: (http.HTTPStatus.NOT_FOUND, Code.UNKNOWN_PATH),
    settings_errors.NotReady: (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        Code.NOT_READY,
    ),
    settings_errors.NotWritten: (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        Code.NOT_WRITTEN,
    ),
    settings_errors.Stale: (
        http.HTTPStatus.PRECONDITION_FAILED,
        Code.STALE_REVISION,
    ),
    settings_errors.UnknownOperator: (
        http.HTTPStatus.UNAUTHORIZED,
        Code.WRONG_TOKEN,
    ),
    settings_errors.WriteIdReused: (
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        Code.WRITE_ID_REUSED,
    ),
    settings_errors.WriteUnknown: (
        http.HTTPStatus.GATEWAY_TIMEOUT,
        Code.WRITE_UNKNOWN,
    ),
}
