"""The requests that runners ended under, and those answered lately."""

import collections
from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.poison import cases

_LOG = logging.getLogger(__name__)

Verdict = cases.Verdict

# Requests against which anything is known, some 0.8 KB each. Those with one end
# go first, the oldest of them: what ends runners comes again and is learned
# anew. Where all have more, the oldest goes.
_CASES_LIMIT = 2048
# Instances remembered that keep a request back too, or that saw its ends; two
# are asked for.
_VOUCHERS_LIMIT = 4
# Requests answered here, the latest, some 120 bytes each: half a minute of the
# busiest instance's. A forgotten one that runs wherever runners end is kept
# back after two rounds instead of three.
_ANSWERED_LIMIT = 4096


class Book:
    """Judges requests by what this instance and others have seen of them."""

    def __init__(
        self, believes: Callable[[cases.End, cases.Case, float], bool]
    ) -> None:
        """Starts with nothing known.

        Args:
            believes: Returns whether an end that was told may be true, by the
                end, the request's case, and the moment.
        """
        self._believes = believes
        self._cases: collections.OrderedDict[ids.RequestDigest, cases.Case] = (
            collections.OrderedDict()
        )
        self._answered: collections.OrderedDict[ids.RequestDigest, float] = (
            collections.OrderedDict()
        )
        # Made anew when it is asked for, as ends come and go.
        self._places: dict[int, list[tuple[cases.Case, cases.End]]] | None = (
            None
        )
        self._on_kept: list[Callable[[cases.Case, float], None]] = []
        self._on_cleared: list[Callable[[cases.Case, float], None]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def when_kept(self, call: Callable[[cases.Case, float], None]) -> None:
        """Calls `call` with each request that is kept back from now on."""
        self._on_kept.append(call)

    def when_cleared(self, call: Callable[[cases.Case, float], None]) -> None:
        """Calls `call` with each request that others should know is well."""
        self._on_cleared.append(call)

    def judge(self, digest: ids.RequestDigest, now: float) -> Verdict:
        """Returns what may be done with a request.

        Args:
            digest: The request's.
            now: Monotonic seconds.
        """
        case = self._cases.get(digest)
        if case is None:
            return Verdict.CLEAR
        if case.kept_since is not None:
            return Verdict.KEPT_BACK
        verdict = case.judge(self._list_counted(case, now), now)
        if verdict is Verdict.KEPT_BACK:
            self.keep_back(case, now)
        return verdict

    def keep_back(self, case: cases.Case, now: float) -> None:
        """Keeps a request back from now on."""
        case.kept_since = now
        self.counts["kept_back"] += 1
        _LOG.warning(
            "event=request_kept_back digest=%016x ends=%d rounds=%d places=%s "
            "first_ms=%d last_ms=%d answered=%s",
            case.digest,
            len(case.ends),
            cases.count_rounds(case.ends),
            ",".join(f"{each.place:08x}" for each in case.ends),
            (now - case.ends[0].ended_at) * 1000 if case.ends else 0,
            (now - case.ends[-1].ended_at) * 1000 if case.ends else 0,
            case.cleared_at is not None,
        )
        for call in self._on_kept:
            call(case, now)

    def note_end(
        self, digest: ids.RequestDigest, end: cases.End, now: float
    ) -> bool:
        """Takes a runner's end under a request; returns whether it is news."""
        if not now - cases.LAPSE_S <= end.ended_at <= now:
            return False
        case = self._find(digest, now)
        answered_at = self._answered.get(digest)
        learned = answered_at is not None and case.clear(answered_at, now)
        case.answered = case.answered or answered_at is not None
        if learned or case.is_before_clearance(end):
            # Whoever tells of the end may not know.
            self._tell_cleared(case, now)
        if not case.add(end, now):
            return False
        self._places = None
        self.counts["ends"] += 1
        self.judge(digest, now)
        self._limit()
        return True

    def note_answered(self, digest: ids.RequestDigest, now: float) -> None:
        """Takes that a runner has answered a request."""
        self._answered[digest] = now
        self._answered.move_to_end(digest)
        if len(self._answered) > _ANSWERED_LIMIT:
            self._answered.popitem(last=False)
        case = self._cases.get(digest)
        if case is not None and case.ends:
            self.clear(digest, now, now)

    def clear(
        self,
        digest: ids.RequestDigest,
        at: float,
        now: float,
        answered: bool = True,
    ) -> bool:
        """Takes that a request was well; returns whether that is news.

        Args:
            digest: The request's.
            at: The moment up to which nothing speaks against it.
            now: Monotonic seconds.
            answered: Whether a runner answered it; else an operator vouches.
        """
        case = self._find(digest, now)
        case.answered = case.answered or answered
        kept_since = case.kept_since
        if not case.clear(at, now):
            return False
        self._places = None
        if kept_since is not None and case.kept_since is None:
            _LOG.warning(
                "event=request_cleared digest=%016x kept_ms=%d age_ms=%d",
                digest,
                (now - kept_since) * 1000,
                (now - at) * 1000,
            )
        self._tell_cleared(case, now)
        return True

    def restore(self, stored: cases.Case, now: float) -> None:
        """Takes a request that was kept back before this start.

        Args:
            stored: What spoke against it.
            now: Monotonic seconds.
        """
        case = self._find(stored.digest, now)
        if case.cleared_at is not None or case.kept_since is not None:
            return
        case.cleared_at = stored.cleared_at
        case.answered = stored.answered
        for end in stored.ends:
            case.add(end, now)
        self._places = None
        self.keep_back(case, now)
        self._limit()

    def note_reporter(self, digest: ids.RequestDigest, host: str) -> None:
        """Takes that another instance tells of an end that it saw itself."""
        case = self._cases.get(digest)
        if case is not None and len(case.reporters) < _VOUCHERS_LIMIT:
            case.reporters.add(host)

    def note_voucher(self, digest: ids.RequestDigest, host: str) -> None:
        """Takes that another instance keeps a request back itself."""
        case = self._cases.get(digest)
        if case is not None and len(case.vouchers) < _VOUCHERS_LIMIT:
            case.vouchers.add(host)

    def would_keep_back(
        self, digest: ids.RequestDigest, more: list[cases.End], now: float
    ) -> bool:
        """Returns whether a request is kept back if further ends are true.

        Args:
            digest: The request's.
            more: The ends.
            now: Monotonic seconds.
        """
        known = self._cases.get(digest, cases.Case(digest))
        assumed = cases.Case(
            digest,
            cleared_at=known.cleared_at or self._answered.get(digest),
            answered=known.answered,
        )
        for end in (*self._list_believed(known, now), *more):
            assumed.add(end, now)
        ends = assumed.ends
        if assumed.cleared_at is not None:
            ends = self._leave_out_explained(known, ends)
        return assumed.judge(ends, now) is Verdict.KEPT_BACK

    def count_other_ends(self, case: cases.Case, ended: list[int]) -> int:
        """Returns how many runners ended that no poison request ended.

        Args:
            case: A request, whose own ends don't count either.
            ended: The places of runners that have ended.
        """
        explained = {each.place for each in case.ends}
        at = self._find_places()
        return sum(
            place not in explained
            and not any(other.is_guilty for other, _ in at.get(place, ()))
            for place in ended
        )

    def find(self, digest: ids.RequestDigest) -> cases.Case | None:
        """Returns what is known of a request; None: nothing."""
        return self._cases.get(digest)

    def list_kept(self) -> list[cases.Case]:
        """Returns the requests that are kept back."""
        return [
            case for case in self._cases.values() if case.kept_since is not None
        ]

    def list_serious(self) -> list[cases.Case]:
        """Returns those that one more end may keep back, and those kept."""
        return [case for case in self._cases.values() if case.is_serious]

    def sweep(self, now: float) -> None:
        """Forgets ends that nothing followed; judges what has settled."""
        for digest, case in list(self._cases.items()):
            if case.kept_since is None:
                if now - case.moved_at > cases.LAPSE_S:
                    self._drop(digest)
                elif len(case.ends) >= cases.ENDS_ALLOWED:
                    self.judge(digest, now)
            elif case.cleared_at is not None:
                self._judge_anew(case, now)

    def _find(self, digest: ids.RequestDigest, now: float) -> cases.Case:
        case = self._cases.get(digest)
        if case is None:
            case = self._cases[digest] = cases.Case(digest, moved_at=now)
        return case

    def _judge_anew(self, case: cases.Case, now: float) -> None:
        """Lets a request go that others' ends explain, told since."""
        counted = self._leave_out_explained(case, case.ends)
        if case.judge(counted, now) is Verdict.KEPT_BACK:
            return
        _LOG.warning(
            "event=request_explained digest=%016x kept_ms=%d ends=%d "
            "counted=%d",
            case.digest,
            (now - (case.kept_since or now)) * 1000,
            len(case.ends),
            len(counted),
        )
        case.kept_since = None
        case.moved_at = now
        self._tell_cleared(case, now)

    def _list_counted(self, case: cases.Case, now: float) -> list[cases.End]:
        """Returns the ends that speak against a request."""
        believed = self._list_believed(case, now)
        # Where they are too few anyway, there is nothing to find out.
        if case.cleared_at is None or len(believed) < cases.ENDS_ALLOWED:
            return believed
        return self._leave_out_explained(case, believed)

    def _leave_out_explained(
        self, case: cases.Case, ends: list[cases.End]
    ) -> list[cases.End]:
        """Returns the ends that no other request explains.

        A text that everybody sends runs wherever a runner ends, and is sent on
        where one has just ended. It has been answered before; what was never
        answered, and ended several runners one after the other, goes before it.
        """
        at = self._find_places()
        return [
            each
            for each in ends
            if not any(
                _explains(other, known, each)
                for other, known in at.get(each.place, ())
                if other is not case
            )
        ]

    def _find_places(self) -> dict[int, list[tuple[cases.Case, cases.End]]]:
        """Returns all known ends by their place."""
        if self._places is None:
            self._places = {}
            for case in self._cases.values():
                for end in case.ends:
                    at = self._places.setdefault(end.place, [])
                    at.append((case, end))
        return self._places

    def _list_believed(self, case: cases.Case, now: float) -> list[cases.End]:
        """Returns the ends that count.

        Whether they are true matters only where they would keep it back.
        """
        if len(case.ends) < cases.ENDS_ALLOWED:
            return case.ends
        return [each for each in case.ends if self._believes(each, case, now)]

    def _tell_cleared(self, case: cases.Case, now: float) -> None:
        for call in self._on_cleared:
            call(case, now)

    def _limit(self) -> None:
        if len(self._cases) <= _CASES_LIMIT:
            return
        light = (d for d, case in self._cases.items() if not case.is_serious)
        self._drop(next(light, next(iter(self._cases))))

    def _drop(self, digest: ids.RequestDigest) -> None:
        del self._cases[digest]
        self._places = None


def _explains(other: cases.Case, known: cases.End, end: cases.End) -> bool:
    """Returns whether another request's end leaves nothing to one's own."""
    if end.is_after(known):
        return True
    suspected = other.cleared_at is None and other.has_followed
    return suspected and end.is_beside(known)
