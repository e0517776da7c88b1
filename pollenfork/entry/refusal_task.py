"""What the server refuses before the application: typed like the rest."""

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
    """The request didn't arrive whole in time."""

    code = http.HTTPStatus.REQUEST_TIMEOUT
    reason = http.HTTPStatus.REQUEST_TIMEOUT.phrase


class ServerRefusal:
    """The error of a request that the server refuses by its own limits."""

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
# waitress's limits lie above the settings' ones, so its text would mislead.
_TEXTS = {
    errors.Code.BODY_TOO_LARGE: "The body is over the limit.",
    errors.Code.HEADER_TOO_LONG: "The request line and headers are too long.",
}


class RefusalTask(waitress.task.ErrorTask):
    """Answers a request that never reaches the application.

    The server has to have a method `refuse` of the type `Refuse`.
    """

    def execute(self) -> None:
        """Writes the refusal and ends the connection."""
        refusal = describe_error(self.request.error)
        reply = self.channel.server.refuse(refusal)
        self.status = replies.format_status(reply.status)
        self.response_headers.extend(reply.headers)
        self.set_close_on_finish()
        self.channel.refused = True
        self.content_length = len(reply.body)
        self.write(reply.body)


def describe_error(error: Any) -> errors.Refusal:
    """Returns the refusal for an error of waitress's or the server's own."""
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
