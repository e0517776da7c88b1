"""Retry budgets when an endpoint breaks many attempts at once."""

from typing import Any

import pytest

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import budget
from pollenfork.dispatch import messages

SLOTS = 16  # The default number of slots of an endpoint.
RATIO = 0.1

_Reason = admission_messages.RefusalReason
_Retry = messages.RetryReason


def make_ask(name: str, **changed: Any) -> admission_messages.Ask:
    fields: dict[str, Any] = {
        "request": name,
        "team": "linework",
        "account": "dispatch",
        "class_name": "morning",
        "tier": 0,
        "model": "lines",
        "arrived": 0.0,
        "first_token_due": 3.0,
        "give_up_at": 60.0,
        "retry_ratio": RATIO,
        **changed,
    }
    return admission_messages.Ask(**fields)


def count_retries(budgets: budget.RetryBudgets, asked: int) -> int:
    """Returns how many of the requests get a second attempt."""
    reason = _Retry.BROKEN_BEFORE_FIRST
    refusals = [
        budgets.charge(make_ask(f"q{n}"), reason, 1, 1.0) for n in range(asked)
    ]
    assert set(refusals) <= {None, _Reason.RETRY_BUDGET}
    return refusals.count(None)


def make_budgets(first_attempts: int) -> budget.RetryBudgets:
    budgets = budget.RetryBudgets()
    for n in range(first_attempts):
        budgets.earn(make_ask(f"q{n}"))
    return budgets


@pytest.mark.parametrize(
    ("first_attempts", "granted"),
    [
        (1, 2),
        (SLOTS, 3),
        (
            9 * SLOTS,
            SLOTS,
        ),  # All engines are full of the class, and one crashes.
        (
            10_000,
            SLOTS,
        ),  # A long period without retries covers no more than one engine.
    ],
)
def test_budget_covers_the_crash_of_one_full_engine(
    first_attempts: int, granted: int
) -> None:
    budgets = make_budgets(first_attempts)
    assert count_retries(budgets, 2 * SLOTS) == granted


def test_retries_stay_within_the_ratio_if_every_attempt_breaks() -> None:
    budgets = make_budgets(0)
    retries = 0
    for n in range(1000):
        budgets.earn(make_ask(f"q{n}"))
        retries += count_retries(budgets, 1)
    assert 100 <= retries <= 100 + 2
