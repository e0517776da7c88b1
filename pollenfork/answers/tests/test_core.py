"""Limits and safety of the recovery decisions."""

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork import failures
from pollenfork.answers import core
from pollenfork.answers import errors
from pollenfork.answers import messages

LIMITS = messages.Limits()
Cause = errors.Cause
CAUSES = [cause for cause in Cause if cause is not Cause.CALLER_GONE]


def make_recovery(idempotent: bool) -> core.Recovery:
    return core.Recovery(
        streamed=True, idempotent=idempotent, give_up_at=10.0, limits=LIMITS
    )


@hypothesis.given(
    causes=strategies.lists(strategies.sampled_from(CAUSES), min_size=60),
    idempotent=strategies.booleans(),
    relayed=strategies.booleans(),
)
def test_recovery_ends_and_never_reruns_unsafe_requests(
    causes: list[errors.Cause], idempotent: bool, relayed: bool
) -> None:
    recovery = make_recovery(idempotent)
    in_doubt = False
    for tries, cause in enumerate(causes):
        position = 3 if relayed else 0
        progress = core.Progress(
            relayed=relayed,
            position=position,
            numbered=relayed,
            text_available=True,
        )
        action = recovery.decide(cause, progress, now=0.0)
        in_doubt = in_doubt or cause not in core.PROVED_NOT_RUN
        if isinstance(action, core.GiveUp):
            break
        sends_again = isinstance(action, core.Restart | core.Continue)
        assert not (sends_again and in_doubt and not idempotent)
        assert isinstance(action, core.Continue) <= relayed
        assert isinstance(action, core.Restart) <= (not relayed)
        rounds = max(LIMITS.attempts, LIMITS.continuations + 1)
        assert tries < rounds * (LIMITS.resumes + 1)
    assert isinstance(action, core.GiveUp)
    if recovery.outcome is failures.Outcome.NOT_RUN:
        assert not in_doubt


@pytest.mark.parametrize("cause", [Cause.NEVER_SENT, Cause.REFUSED])
def test_no_attempt_starts_after_the_deadline(cause: errors.Cause) -> None:
    recovery = make_recovery(idempotent=True)
    action = recovery.decide(cause, core.Progress(), now=10.0)
    assert action == core.GiveUp(cause)
    assert recovery.outcome is failures.Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("causes", "resent"),
    [
        ((Cause.NEVER_SENT,), True),
        ((Cause.NEVER_SENT, Cause.NEVER_SENT), True),
        ((Cause.REFUSED,), False),
        ((Cause.REFUSED, Cause.NEVER_SENT), False),
        ((Cause.NO_HEAD,), False),
    ],
)
def test_what_may_run_once_is_sent_again_only_if_no_byte_was_sent(
    causes: tuple[errors.Cause, ...], resent: bool
) -> None:
    recovery = core.Recovery(
        streamed=False, idempotent=False, give_up_at=10.0, limits=LIMITS
    )
    for cause in causes:
        action = recovery.decide(cause, core.Progress(), now=0.0)
    assert isinstance(action, core.Restart) == resent


def test_new_events_reset_the_resume_limit() -> None:
    recovery = make_recovery(idempotent=False)
    for position in range(1, 20):
        progress = core.Progress(
            relayed=True, position=position, numbered=True, text_available=True
        )
        action = recovery.decide(Cause.CLOSED, progress, now=0.0)
        assert action == core.Resume(position)
