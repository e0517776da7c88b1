"""A small model of an engine that batches continuously.

All running requests advance together: a token takes longer the fuller the
batch. A "token clock" counts the tokens that a request running all along
would have got, so that a change of the batch costs one new event, not one
for each token.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools

SLOTS = 16
GAP_BASE_S = 0.020
GAP_PER_REQUEST_S = 0.0015
PREFILL_PER_TOKEN_S = 0.00008
PREFILL_BASE_S = 0.03
CACHED_PART = 0.8
CACHED_PREFIXES = 40
KV_TOKENS = 200_000


@dataclasses.dataclass(eq=False)
class Job:
    """One attempt at an engine.

    Attributes:
        tokens: Tokens it will generate; nobody knows beforehand.
        on_first: Called at the first token.
        on_end: Called with whether it finished, and the tokens generated.
    """

    name: str
    priority: int
    prompt: int
    tokens: int
    prefix: int
    on_first: Callable[[], None]
    on_end: Callable[[bool, int], None]
    decode_from: float = 0.0
    state: str = "new"


class Engine:
    """One engine: a priority queue before a batch with KV memory."""

    def __init__(
        self, name: str, later: Callable[[float, Callable[[], None]], None]
    ) -> None:
        self.name = name
        self.slots = SLOTS
        self.slowness = 1.0
        self.is_up = True
        self.accepts = True
        self.generated = 0
        self.busy_slot_s = 0.0
        self._later = later
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._queued = 0
        self._running: set[Job] = set()
        self._decoding: list[tuple[float, int, Job]] = []
        self._decode_count = 0
        self._ticks = 0.0
        self._ticked_at = 0.0
        self._kv_used = 0
        self._version = 0
        self._prefixes: dict[int, None] = {}
        self._now = 0.0

    def submit(self, job: Job, now: float) -> bool:
        """Takes a job; False means refused, not run."""
        if not (self.is_up and self.accepts):
            return False
        job.state = "queued"
        self._queued += 1
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._fill(now)
        return True

    def cancel(self, job: Job, now: float) -> int:
        """Stops a job; returns the tokens it had generated."""
        return self._remove(job, now)

    def read_progress(self, job: Job, now: float) -> int:
        """Returns the tokens that a job has generated so far."""
        if job.state != "decode":
            return 0
        self._advance(now)
        return min(job.tokens, 1 + int(self._ticks - job.decode_from))

    def list_parts(self, now: float) -> list[float]:
        """Returns how far through its answer each running job is."""
        return [
            self.read_progress(job, now) / job.tokens for job in self._running
        ]

    def crash(self, now: float) -> None:
        """Loses every job; refuses connections until `restart`."""
        self.is_up = False
        jobs = [job for _, _, job in self._queue if job.state == "queued"]
        jobs += list(self._running)
        for job in jobs:
            done = self._remove(job, now)
            job.on_end(False, done)
        self._queue.clear()
        self._prefixes.clear()

    def restart(self) -> None:
        """Comes back empty."""
        self.is_up = True

    def set_slowness(self, factor: float, now: float) -> None:
        """Makes every token and prefill take `factor` times as long."""
        self._advance(now)
        self.slowness = factor
        self._schedule(now)

    def read_load(self) -> tuple[int, int, float]:
        """Returns running, waiting and the free part of the KV memory."""
        free = max(0.0, 1 - self._kv_used / KV_TOKENS)
        return len(self._running), self._queued, free

    def _gap(self) -> float:
        batch = max(1, len(self._running))
        return (GAP_BASE_S + GAP_PER_REQUEST_S * batch) * self.slowness

    def _advance(self, now: float) -> None:
        elapsed = now - self._ticked_at
        self._ticks += elapsed / self._gap()
        self.busy_slot_s += elapsed * len(self._running)
        self._ticked_at = now

    def _fill(self, now: float) -> None:
        while self._queue and len(self._running) < self.slots:
            _, _, job = self._queue[0]
            if job.state != "queued":
                heapq.heappop(self._queue)
                continue
            need = job.prompt + job.tokens
            if self._running and self._kv_used + need > KV_TOKENS:
                return
            heapq.heappop(self._queue)
            self._queued -= 1
            self._advance(now)
            self._kv_used += need
            self._running.add(job)
            job.state = "prefill"
            took = self._prefill(job)
            self._later(now + took, lambda job=job: self._start(job))
            self._schedule(now)

    def _prefill(self, job: Job) -> float:
        cached = job.prefix in self._prefixes
        self._prefixes.pop(job.prefix, None)
        self._prefixes[job.prefix] = None
        if len(self._prefixes) > CACHED_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]
        tokens = job.prompt * ((1 - CACHED_PART) if cached else 1.0)
        return (PREFILL_BASE_S + tokens * PREFILL_PER_TOKEN_S) * self.slowness

    def _start(self, job: Job) -> None:
        if job.state != "prefill":
            return
        now = self._clock()
        self._advance(now)
        job.state = "decode"
        job.decode_from = self._ticks
        finish = self._ticks + job.tokens - 1
        heapq.heappush(self._decoding, (finish, next(self._order), job))
        self._schedule(now)
        job.on_first()

    def _clock(self) -> float:
        return self._later.now  # type: ignore[attr-defined]

    def _schedule(self, now: float) -> None:
        while self._decoding and self._decoding[0][2].state != "decode":
            heapq.heappop(self._decoding)
        self._version += 1
        if not self._decoding:
            return
        left = max(0.0, self._decoding[0][0] - self._ticks)
        version = self._version
        at = now + left * self._gap()
        self._later(at, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        now = self._clock()
        self._advance(now)
        ended = []
        while self._decoding and self._decoding[0][0] <= self._ticks + 1e-6:
            _, _, job = heapq.heappop(self._decoding)
            if job.state == "decode":
                self._leave(job)
                self.generated += job.tokens
                ended.append(job)
        self._schedule(now)
        for job in ended:
            job.on_end(True, job.tokens)
        self._fill(now)

    def _remove(self, job: Job, now: float) -> int:
        self._advance(now)
        done = 0
        if job.state == "queued":
            self._queued -= 1
        elif job.state in ("prefill", "decode"):
            done = self.read_progress(job, now)
            self._leave(job)
            self.generated += done
        job.state = "gone"
        self._schedule(now)
        self._fill(now) if self.is_up else None
        return done

    def _leave(self, job: Job) -> None:
        job.state = "gone"
        self._running.discard(job)
        self._kv_used -= job.prompt + job.tokens
