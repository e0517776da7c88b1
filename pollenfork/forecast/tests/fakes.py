"""A fake fleet whose runners process prompts one after another."""

import bisect
import random

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import model
from pollenfork.fleet import runner_state
from pollenfork.pace import model as pace

SERVICE = ids.ServiceName("s")
RATE = candidates.PREFILL_TOKENS_PER_S


class Paces:
    """Paces that are known in advance."""

    def __init__(self, values: dict[int, float]) -> None:
        self._values = values

    def get_pace(self, runner: int) -> pace.Pace:
        return pace.Pace(self._values.get(runner, 1.0))


def make_runner(number: int, slots: int = 16) -> model.Runner:
    return model.Runner(
        id=ids.EndpointId(f"r{number}"),
        service=SERVICE,
        host="10.0.0.1",
        port=number + 1,
        data_centre=ids.DataCentre("a"),
        slots=slots,
        leaving=False,
        cold_s=0.0,
    )


def make_candidate(
    number: int = 0, slots: int = 16, **fields
) -> candidates.Candidate:
    state = runner_state.RunnerState(number)
    return candidates.Candidate(make_runner(number, slots), state, **fields)


def make_profile(
    shared: bytes = b"shared", own: int = 3_720, **fields
) -> candidates.RequestProfile:
    parts = (model.Part(shared, 13_300), model.Part(b"own", own))
    usual = {"target_s": 2.0, "gap_s": 0.8, "forecast": True, "event_tokens": 4}
    fields = {**usual, **fields}
    return candidates.RequestProfile(SERVICE, parts, **fields)


class Fleet:
    """Runners with a backlog that each processes at its own pace.

    Attributes:
        paces: The pace of each runner.
        waits: The seconds that each prompt waited and was processed for.
        placed: The number of prompts that each runner was sent.
    """

    def __init__(self, paces: list[float], rng: random.Random) -> None:
        self.paces = paces
        self.waits: list[float] = []
        self.placed = [0] * len(paces)
        self._rng = rng
        self._cached: list[set[bytes]] = [set() for _ in paces]
        # When each runner will be done, as it was after each placement.
        self._done: list[list[tuple[float, float]]] = [[] for _ in paces]

    def list_candidates(
        self, prompt: bytes, seen_at: float, tokens: int
    ) -> list[candidates.Candidate]:
        """Returns the runners as an instance sees them.

        Args:
            prompt: The shared part of the request's prompt.
            seen_at: Up to when the instance knows of placements.
            tokens: The length of the shared part.
        """
        found = []
        for number, value in enumerate(self.paces):
            done_at = self._read_done(number, seen_at)
            pending = max(0.0, done_at - seen_at) * RATE * value
            uncached = 0 if prompt in self._cached[number] else tokens
            found.append(
                make_candidate(
                    number,
                    uncached_tokens=uncached,
                    prefill_tokens=uncached,
                    pending_tokens=pending,
                )
            )
        return found

    def place(
        self, number: int, prompt: bytes, now: float, tokens: int, own: int
    ) -> None:
        """Sends a prompt to a runner."""
        read = own + (0 if prompt in self._cached[number] else tokens)
        begun = max(now, self._read_done(number, now))
        done_at = begun + read / RATE / self.paces[number]
        self._done[number].append((now, done_at))
        self._cached[number].add(prompt)
        self.placed[number] += 1
        self.waits.append(done_at - now)

    def choose_best(
        self, prompt: bytes, now: float, tokens: int, own: int
    ) -> int:
        """Returns the runner that is done first, knowing everything."""
        ends = []
        for number, value in enumerate(self.paces):
            read = own + (0 if prompt in self._cached[number] else tokens)
            begun = max(now, self._read_done(number, now))
            ends.append((begun + read / RATE / value, number))
        return min(ends)[1]

    def _read_done(self, number: int, at: float) -> float:
        done = self._done[number]
        position = bisect.bisect_right(done, (at, float("inf")))
        return done[position - 1][1] if position else 0.0
