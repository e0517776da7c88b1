"""Which runners have ended, and which requests they were running.

A connection that breaks proves nothing of its runner: it may have been reset,
cut off, or its answer lost. What proves an end is that nobody listens at the
runner's address, that another one answers there, or that the registry tells of
a later start or drops the entry. A runner that was leaving ends as planned.
"""

from collections.abc import Callable
import logging

import msgspec

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.poison import cases

_LOG = logging.getLogger(__name__)

# How long a break waits for proof that its runner has ended, in seconds. An
# entry lapses 3.6 s after its runner's last sign.
_PROOF_S = 5.0
# How long it is remembered that a runner has ended, in seconds, and of how
# many at most.
_ENDED_S = 2 * cases.LAPSE_S
_ENDED_LIMIT = 8192
# What another one says of a runner that is listed here needs this long, in
# seconds, without a sign of it; a connection is tried meanwhile, which tells
# within some milliseconds.
_DOUBTED_S = 1.0
# A runner that isn't known here, as it ended before this start or while this
# instance was cut off, has ended if this many others keep the request back,
# which have checked. One alone may be broken; where it is alone beside this
# one, its word is all there is.
_AGREED = 2
# A runner that is back at once passes for one that has lived on. What another
# one says of its end is in doubt, and not false, where this many ends under the
# same request are proven here, or this many others saw ends, or this instance
# saw one.
_CORROBORATING = 2


class _Broken(msgspec.Struct, frozen=True):
    """An attempt whose connection broke."""

    digest: ids.RequestDigest
    sent_at: float
    broken_at: float
    made_at: float | None


class _Ended(msgspec.Struct):
    """A runner that has surely ended.

    Attributes:
        found_at: Monotonic seconds at which that was first found.
        proven_at: The same of the last proof.
        planned: Whether it was leaving.
    """

    found_at: float
    proven_at: float
    planned: bool = False


class Witness:
    """Turns broken attempts into ends once their runner's end is proven."""

    def __init__(
        self,
        runners: registry.Registry,
        witness: int,
        lives_since: Callable[[ids.EndpointId, float], bool],
        note_end: Callable[[ids.RequestDigest, cases.End, float], object],
        count_others: Callable[[], int],
    ) -> None:
        """Starts with nothing seen.

        Args:
            runners: The runners of all services.
            witness: A hash of this instance's host.
            lives_since: Returns whether a runner has shown here since a moment
                that it runs.
            note_end: Takes each end that is proven.
            count_others: Returns how many other instances there are.
        """
        self._runners = runners
        self._witness = witness
        self._lives_since = lives_since
        self._on_doubted: list[Callable[[model.Runner], object]] = []
        self._note_end = note_end
        self._count_others = count_others
        self._broken: dict[int, list[_Broken]] = {}
        self._ended: dict[int, _Ended] = {}
        self._told_ended: dict[int, float] = {}
        self._places: dict[ids.EndpointId, tuple[model.Runner, int]] = {}

    def when_doubted(self, call: Callable[[model.Runner], object]) -> None:
        """Calls `call` with a runner that another one says has ended."""
        self._on_doubted.append(call)

    def note_broken(
        self,
        digest: ids.RequestDigest,
        runner: model.Runner,
        sent_at: float,
        now: float,
        made_at: float | None = None,
    ) -> None:
        """Takes that an attempt's connection broke.

        Args:
            digest: The request's.
            runner: Where it ran, as it was when chosen.
            sent_at: Monotonic seconds at which it was sent.
            now: Monotonic seconds.
            made_at: When the connection was made, if that is known.
        """
        known = self._runners.find(runner.id)
        if known is None or known.leaving or runner.leaving:
            return  # It may have ended as planned.
        if self._runners.get_kept_until(runner.id) is not None:
            return
        place = evidence.hash_runner(runner)
        waiting = self._broken.setdefault(place, [])
        # A runner may break connections for hours and never end.
        waiting[:] = [
            each for each in waiting if now - each.broken_at <= _PROOF_S
        ]
        waiting.append(_Broken(digest, sent_at, now, made_at))
        if known.incarnation != runner.incarnation:
            self.note_ended(place, now, "registry")
        elif self._has_ended(place, now):
            self._prove(place, now, "known")

    def note_ended(self, place: int, now: float, proof: str) -> None:
        """Takes what has been seen here: that a runner has surely ended.

        Args:
            place: A hash of its start and its address.
            now: Monotonic seconds.
            proof: What proves it, for the log.
        """
        if place not in self._ended and len(self._ended) >= _ENDED_LIMIT:
            del self._ended[next(iter(self._ended))]
        known = self._ended.setdefault(place, _Ended(now, now))
        known.proven_at = now
        self._prove(place, now, proof)

    def note_told_ended(self, place: int, now: float) -> None:
        """Takes what any instance says: that nobody is at a runner's place.

        It goes for what broke here, not against what answers here.
        """
        if len(self._told_ended) < _ENDED_LIMIT:
            self._told_ended[place] = now
        self._prove(place, now, "told")

    def believes(self, end: cases.End, case: cases.Case, now: float) -> bool:
        """Returns whether an end that was told may be true.

        A broken instance may tell of ends that never were,
        so what is known here goes first.

        Args:
            end: The end.
            case: What is known of the request that it ran.
            now: Monotonic seconds.
        """
        if end.place in self._ended:
            return True
        runner = self._find_runner(end.place)
        if runner is not None:
            if self._lives_since(runner.id, end.ended_at):
                return False
            return now - end.ended_at > _DOUBTED_S
        return len(case.vouchers) >= min(_AGREED, self._count_others())

    def list_unproven(
        self, digest: ids.RequestDigest, now: float
    ) -> list[cases.End]:
        """Returns the ends of runners that breaks just now may turn out to be.

        A connection that is made meanwhile doesn't disprove them: the runner
        may have started again, which the registry tells within a second.

        Args:
            digest: The request's.
            now: Monotonic seconds.
        """
        return [
            self._make_end(place, each)
            for place, waiting in self._broken.items()
            for each in waiting
            if each.digest == digest and now - each.broken_at <= _DOUBTED_S
        ]

    def list_doubted(self, case: cases.Case, now: float) -> list[cases.End]:
        """Returns the ends just now that can't be told from made-up ones yet.

        Args:
            case: What is known of a request.
            now: Monotonic seconds.
        """
        if not self._is_corroborated(case):
            return []
        return [each for each in case.ends if now - each.ended_at <= _DOUBTED_S]

    def list_ended(self, since: float) -> list[int]:
        """Returns the places of runners that were found to have ended.

        Args:
            since: Monotonic seconds.
        """
        return [
            place
            for place, known in self._ended.items()
            if known.found_at >= since and not known.planned
        ]

    def check(self, place: int) -> None:
        """Has a runner tried that another instance says has ended.

        Later it may have started again, and a connection would speak against
        what is true.
        """
        runner = self._find_runner(place)
        if runner is not None and place not in self._ended:
            for call in self._on_doubted:
                call(runner)

    def note_gone(self, runner: ids.EndpointId, now: float) -> None:
        """Takes that the registry names a runner no more, or another start.

        Args:
            runner: The runner.
            now: Monotonic seconds.
        """
        if self._runners.find(runner) is not None:
            return  # It leaves, and goes on with what it runs.
        known = self._places.pop(runner, None)
        if known is None:
            return
        listed, place = known
        self.note_ended(place, now, "registry")
        self._ended[place].planned = listed.leaving

    def sweep(self, now: float) -> None:
        """Takes over the runners known now; forgets what is old."""
        self._note_places()
        for place, broken in list(self._broken.items()):
            if now - broken[-1].broken_at > _PROOF_S:
                del self._broken[place]
        _forget(self._told_ended, now - _PROOF_S)
        before = now - _ENDED_S
        for place, known in list(self._ended.items()):
            if known.proven_at < before:
                del self._ended[place]

    def _is_corroborated(self, case: cases.Case) -> bool:
        """Returns whether ends proven here speak for those that were told.

        A runner that is back within milliseconds answers a check as if it had
        never ended.
        """
        proven = [each for each in case.ends if each.place in self._ended]
        seen = any(each.witness == self._witness for each in proven)
        told = len(case.reporters)
        return seen or max(len(proven), told) >= _CORROBORATING

    def _prove(self, place: int, now: float, proof: str) -> None:
        """Turns what broke at a runner into its end under these requests."""
        for broken in self._broken.pop(place, ()):
            if now - broken.broken_at > _PROOF_S:
                continue
            _LOG.warning(
                "event=runner_ended digest=%016x place=%08x proof=%s "
                "ran_ms=%d proven_ms=%d",
                broken.digest,
                place,
                proof,
                (broken.broken_at - broken.sent_at) * 1000,
                (now - broken.broken_at) * 1000,
            )
            end = self._make_end(place, broken)
            self._note_end(broken.digest, end, now)

    def _make_end(self, place: int, broken: _Broken) -> cases.End:
        return cases.End(
            place,
            broken.sent_at,
            broken.broken_at,
            self._witness,
            broken.made_at,
        )

    def _has_ended(self, place: int, now: float) -> bool:
        """Returns whether it was proven just now that a runner has ended."""
        since = now - _PROOF_S
        known = self._ended.get(place)
        found = known is not None and known.proven_at > since
        return found or self._told_ended.get(place, since) > since

    def _note_places(self) -> None:
        live = {runner.id: runner for runner in self._runners.list_all()}
        for runner_id in [each for each in self._places if each not in live]:
            del self._places[runner_id]
        for runner in live.values():
            known = self._places.get(runner.id)
            if known is None or known[0] is not runner:
                self._places[runner.id] = runner, evidence.hash_runner(runner)

    def _find_runner(self, place: int) -> model.Runner | None:
        """Returns the runner at a place, if it is listed; it may be new."""
        for _ in range(2):
            for runner, known in self._places.values():
                if known == place:
                    return runner
            self._note_places()
        return None


def _forget(known: dict[int, float], before: float) -> None:
    for place, at in list(known.items()):
        if at < before:
            del known[place]
