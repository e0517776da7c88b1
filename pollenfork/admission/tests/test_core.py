"""Order, limits, eviction and expiry of waiting requests."""

from typing import Any

import pytest

from pollenfork.admission import core
from pollenfork.admission import messages

FAR = 1000.0


def make_ask(name: str, **changed: Any) -> messages.Ask:
    fields: dict[str, Any] = {
        "request": name,
        "team": "linework",
        "account": "crew",
        "class_name": "questions",
        "tier": 3,
        "model": "lines",
        "arrived": 0.0,
        "first_token_due": 10.0,
        "give_up_at": 30.0,
    }
    return messages.Ask(**{**fields, **changed})


def fill(queue: core.Admission, *asks: messages.Ask) -> None:
    for ask in asks:
        queue.add(ask, FAR)


def drain(queue: core.Admission, now: float = 0.0) -> list[str]:
    served = []
    for pool, tier in queue.list_queues():
        while waiting := queue.peek(pool, tier, now):
            queue.dequeue(waiting)
            served.append(waiting.ask.request)
    return served


def test_urgent_tier_goes_first_then_the_earliest_deadline() -> None:
    queue = core.Admission(8)
    fill(
        queue,
        make_ask("low", tier=5, first_token_due=1.0),
        make_ask("later", first_token_due=9.0),
        make_ask("sooner", first_token_due=8.0, class_name="prices"),
        make_ask("top", tier=0, first_token_due=20.0),
    )
    assert drain(queue) == ["top", "sooner", "later", "low"]


def test_large_account_cannot_delay_the_rest_of_its_class() -> None:
    queue = core.Admission(100)
    fill(queue, *[make_ask(f"large-{n}", account="large") for n in range(50)])
    fill(queue, *[make_ask(f"small-{n}", account="small") for n in range(3)])
    assert set(drain(queue)[:6]) >= {"small-0", "small-1", "small-2"}


def test_request_that_can_still_meet_its_target_precedes_a_late_one() -> None:
    queue = core.Admission(8)
    fill(
        queue,
        make_ask("late", first_token_due=1.0),
        make_ask("in-time", first_token_due=9.0),
    )
    assert drain(queue, now=2.0) == ["in-time", "late"]


@pytest.mark.parametrize(
    ("waiting", "ask", "victim"),
    [
        # The latest deadline of the lowest tier is evicted.
        (
            [
                make_ask("a", tier=4),
                make_ask("b", tier=5, first_token_due=7.0),
                make_ask("c", tier=5, first_token_due=8.0),
            ],
            make_ask("x", tier=1),
            "c",
        ),
        # A protected request outlasts an unprotected one of a higher tier.
        (
            [make_ask("a", tier=4), make_ask("b", tier=5, protected=True)],
            make_ask("x", tier=1),
            "a",
        ),
        # A protected request is evicted if nothing else is left.
        ([make_ask("a", tier=5, protected=True)], make_ask("x", tier=1), "a"),
        # Nothing is evicted for the same tier or a lower one.
        ([make_ask("a", tier=3)], make_ask("x", tier=3), None),
        ([make_ask("a", tier=3)], make_ask("x", tier=6), None),
    ],
)
def test_full_queue_evicts_only_lower_tiers(
    waiting: list[messages.Ask], ask: messages.Ask, victim: str | None
) -> None:
    queue = core.Admission(len(waiting))
    fill(queue, *waiting)
    refusal = queue.find_refusal(ask)
    if victim is None:
        assert refusal is messages.RefusalReason.QUEUE_FULL
        return
    assert refusal is None
    queue.add(ask, FAR)
    evicted = queue.pop_victims(ask.tier)
    assert [(w.ask.request, r.value) for w, r in evicted] == [
        (victim, "evicted")
    ]
    assert "x" in drain(queue)


def test_work_that_ran_is_never_evicted() -> None:
    queue = core.Admission(1)
    queue.add_again(make_ask("ran", tier=6), (), FAR)
    refusal = queue.find_refusal(make_ask("x", tier=0))
    assert refusal is messages.RefusalReason.QUEUE_FULL


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        ({"account_limit": 2}, messages.RefusalReason.ACCOUNT_LIMIT),
        ({"team_limit": 2}, messages.RefusalReason.TEAM_LIMIT),
        ({"max_waiting": 2}, messages.RefusalReason.QUEUE_FULL),
    ],
)
def test_limits_count_open_requests_and_free_them(
    limits: dict[str, int], reason: messages.RefusalReason
) -> None:
    queue = core.Admission(100)
    fill(queue, make_ask("a"), make_ask("b"))
    ask = make_ask("c", **limits)
    assert queue.find_refusal(ask) is reason
    queue.withdraw("a")
    assert queue.find_refusal(ask) is None


@pytest.mark.parametrize(
    ("expires_at", "give_up_at", "reason"),
    [
        (5.0, 30.0, messages.RefusalReason.TARGET_UNREACHABLE),
        (30.0, 30.0, messages.RefusalReason.WAITED_TOO_LONG),
    ],
)
def test_request_is_removed_as_soon_as_it_expires(
    expires_at: float, give_up_at: float, reason: messages.RefusalReason
) -> None:
    queue = core.Admission(8)
    queue.add(make_ask("a", give_up_at=give_up_at), expires_at)
    assert queue.pop_expired(expires_at - 0.01) == []
    [(waiting, found)] = queue.pop_expired(expires_at)
    assert (waiting.ask.request, found) == ("a", reason)
    assert queue.size == 0
    assert drain(queue) == []
