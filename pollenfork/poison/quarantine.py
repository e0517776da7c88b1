"""Keeps back requests that end the runners that run them, at all instances.

One such request ended 48 runners in 10 s, before three instances and four
runners, and a fifth of all others was served. Three ends are needed to tell it
from what runs beside it; each instance learns of all ends from the others.
"""

from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.loads import messages
from pollenfork.poison import book
from pollenfork.poison import cases
from pollenfork.poison import outbox
from pollenfork.poison import trials
from pollenfork.poison import witness

_LOG = logging.getLogger(__name__)

Verdict = cases.Verdict


class Quarantine:
    """What one instance knows of such requests, and tells of them."""

    def __init__(
        self,
        runners: registry.Registry,
        host: str,
        lives_since: Callable[[ids.EndpointId, float], bool],
        read_time: Callable[[], float],
    ) -> None:
        """Starts with nothing known.

        Args:
            runners: The runners of all services.
            host: This instance's.
            lives_since: Returns whether a runner has shown here since a moment
                that it runs.
            read_time: Returns monotonic seconds.
        """
        self._read_time = read_time
        self._others = 0
        self._mark = messages.hash_name(host.encode())
        self._witness = witness.Witness(
            runners,
            self._mark,
            lives_since,
            self._note_end,
            lambda: self._others,
        )
        self.book = book.Book(self._witness.believes)
        self.trials = trials.Trials()
        self._outbox = outbox.Outbox(self.book)
        self._on_urgent: list[Callable[[], None]] = []
        self.book.when_cleared(
            lambda case, now: self._outbox.add_cleared(
                case.digest, case.cleared_at or now, not case.answered
            )
        )
        runners.when_gone(
            lambda gone: self._witness.note_gone(gone, read_time())
        )

    def when_urgent(self, call: Callable[[], None]) -> None:
        """Calls `call` when others should be told something at once."""
        self._on_urgent.append(call)

    def when_doubted(self, call: Callable[[model.Runner], object]) -> None:
        """Calls `call` with a runner to which a connection is to be tried."""
        self._witness.when_doubted(call)

    def judge(self, digest: ids.RequestDigest, now: float) -> Verdict:
        """Returns what may be done with a request."""
        verdict = self.book.judge(digest, now)
        if verdict is Verdict.KEPT_BACK:
            return verdict
        possible = self._list_doubted(digest, now)
        if possible and self.book.would_keep_back(digest, possible, now):
            return Verdict.DOUBTED
        return verdict

    def list_possible_ends(
        self, digest: ids.RequestDigest, now: float
    ) -> set[int]:
        """Returns the places of runners that a request may have ended.

        Args:
            digest: The request's.
            now: Monotonic seconds.
        """
        case = self.book.find(digest)
        known = [] if case is None else case.ends
        doubted = self._list_doubted(digest, now)
        return {each.place for each in [*known, *doubted]}

    def note_answered(self, digest: ids.RequestDigest, now: float) -> None:
        """Takes that a runner has answered a request."""
        self.book.note_answered(digest, now)

    def note_broken(
        self,
        digest: ids.RequestDigest,
        runner: model.Runner,
        sent_at: float,
        now: float,
        made_at: float | None = None,
    ) -> None:
        """Takes that the connection broke on which a request was sent."""
        self._witness.note_broken(digest, runner, sent_at, now, made_at)

    def note_absent(self, place: int, here: bool) -> None:
        """Takes that nobody is where a runner was.

        Args:
            place: A hash of the runner's start and its address.
            here: Whether that was found here; otherwise it is another one's
                word.
        """
        now = self._read_time()
        if here:
            self._witness.note_ended(place, now, "nobody_there")
        else:
            self._witness.note_told_ended(place, now)

    def note_dropped(self, runner: model.Runner, now: float) -> None:
        """Takes that a new connection to a runner was dropped at once."""
        self._witness.note_ended(evidence.hash_runner(runner), now, "dropped")

    def list_kept(self) -> list[cases.Case]:
        """Returns the requests that are kept back."""
        return self.book.list_kept()

    def saw(self, case: cases.Case) -> bool:
        """Returns whether this instance saw a runner end under a request."""
        return any(each.witness == self._mark for each in case.ends)

    def lift(self, digest: ids.RequestDigest) -> bool:
        """Lets a request go to runners again, everywhere.

        Returns:
            Whether anything was known against it.
        """
        case = self.book.find(digest)
        if case is None or not case.ends:
            return False
        now = self._read_time()
        _LOG.warning("event=request_lifted digest=%016x", digest)
        return self.book.clear(digest, now, now, answered=False)

    def take_trial(self, digest: ids.RequestDigest, now: float) -> int | None:
        """Returns the number of a trial to claim for a request that is kept.

        Args:
            digest: The request's.
            now: Monotonic seconds.
        """
        case = self.book.find(digest)
        if case is None:
            return None
        return self.trials.take_due(
            case, now, lambda: self._count_other_ends(case)
        )

    def sweep(self, now: float) -> None:
        """Forgets what is old and judges what has settled."""
        self._witness.sweep(now)
        self.book.sweep(now)
        self.trials.forget({each.digest for each in self.list_kept()})

    # What instances tell each other.

    def take_news(self, now: float) -> messages.Suspicions | None:
        """Returns what to tell at once, if anything."""
        return self._outbox.take(now)

    def take_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next part of all that is known, if anything is."""
        return self._outbox.take_page(now)

    def list_all(self, now: float) -> list[messages.Suspicions]:
        """Returns all that is known, by datagram."""
        return self._outbox.list_all(now)

    def note_others(self, count: int) -> None:
        """Takes how many other instances there are."""
        self._others = count

    def note_told(
        self, told: messages.Suspicions, host: str, now: float
    ) -> None:
        """Takes what another instance tells.

        Args:
            told: What.
            host: Its host.
            now: Monotonic seconds.
        """
        for word in told.cleared:
            digest = ids.RequestDigest(word.digest)
            at = now - word.age_ms / 1000.0
            self.book.clear(digest, at, now, answered=not word.lifted)
        for each in told.ends:
            digest = ids.RequestDigest(each.digest)
            end = cases.End(
                each.place,
                now - each.sent_ms / 1000.0,
                now - each.ended_ms / 1000.0,
                each.witness,
                None if each.made_ms is None else now - each.made_ms / 1000.0,
            )
            if self.book.note_end(digest, end, now):
                self._outbox.add_end(digest, end)
                self._witness.check(end.place)
            if each.witness == messages.hash_name(host.encode()):
                self.book.note_reporter(digest, host)
        for kept in told.kept:
            self.book.note_voucher(ids.RequestDigest(kept), host)

    def _list_doubted(
        self, digest: ids.RequestDigest, now: float
    ) -> list[cases.End]:
        """Returns ends under a request that time will prove or disprove."""
        unproven = self._witness.list_unproven(digest, now)
        case = self.book.find(digest)
        if case is None:
            return unproven
        return unproven + self._witness.list_doubted(case, now)

    def _count_other_ends(self, case: cases.Case) -> int:
        """Returns how many runners have ended without a request."""
        ended = self._witness.list_ended(case.ends[0].ended_at)
        return self.book.count_other_ends(case, ended)

    def _note_end(
        self, digest: ids.RequestDigest, end: cases.End, now: float
    ) -> None:
        if not self.book.note_end(digest, end, now):
            return
        self._outbox.add_end(digest, end)
        for tell in self._on_urgent:
            tell()
