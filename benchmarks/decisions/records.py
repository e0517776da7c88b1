"""Requests on their way through the simulation, and what became of them."""

import dataclasses

from benchmarks.decisions import engine
from benchmarks.decisions import workload
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import model

_MS = 1000


@dataclasses.dataclass
class Record:
    """What became of one request."""

    arrival: workload.Arrival
    first_at: float | None = None
    done_at: float | None = None
    refused: str | None = None
    gone_at: float | None = None
    granted_at: float | None = None
    sent: int = 0
    delivered: int = 0
    saved: int = 0
    returns: int = 0
    returned_at: float | None = None

    def is_met_on_return(self) -> bool:
        """Returns whether the first token came in time after a return."""
        if self.first_at is None or self.returned_at is None:
            return False
        target = self.arrival.kind.settings.target_first_token_ms / _MS
        return self.first_at - self.returned_at <= target

    def is_met(self) -> bool:
        """Returns whether every target was met and the answer is whole."""
        if self.first_at is None or self.done_at is None:
            return False
        settings = self.arrival.kind.settings
        waited = self.first_at - self.arrival.at
        gap = (self.done_at - self.first_at) / max(1, self.arrival.tokens - 1)
        return (
            waited <= settings.target_first_token_ms / _MS
            and gap <= settings.target_gap_ms / _MS
        )


@dataclasses.dataclass(eq=False)
class Copy:
    """One attempt on its way."""

    grant: messages.Grant
    job: engine.Job
    base: int


@dataclasses.dataclass(eq=False)
class Request:
    """One request at its instance."""

    record: Record
    instance: int
    ask: admission_messages.Ask
    copies: list[Copy] = dataclasses.field(default_factory=list)
    avoid: list[ids.EndpointId] = dataclasses.field(default_factory=list)
    position: int = 0
    is_closed: bool = False


def make_ask(
    arrival: workload.Arrival, name: str, now: float
) -> admission_messages.Ask:
    """Returns what an instance is asked as a request arrives."""
    settings = arrival.kind.settings
    return admission_messages.Ask(
        request=ids.RequestId(name),
        team=workload.TEAM,
        account=ids.AccountId(arrival.account),
        class_name=ids.ClassName(arrival.kind.name),
        tier=ids.Tier(settings.tier),
        model=workload.MODEL,
        arrived=now,
        first_token_due=now + settings.target_first_token_ms / _MS,
        give_up_at=now + settings.max_wait_ms / _MS,
        late_refused=settings.when_late is model.LatePolicy.REFUSE,
        protected=settings.protected,
        max_waiting=settings.max_waiting,
        minimum_share=settings.minimum_share,
        account_limit=10_000,
        team_limit=10_000,
        retry_ratio=settings.retry_ratio,
        hedge=settings.hedge,
        prefix=arrival.prefix,
        prompt_tokens=arrival.kind.prompt,
    )
