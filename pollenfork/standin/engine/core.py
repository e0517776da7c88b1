"""The engine's batching, without I/O: a request in, events out.

Time passes in steps. A step takes in waiting requests by priority while slots
and KV memory last, processes prompt tokens up to a limit, and gives each
request whose prompt is done one token at its end.
"""

import collections
import itertools

import msgspec
import sortedcontainers

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.standin.engine import breaks
from pollenfork.standin.engine import cache
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import jobs
from pollenfork.standin.engine import orders
from pollenfork.standin.engine import prompt as prompts
from pollenfork.standin.engine import reports
from pollenfork.standin.engine import runs

_TOKENS_PER_BLOCK = prompts.BLOCK_BYTES // 4


class Engine:
    """One engine's batch, queue, caches and counts.

    Each call takes `now` in monotonic seconds; `advance` comes first.
    """

    def __init__(self, config: configs.EngineConfig) -> None:
        self.config = config
        self.faults = config.faults
        self.runs = runs.Runs()
        self.orders = orders.Orders(config.models)
        self.cache = cache.PrefixCache(config.cache_blocks)
        self._numbers = itertools.count()
        self._latest: dict[ids.AttemptId, jobs.Job] = {}
        self._running: dict[int, jobs.Job] = {}
        self._waiting = sortedcontainers.SortedKeyList(
            key=lambda job: (job.priority, job.number)
        )
        self._kept: collections.deque[tuple[float, jobs.Job]] = (
            collections.deque()
        )
        self._step_end: float | None = None
        self._breaks = breaks.Breaks()
        self._history = reports.History()
        self._frozen: edges.LoadReport | None = None

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return not (self.faults.leaving or self.orders.draining)

    def submit(
        self,
        request: ids.AttemptId,
        prompt: prompts.Prompt,
        priority: int,
        now: float,
    ) -> jobs.Job | jobs.Refusal:
        """Takes a request into the queue, or says why not."""
        taken = self._find_refusal(prompt) or self._enqueue(
            request, prompt, priority
        )
        self._wake(now)
        return taken

    def advance(self, now: float) -> list[jobs.Event]:
        """Runs every step that has ended by `now`; returns what happened."""
        events: list[jobs.Event] = []
        while self._step_end is not None and self._step_end <= now:
            end = self._step_end
            self._end_step(end, events)
            self._begin_step(end)
        self._expire(now)
        self._history.record(now, self._measure)
        return events

    def next_due(self) -> float | None:
        """Returns when the present step ends; None when idle."""
        return self._step_end

    def cancel(
        self, request: ids.AttemptId, now: float
    ) -> tuple[edges.CancelOutcome, list[jobs.Event]]:
        """Cancels a request, and says what became of it."""
        job = self._latest.get(request)
        if job is None or job.state is jobs.JobState.LOST:
            return edges.CancelOutcome.UNKNOWN_REQUEST, []
        if job.state in jobs.LIVE_STATES:
            # One that was preempted waits again, but it has run.
            ended = self._drop(job, now)
            return edges.CancelOutcome(job.state.value), [ended]
        return edges.CancelOutcome(job.state.value), []

    def detach(self, job: jobs.Job, now: float) -> None:
        """The connection that carried the job is closed."""
        if job.state not in jobs.LIVE_STATES:
            return
        job.attached = False
        if self.faults.close_cancels:
            self._drop(job, now)
        else:
            self._keep(job, now)

    def find_stream(self, request: ids.AttemptId) -> jobs.Job | None:
        """Returns the job whose stream the engine still has."""
        job = self._latest.get(request)
        if job is None or job.state not in jobs.RESUMABLE_STATES:
            return None
        return job

    def resume(self, request: ids.AttemptId) -> jobs.Job | None:
        """Returns the job after tying its stream to a new connection."""
        job = self.find_stream(request)
        if job:
            job.attached = True
        return job

    def import_job(
        self, request: ids.AttemptId, prompt: prompts.Prompt, now: float
    ) -> jobs.Job | jobs.Refusal:
        """Takes over a request with its KV cache: no prompt to process.

        It runs for a while without a connection, until its stream is resumed.
        """
        taken = self._find_refusal(prompt) or self._enqueue(request, prompt, 0)
        if isinstance(taken, jobs.Job):
            taken.imported = True
            taken.attached = False
            self._keep(taken, now)
            self._wake(now)
        return taken

    def change_faults(self, faults: configs.Faults, now: float) -> None:
        """Puts faults in force from the next step on."""
        frozen = faults.load_frozen
        self._frozen = self.report_load(now) if frozen else None
        self.faults = faults
        self._breaks = breaks.Breaks()
        if faults.down:
            self._lose_all()

    def report_load(self, now: float) -> edges.LoadReport:
        """Returns the load report, as old as the faults make it."""
        if self._frozen is not None:
            return self._frozen
        seen_at, report = now, self._measure()
        if self.faults.load_age_s > 0:
            earlier = self._history.find(now - self.faults.load_age_s)
            seen_at, report = earlier or (seen_at, report)
        age_ms = round(1000 * (now - seen_at))
        return msgspec.structs.replace(report, age_ms=age_ms)

    def _enqueue(
        self, request: ids.AttemptId, prompt: prompts.Prompt, priority: int
    ) -> jobs.Job:
        job = jobs.Job(
            number=next(self._numbers),
            request=request,
            priority=priority,
            prompt=prompt,
            next_position=prompt.first,
        )
        self._latest[request] = job
        self._waiting.add(job)
        return job

    def _wake(self, now: float) -> None:
        if self._step_end is None and self._waiting:
            self._begin_step(now)

    def _find_refusal(self, prompt: prompts.Prompt) -> jobs.Refusal | None:
        if not self.is_ready:
            return jobs.Refusal.LEAVING
        if self.faults.refuse:
            return jobs.Refusal.REFUSING
        if prompt.model not in self.orders.models:
            return jobs.Refusal.UNKNOWN_MODEL
        if prompt.tokens + prompt.length > self.config.kv_tokens:
            return jobs.Refusal.TOO_LARGE
        held = len(self._running) + len(self._waiting)
        if held >= self.config.slots + self.config.max_waiting:
            return jobs.Refusal.QUEUE_FULL
        return None

    def _begin_step(self, now: float) -> None:
        self._preempt()
        self._admit(now)
        if not self._running:
            self._step_end = None
            return
        processed = self._prefill()
        config = self.config
        cost_ms = (
            config.step_ms
            + config.step_per_request_ms * len(self._running)
            + config.prefill_token_ms * processed
        )
        self._step_end = now + cost_ms * self.faults.slowdown / 1000

    def _admit(self, now: float) -> None:
        free_kv = self._free_kv()
        while self._waiting and len(self._running) < self.config.slots:
            job = self._waiting[0]
            if job.kv_tokens + len(self._running) > free_kv:
                return
            free_kv -= job.kv_tokens
            self._waiting.pop(0)
            self._start(job, now)

    def _start(self, job: jobs.Job, now: float) -> None:
        blocks = job.prompt.blocks
        cached = self.cache.count_cached(blocks) * _TOKENS_PER_BLOCK
        job.prefill_left = max(0, job.kv_tokens - cached)
        if job.imported:
            job.prefill_left = 0
            job.imported = False
        self.cache.insert(blocks, now)
        job.state = jobs.JobState.RUNNING
        if not job.ran:
            job.ran = True
            self.runs.count_run(job.request, job.prompt.label)
            self._breaks.plan(job, self.faults.crash)
        self._running[job.number] = job

    def _prefill(self) -> int:
        left = self.config.prefill_tokens
        for job in self._running.values():
            taken = min(left, job.prefill_left)
            job.prefill_left -= taken
            left -= taken
        return self.config.prefill_tokens - left

    def _preempt(self) -> None:
        """Puts the least urgent jobs back while KV memory is over-full."""
        while self._free_kv() < 0 and len(self._running) > 1:
            job = max(
                self._running.values(), key=lambda j: (j.priority, j.number)
            )
            del self._running[job.number]
            job.state = jobs.JobState.WAITING
            self._waiting.add(job)

    def _end_step(self, now: float, events: list[jobs.Event]) -> None:
        for job in list(self._running.values()):
            if job.prefill_left == 0:
                self._generate(job, now, events)

    def _generate(
        self, job: jobs.Job, now: float, events: list[jobs.Event]
    ) -> None:
        position = job.next_position
        if position < job.prompt.length:
            job.next_position += 1
            self.runs.count_token(job.request, job.prompt.label)
            if job.break_at == position:
                self._break(job, now, events)
            if job.attached:
                events.append(
                    jobs.Event(job.number, jobs.EventKind.TOKEN, position)
                )
        if job.state is not jobs.JobState.RUNNING:
            return
        if job.next_position >= job.prompt.length:
            if job.break_at == job.next_position:
                self._break(job, now, events)
            self._finish(job, now, events)

    def _break(
        self, job: jobs.Job, now: float, events: list[jobs.Event]
    ) -> None:
        job.break_at = None
        job.attached = False
        events.append(jobs.Event(job.number, jobs.EventKind.BROKEN))
        if job.resumable:
            self._keep(job, now)
        else:
            self._remove(job, jobs.JobState.LOST, now)

    def _finish(
        self, job: jobs.Job, now: float, events: list[jobs.Event]
    ) -> None:
        if job.state is not jobs.JobState.RUNNING:
            return
        self._remove(job, jobs.JobState.FINISHED, now)
        if job.attached:
            events.append(jobs.Event(job.number, jobs.EventKind.FINISHED))

    def _drop(self, job: jobs.Job, now: float) -> jobs.Event:
        if job.ran:
            self._remove(job, jobs.JobState.CANCELLED, now)
            return jobs.Event(job.number, jobs.EventKind.CANCELLED)
        self._remove(job, jobs.JobState.NOT_RUN, now)
        return jobs.Event(job.number, jobs.EventKind.NOT_RUN)

    def _remove(self, job: jobs.Job, state: jobs.JobState, now: float) -> None:
        if job.state is jobs.JobState.WAITING:
            self._waiting.remove(job)
        self._running.pop(job.number, None)
        job.state = state
        self._keep(job, now)

    def _keep(self, job: jobs.Job, now: float) -> None:
        job.kept_until = now + self.config.keep_stream_s
        self._kept.append((job.kept_until, job))

    def _expire(self, now: float) -> None:
        while self._kept and self._kept[0][0] <= now:
            until, job = self._kept.popleft()
            if job.kept_until != until:
                continue  # It has been kept again since.
            if job.state in jobs.LIVE_STATES:
                if not job.attached:
                    self._drop(job, now)
            elif self._latest.get(job.request) is job:
                del self._latest[job.request]

    def _lose_all(self) -> None:
        self._latest.clear()
        self._running.clear()
        self._waiting.clear()
        self._kept.clear()
        self.cache = cache.PrefixCache(self.config.cache_blocks)
        self._step_end = None

    def _free_kv(self) -> int:
        used = sum(job.kv_tokens for job in self._running.values())
        return self.config.kv_tokens - used

    def _measure(self) -> edges.LoadReport:
        return edges.LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            kv_free=max(0.0, self._free_kv() / self.config.kv_tokens),
            models=tuple(self.orders.models),
            ready=self.is_ready,
        )
