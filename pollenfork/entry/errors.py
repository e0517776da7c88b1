"""Error replies to callers: their codes, texts and JSON encoding."""

import enum
import http
from typing import Any

import msgspec
import result

from pollenfork import failures
from pollenfork.admission import messages as admission_messages


class Code(enum.Enum):
    """The machine-readable `code` of an error reply."""

    BAD_JSON = "bad_json"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LONG = "header_too_long"
    TARGET_TOO_LONG = "target_too_long"
    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_SLOW = "request_too_slow"
    NOT_IMPLEMENTED = "not_implemented"
    WRONG_KEY = "wrong_key"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"  # Only in logs and counters.
    ENDPOINT_FAILED = "endpoint_failed"
    RUNNING = "idempotent_request_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    BAD_IDEMPOTENCY_KEY = "bad_idempotency_key"
    KEY_REUSED = "idempotency_key_reused"
    RECORD_UNAVAILABLE = "record_unavailable"
    INTERNAL_ERROR = "internal_error"


class Refusal(failures.Failure, frozen=True, kw_only=True):
    """An error reply to a caller, instead of an answer.

    Attributes:
        reason: A more specific cause than the code, used as a metric label;
            empty if the code says it all.
        retry_after_s: Seconds until a retry makes sense, where known.
        param: The invalid field of the body, if any.
        allow: The methods that the path supports, for a method that isn't.
    """

    status: http.HTTPStatus
    code: Code
    outcome: failures.Outcome = failures.Outcome.NOT_RUN
    reason: str = ""
    retry_after_s: float | None = None
    param: str | None = None
    allow: tuple[str, ...] = ()


def refuse(
    status: http.HTTPStatus, code: Code, detail: str, **more: Any
) -> result.Err[Refusal]:
    """Returns an `Err` with a refusal; `more` are further fields of it."""
    return result.Err(Refusal(status=status, code=code, detail=detail, **more))


class _ErrorBody(msgspec.Struct, frozen=True):
    message: str
    type: str
    code: str
    param: str | None = None


class _ErrorEnvelope(msgspec.Struct, frozen=True):
    error: _ErrorBody


def encode_body(refusal: Refusal) -> bytes:
    """Returns the refusal as JSON in OpenAI's error format."""
    kind = "server_error"
    if refusal.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        kind = "invalid_request_error"
    if refusal.status is http.HTTPStatus.TOO_MANY_REQUESTS:
        kind = "rate_limit_error"
    body = _ErrorBody(refusal.detail, kind, refusal.code.value, refusal.param)
    return msgspec.json.encode(_ErrorEnvelope(body))


_Reason = admission_messages.RefusalReason

_DETAILS = {
    _Reason.QUEUE_FULL: "Too many requests of this class are waiting.",
    _Reason.TARGET_UNREACHABLE: "The class's target can't be met now.",
    _Reason.EVICTED: "A more urgent request took the place in the queue.",
    _Reason.WAITED_TOO_LONG: "No endpoint became free in the class's time.",
    _Reason.ACCOUNT_LIMIT: "The account has too many requests at once.",
    _Reason.TEAM_LIMIT: "The team has too many requests at once.",
    _Reason.NO_ENDPOINT: "No endpoint carries this now.",
    _Reason.STOPPING: "This instance is stopping; connect again.",
    _Reason.CALLER_GONE: "The caller went away.",
    _Reason.INSTANCE_FULL: "This instance is full; connect again.",
    _Reason.RETRY_BUDGET: "The class has spent its retries.",
    _Reason.RETRY_TOO_LATE: "A retry would miss the class's time.",
    _Reason.RETRY_UNSAFE: "It may have run and must not run twice.",
    _Reason.HEDGE_UNWANTED: "No endpoint is idle enough for a copy.",
}
_LIMIT_REASONS = (_Reason.ACCOUNT_LIMIT, _Reason.TEAM_LIMIT)


def make_admission_refusal(refused: admission_messages.Refused) -> Refusal:
    """Returns the refusal for a request that the scheduler refused."""
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    code = Code.OVERLOADED
    if refused.reason in _LIMIT_REASONS:
        status = http.HTTPStatus.TOO_MANY_REQUESTS
    if refused.reason is _Reason.STOPPING:
        code = Code.STOPPING
    if refused.reason is _Reason.CALLER_GONE:
        code = Code.CALLER_GONE
    return Refusal(
        status=status,
        code=code,
        reason=refused.reason.value,
        retry_after_s=refused.retry_after_s,
        detail=_DETAILS[refused.reason] + " The request was not run.",
    )
