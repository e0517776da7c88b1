"""What runners ran, what reached them, and what they fail."""

import dataclasses

from pollenfork.platform.tests.soak import stream_forms


@dataclasses.dataclass
class Run:
    """One request at one runner.

    Attributes:
        attempt: The caller's id.
        runner: Where it ran.
        began: Monotonic seconds.
        account: The account that the gateway named.
        path: The request's path.
        id: Names it in each of its events.
        after: The position that it was asked to follow; -1: none.
        version: The version of the runner's software.
        form: How its stream is sent.
    """

    attempt: str
    runner: str
    began: float
    account: str
    path: str
    id: str = ""
    after: int = -1
    version: str = ""
    form: stream_forms.Form = stream_forms.PLAIN

    def __str__(self) -> str:
        """Returns a short text for reports."""
        return f"{self.id} after {self.after} at {self.runner} ({self.form})"


@dataclasses.dataclass
class Arrival:
    """One request that reached a runner, run or not.

    Attributes:
        runner: Where it arrived.
        at: Monotonic seconds.
        attempt: The caller's id.
        pause_s: For how long its refusal asked for nothing; 0: it didn't.
        leaving: Whether its answer says that the runner leaves.
        started: Monotonic seconds of the runner's start.
        sender: The host of the gateway that sent it.
    """

    runner: str
    at: float
    attempt: str
    pause_s: float = 0.0
    leaving: bool = False
    started: float = 0.0
    sender: str = ""


class Record:
    """What all runners ran, and what reached them."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.wrong: list[str] = []

    def list_runs(self, attempt: str) -> list[Run]:
        """Returns the runs of a caller's attempt."""
        return [run for run in self.runs if run.attempt == attempt]

    def find_run(self, attempt: str, name: str) -> Run:
        """Returns the latest run of an attempt at a runner."""
        return next(
            run
            for run in reversed(self.runs)
            if (run.attempt, run.runner) == (attempt, name)
        )


@dataclasses.dataclass
class Faults:
    """The parts of requests that a runner fails, 0 to 1."""

    lost: float = 0.0
    error: float = 0.0
    refused: float = 0.0
    extra: float = 0.0
    cut: float = 0.0
