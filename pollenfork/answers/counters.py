"""Counters of the relay, as plain integers; the metrics read them."""

import collections
import threading


class Counters:
    """Counters of the relay; those with labels are keyed by the value.

    Attributes:
        retries: Attempts at another endpoint before the first byte.
        resumes: Broken streams resumed at the same engine.
        continuations: Answers continued at another engine.
        hedges: Hedged copies, by outcome.
        cancels: Cancelled attempts, by reason.
        cancel_outcomes: Endpoints' replies to cancels.
        broken: Answers that ended with an error event.
        failed: Requests that got no answer.
        finished: Answers delivered completely.
        tokens_relayed: Tokens sent to callers.
        tokens_saved: Tokens that continuations didn't generate again.
        duplicates_dropped: Events received twice.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.retries: collections.Counter[str] = collections.Counter()
        self.resumes: collections.Counter[str] = collections.Counter()
        self.continuations: collections.Counter[str] = collections.Counter()
        self.hedges: collections.Counter[str] = collections.Counter()
        self.cancels: collections.Counter[str] = collections.Counter()
        self.cancel_outcomes: collections.Counter[str] = collections.Counter()
        self.broken: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        self.finished = 0
        self.tokens_relayed = 0
        self.tokens_saved = 0
        self.duplicates_dropped = 0

    def count(self, counter: collections.Counter[str], reason: str) -> None:
        """Adds one to `counter` under `reason`; thread-safe."""
        with self._lock:
            counter[reason] += 1

    def add_answer(
        self, *, finished: bool, tokens: int, duplicates: int
    ) -> None:
        """Counts an answer that has ended."""
        with self._lock:
            self.finished += finished
            self.tokens_relayed += tokens
            self.duplicates_dropped += duplicates

    def add_saved(self, tokens: int) -> None:
        """Counts tokens that a continuation didn't generate again."""
        with self._lock:
            self.tokens_saved += tokens
