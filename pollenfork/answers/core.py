"""What to do when an attempt fails or an answer breaks: decisions only."""

import enum

import msgspec

from pollenfork import failures
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.dispatch import messages as dispatch_messages

_Cause = errors.Cause
_Retry = dispatch_messages.RetryReason

PROVED_NOT_RUN = frozenset({_Cause.NEVER_SENT, _Cause.REFUSED})
# The endpoint may still hold the answer: ask it for the rest.
_RESUMABLE = frozenset(
    {_Cause.NO_HEAD, _Cause.CLOSED, _Cause.STALLED, _Cause.GAP}
)


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """How far an answer has come.

    Attributes:
        relayed: Something has been passed on to the caller.
        position: The position expected next.
        numbered: The engine numbers its events.
        kept: The text so far is at hand.
    """

    relayed: bool = False
    position: int = 0
    numbered: bool = False
    kept: bool = False


class Resume(msgspec.Struct, frozen=True):
    """Ask the same engine for the rest, from `position`."""

    position: int


class Continue(msgspec.Struct, frozen=True):
    """Let another engine go on from `position`."""

    position: int


class Restart(msgspec.Struct, frozen=True):
    """Send the request to another endpoint; the caller has seen nothing."""

    reason: dispatch_messages.RetryReason


class GiveUp(msgspec.Struct, frozen=True):
    """Tell the caller."""

    cause: errors.Cause


Action = Resume | Continue | Restart | GiveUp


class Phase(enum.Enum):
    """What the connection in use was made for."""

    SEND = "send"
    RESUME = "resume"
    CONTINUE = "continue"


class Recovery:
    """The decisions over one request; fed with causes, answers actions.

    Attributes:
        in_doubt: Attempts of which it isn't proved that they didn't run.
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
        self._unsent = True  # No byte of it has reached an endpoint.
        self._phase = Phase.SEND
        self._attempts = 1
        self._continuations = 0
        self._resumes = 0
        self._resumed_at = -1

    @property
    def outcome(self) -> failures.Outcome:
        """What is known of the request's effect, should it be given up."""
        if self.in_doubt:
            return failures.Outcome.UNKNOWN
        return failures.Outcome.NOT_RUN

    def decide(
        self, cause: errors.Cause, progress: Progress, now: float
    ) -> Action:
        """Returns what to do about `cause`."""
        self._unsent = self._unsent and cause is _Cause.NEVER_SENT
        # A resume that fails adds no doubt: the sending before it did.
        if self._phase is not Phase.RESUME and cause not in PROVED_NOT_RUN:
            self.in_doubt += 1
        if cause is _Cause.CALLER_GONE:
            return GiveUp(cause)
        if self._may_resume(cause, progress):
            return self._resume(progress)
        if progress.relayed:
            return self._continue(cause, progress)
        return self._restart(cause, now)

    def prove_not_run(self) -> None:
        """Notes that a cancel proved the last attempt in doubt not run."""
        self.in_doubt = max(0, self.in_doubt - 1)

    def _may_resume(self, cause: errors.Cause, progress: Progress) -> bool:
        if not self._streamed or cause not in _RESUMABLE:
            return False
        if progress.relayed and not progress.numbered:
            return False
        if progress.position > self._resumed_at:
            self._resumes = 0
        return self._resumes < self._limits.resumes

    def _resume(self, progress: Progress) -> Action:
        self._phase = Phase.RESUME
        self._resumes += 1
        self._resumed_at = progress.position
        return Resume(progress.position)

    def _continue(self, cause: errors.Cause, progress: Progress) -> Action:
        possible = (
            self._idempotent
            and progress.kept
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
        # An endpoint's word that it refused is enough to tell the caller,
        # not to send again what may run only once.
        unsent = cause is _Cause.NEVER_SENT and self._unsent
        if not (unsent or self._idempotent):
            return GiveUp(cause)
        if self._attempts >= self._limits.attempts or now >= self._give_up_at:
            return GiveUp(cause)
        self._phase = Phase.SEND
        self._attempts += 1
        self._resumes = 0
        self._resumed_at = -1
        match cause:
            case _Cause.NEVER_SENT:
                return Restart(_Retry.NEVER_SENT)
            case _Cause.REFUSED:
                return Restart(_Retry.REFUSED_BY_ENDPOINT)
        return Restart(_Retry.BROKEN_BEFORE_FIRST)
