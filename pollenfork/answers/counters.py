"""What the relay counts, as plain integers; the metrics read them."""

import collections
import threading


class Counters:
    """Counts of the relay, each by the reason's value.

    Attributes:
        retries: Attempts at another endpoint before the first byte.
        resumes: Broken streams taken up again at the same engine.
        continuations: Answers gone on with at another engine.
        hedges: Second copies, by what became of them.
        cancels: Attempts cancelled, by the reason.
        cancel_outcomes: What the endpoints said to that.
        broken: Answers that ended with an error event.
        failed: Requests that got no answer.
        finished: Answers that reached their caller whole.
        tokens_relayed: Tokens passed on.
        tokens_saved: Tokens not generated again, thanks to continuing.
        duplicates_dropped: Events that came twice.
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
        """Adds one to `counter` under `reason`; safe from any thread."""
        with self._lock:
            counter[reason] += 1

    def add_answer(self, *, finished: bool, tokens: int, repeats: int) -> None:
        """Notes the end of an answer."""
        with self._lock:
            self.finished += finished
            self.tokens_relayed += tokens
            self.duplicates_dropped += repeats

    def add_saved(self, tokens: int) -> None:
        """Notes tokens that didn't have to be generated again."""
        with self._lock:
            self.tokens_saved += tokens
