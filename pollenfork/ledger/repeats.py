"""The one rule on whether a request may be sent again."""

import enum

from pollenfork import failures
from pollenfork.settings import model


class Repeat(enum.Enum):
    """Whether another attempt may be sent, and why."""

    NEVER_SENT = "never_sent"
    IDEMPOTENT = "idempotent"
    NOT_RUN_UNDER_KEY = "not_run_under_key"
    FORBIDDEN = "forbidden"


def judge_repeat(
    method: str,
    service: model.ServiceSettings | None,
    has_key: bool,
    outcome: failures.Outcome,
    sent: bool = True,
) -> Repeat:
    """Returns whether another attempt may be sent, and why.

    Args:
        method: The HTTP method.
        service: None for a model's request, which changes nothing at its
            engine and so may always be repeated.
        has_key: A claim in the ledger is held for the request.
        outcome: Of the last attempt.
        sent: A byte of it may have reached the endpoint. A non-idempotent
            request without a key is not sent again then, even where the
            endpoint says that it refused it before it ran.
    """
    if outcome is failures.Outcome.DONE:
        return Repeat.FORBIDDEN
    if not sent and outcome is failures.Outcome.NOT_RUN:
        return Repeat.NEVER_SENT
    if service is None or method.upper() in service.repeatable_methods:
        return Repeat.IDEMPOTENT
    if has_key and outcome is failures.Outcome.NOT_RUN:
        return Repeat.NOT_RUN_UNDER_KEY
    return Repeat.FORBIDDEN


def may_repeat(
    method: str,
    service: model.ServiceSettings | None,
    has_key: bool,
    outcome: failures.Outcome,
    sent: bool = True,
) -> bool:
    """Returns whether another attempt may be sent; see `judge_repeat`."""
    repeat = judge_repeat(method, service, has_key, outcome, sent)
    return repeat is not Repeat.FORBIDDEN
