"""Typed replies to requests that the server itself refuses."""

from collections.abc import Callable
import http
from typing import Any

import waitress.task
import waitress.utilities

from pollenfork import failures
from pollenfork.entry import errors
from pollenfork.entry import replies

Refuse = Callable[[errors.Refusal], replies.Reply]


class RequestTooSlow(waitress.utilities.BadRequest):
    """The request didn't arrive completely in time."""

    code = http.HTTPStatus.REQUEST_TIMEOUT
    reason = http.HTTPStatus.REQUEST_TIMEOUT.phrase


class ServerRefusal:
    """Set as the `error` of a request that exceeds the server's own limits."""

    def __init__(self, refusal: errors.Refusal) -> None:
        self.refusal = refusal


_CODES: dict[int, errors.Code] = {
    http.HTTPStatus.BAD_REQUEST: errors.Code.MALFORMED_REQUEST,
    http.HTTPStatus.REQUEST_TIMEOUT: errors.Code.REQUEST_TOO_SLOW,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.Code.BODY_TOO_LARGE,
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
        errors.Code.HEADER_TOO_LONG
    ),
    http.HTTPStatus.NOT_IMPLEMENTED: errors.Code.NOT_IMPLEMENTED,
}
# waitress is given higher limits than the settings have, so its own text,
# which names the limit, would be wrong.
_TEXTS = {
    errors.Code.BODY_TOO_LARGE: "The body is over the limit.",
    errors.Code.HEADER_TOO_LONG: "The request line and headers are too long.",
}


class RefusalTask(waitress.task.ErrorTask):
    """Replies to a request that doesn't reach the application.

    The server must have a method `refuse` of type `Refuse`.
    """

    def execute(self) -> None:
        """Sends the refusal and closes the connection."""
        refusal = describe_error(self.request.error)
        reply = self.channel.server.refuse(refusal)
        self.status = replies.format_status(reply.status)
        self.response_headers.extend(reply.headers)
        self.set_close_on_finish()
        self.channel.refused = True
        self.content_length = len(reply.body)
        self.write(reply.body)


def describe_error(error: Any) -> errors.Refusal:
    """Returns the refusal for an error set by waitress or by the server."""
    if isinstance(error, ServerRefusal):
        return error.refusal
    status = http.HTTPStatus(int(error.code))
    code = _CODES.get(status)
    if code:
        said = _TEXTS.get(code, f"{status.phrase}: {error.body}.")
        detail = f"{said} The request was not run."
        return errors.Refusal(status=status, code=code, detail=detail)
    return errors.Refusal(
        status=http.HTTPStatus.INTERNAL_SERVER_ERROR,
        code=errors.Code.INTERNAL_ERROR,
        outcome=failures.Outcome.UNKNOWN,
        detail="The router failed; whether the request ran is not known.",
    )
