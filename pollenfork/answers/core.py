"""Decides what to do when an attempt fails or an answer breaks; does no I/O."""

import enum

import msgspec

from pollenfork import failures
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.dispatch import messages as dispatch_messages

_Cause = errors.Cause
_Retry = dispatch_messages.RetryReason

PROVED_NOT_RUN = frozenset({_Cause.NEVER_SENT, _Cause.REFUSED})
# The endpoint may still hold the answer, so its rest can be requested.
_RESUMABLE = frozenset(
    {
        _Cause.NO_HEAD,
        _Cause.CLOSED,
        _Cause.STALLED,
        _Cause.GAP,
        _Cause.FOREIGN,
    }
)


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an answer.

    Attributes:
        relayed: Bytes have been sent to the caller.
        position: The position expected next.
        numbered: The engine numbers its events.
        text_available: The text relayed so far is still buffered.
    """

    relayed: bool = False
    position: int = 0
    numbered: bool = False
    text_available: bool = False


class Resume(msgspec.Struct, frozen=True):
    """Request the rest from the same engine, starting at `position`."""

    position: int


class Continue(msgspec.Struct, frozen=True):
    """Let another engine continue from `position`."""

    position: int


class Restart(msgspec.Struct, frozen=True):
    """Send the request to another endpoint; nothing has been relayed yet."""

    reason: dispatch_messages.RetryReason


class GiveUp(msgspec.Struct, frozen=True):
    """Report the failure to the caller."""

    cause: errors.Cause


Action = Resume | Continue | Restart | GiveUp


class Phase(enum.Enum):
    """What the current connection was opened for."""

    SEND = "send"
    RESUME = "resume"
    CONTINUE = "continue"


class Recovery:
    """Recovery decisions for one request: maps failure causes to actions.

    Attributes:
        in_doubt: Number of attempts that aren't proved not to have run.
    """

    def __init__(
        self,
        *,
        streamed: bool,
        idempotent: bool,
        give_up_at: float,
        limits: messages.Limits,
    ) -> None:
        self.in_doubt = 0
        self._streamed = streamed
        self._idempotent = idempotent
        self._give_up_at = give_up_at
        self._limits = limits
        self._never_sent = True  # No byte of it has reached an endpoint.
        self._phase = Phase.SEND
        self._attempts = 1
        self._continuations = 0
        self._resumes = 0
        self._resume_position = -1

    @property
    def outcome(self) -> failures.Outcome:
        """What is known of the request's effect if it is given up now."""
        if self.in_doubt:
            return failures.Outcome.UNKNOWN
        return failures.Outcome.NOT_RUN

    def decide(
        self, cause: errors.Cause, progress: Progress, now: float
    ) -> Action:
        """Returns the action to take after a failure with `cause`."""
        self._never_sent = self._never_sent and cause is _Cause.NEVER_SENT
        # A failed resume adds nothing in doubt: the attempt was counted when
        # it was sent.
        if self._phase is not Phase.RESUME and cause not in PROVED_NOT_RUN:
            self.in_doubt += 1
        if cause is _Cause.CALLER_GONE:
            return GiveUp(cause)
        if self._may_resume(cause, progress):
            return self._resume(progress)
        if progress.relayed:
            return self._continue(cause, progress)
        return self._restart(cause, now)

    def record_not_run(self) -> None:
        """Records that a cancel proved the last attempt in doubt not run."""
        self.in_doubt = max(0, self.in_doubt - 1)

    def _may_resume(self, cause: errors.Cause, progress: Progress) -> bool:
        if not self._streamed or cause not in _RESUMABLE:
            return False
        if progress.relayed and not progress.numbered:
            return False
        if progress.position > self._resume_position:
            self._resumes = 0
        return self._resumes < self._limits.resumes

    def _resume(self, progress: Progress) -> Action:
        self._phase = Phase.RESUME
        self._resumes += 1
        self._resume_position = progress.position
        return Resume(progress.position)

    def _continue(self, cause: errors.Cause, progress: Progress) -> Action:
        possible = (
            self._idempotent
            and progress.text_available
            and progress.numbered
            and self._continuations < self._limits.continuations
        )
        if not possible:
            return GiveUp(cause)
        self._phase = Phase.CONTINUE
        self._continuations += 1
        self._resumes = 0
        return Continue(progress.position)

    def _restart(self, cause: errors.Cause, now: float) -> Action:
        # A refusal is enough proof to tell the caller that the request didn't
        # run, but not to resend a request that isn't idempotent.
        never_sent = cause is _Cause.NEVER_SENT and self._never_sent
        if not (never_sent or self._idempotent):
            return GiveUp(cause)
        if self._attempts >= self._limits.attempts or now >= self._give_up_at:
            return GiveUp(cause)
        self._phase = Phase.SEND
        self._attempts += 1
        self._resumes = 0
        self._resume_position = -1
        match cause:
            case _Cause.NEVER_SENT:
                return Restart(_Retry.NEVER_SENT)
            case _Cause.REFUSED:
                return Restart(_Retry.REFUSED_BY_ENDPOINT)
        return Restart(_Retry.BROKEN_BEFORE_FIRST)
