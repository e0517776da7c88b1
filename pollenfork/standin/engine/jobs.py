"""A request inside the engine, and what can happen to it."""

import dataclasses
import enum

import msgspec

from pollenfork import ids
from pollenfork.standin.engine import prompt as prompts


class JobState(enum.Enum):
    """Where a request is."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    LOST = "lost"  # A break without a resume.


LIVE_STATES = frozenset({JobState.WAITING, JobState.RUNNING})
RESUMABLE_STATES = LIVE_STATES | {JobState.FINISHED}


class EventKind(enum.Enum):
    """What happened to a job."""

    TOKEN = "token"
    FINISHED = "finished"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"


class Refusal(enum.Enum):
    """Why a request is not run."""

    LEAVING = "leaving"
    REFUSING = "refusing"
    QUEUE_FULL = "queue_full"
    UNKNOWN_MODEL = "model_not_found"
    TOO_LARGE = "context_length_exceeded"


class Event(msgspec.Struct, frozen=True):
    """Something happened to a job; `position` counts for tokens only."""

    job: int
    kind: EventKind
    position: int = -1


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request inside the engine.

    Attributes:
        next_position: Position of the next token to generate.
        prefill_left: Prompt tokens to process before that.
        break_at: Position at which its connection breaks by a fault.
        resumable: Whether the stream outlives that break.
        attached: A connection carries its answer.
        imported: It came with its KV cache.
        ran: It has been in the batch.
        kept_until: When it is forgotten, or cancelled if it still runs.
    """

    number: int
    request: ids.AttemptId
    priority: int
    prompt: prompts.Prompt
    next_position: int
    prefill_left: int = 0
    state: JobState = JobState.WAITING
    break_at: int | None = None
    resumable: bool = True
    attached: bool = True
    imported: bool = False
    ran: bool = False
    kept_until: float | None = None

    @property
    def kv_tokens(self) -> int:
        """Tokens it holds in KV memory while in the batch."""
        return self.prompt.tokens + self.next_position
