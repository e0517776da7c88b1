"""The rule for whether a request may be retried."""

import enum

from pollenfork import failures
from pollenfork.settings import model


class RetryRule(enum.Enum):
    """Whether a request may be retried, and why."""

    NEVER_SENT = "never_sent"
    IDEMPOTENT = "idempotent"
    NOT_RUN_UNDER_KEY = "not_run_under_key"
    FORBIDDEN = "forbidden"


def decide_retry(
    method: str,
    service: model.ServiceSettings | None,
    has_key: bool,
    outcome: failures.Outcome,
    sent: bool = True,
) -> RetryRule:
    """Returns whether a request may be retried, and why.

    Args:
        method: The HTTP method.
        service: None for a request to a model, which has no side effects at
            its engine and may always be retried.
        has_key: The request has a claim in the ledger.
        outcome: Outcome of the last attempt.
        sent: Bytes of the request may have reached the endpoint. If so, a
            non-idempotent request without a key isn't retried, even if the
            endpoint reports that it refused the request before running it.
    """
    if outcome is failures.Outcome.DONE:
        return RetryRule.FORBIDDEN
    if not sent and outcome is failures.Outcome.NOT_RUN:
        return RetryRule.NEVER_SENT
    if service is None or method.upper() in service.repeatable_methods:
        return RetryRule.IDEMPOTENT
    if has_key and outcome is failures.Outcome.NOT_RUN:
        return RetryRule.NOT_RUN_UNDER_KEY
    return RetryRule.FORBIDDEN


def may_retry(
    method: str,
    service: model.ServiceSettings | None,
    has_key: bool,
    outcome: failures.Outcome,
    sent: bool = True,
) -> bool:
    """Returns whether a request may be retried; see `decide_retry`."""
    rule = decide_retry(method, service, has_key, outcome, sent)
    return rule is not RetryRule.FORBIDDEN
