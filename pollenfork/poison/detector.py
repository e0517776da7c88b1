"""Detects runner crashes and the requests that were in flight.

A broken connection doesn't prove a crash: it may have been reset or cut off, or
its answer lost. A crash is proven if nothing listens at the runner's address,
if another runner answers there, or if the registry lists a later start or drops
the entry. A draining runner ends as planned.
"""

from collections.abc import Callable
import logging

import msgspec

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.poison import crashes

_LOG = logging.getLogger(__name__)

# How long a broken connection waits for proof of a crash, in seconds. A
# registry entry expires 3.6 s after the runner's last heartbeat.
_PROOF_S = 5.0
# How long, in seconds, and for how many runners at most it is remembered that
# they have ended.
_ENDED_S = 2 * crashes.EXPIRY_S
_ENDED_LIMIT = 8192
# A crash that another instance reports of a registered runner counts after this
# many seconds without a sign of life. A connection is tried meanwhile, which
# shows it within some milliseconds.
_UNCONFIRMED_S = 1.0
# A runner unknown here, as it ended before this start or while this instance
# was cut off, is taken to have crashed if this many other instances quarantine
# the request, as they have checked. One alone may be faulty; it suffices where
# there is only one other instance.
_MIN_CONFIRMATIONS = 2
# A runner that is restarted at once looks as if it had never crashed. A crash
# reported of it is held as unconfirmed, not rejected, if this many crashes
# under the same request are proven here, this many other instances observed
# crashes themselves, or this instance observed one.
_MIN_CORROBORATION = 2


class _BrokenAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection broke."""

    digest: ids.RequestDigest
    sent_at: float
    broken_at: float
    connected_at: float | None


class _EndedRunner(msgspec.Struct):
    """A runner that is proven to have ended.

    Attributes:
        found_at: When that was first proven, in monotonic seconds.
        proven_at: When that was last proven, in monotonic seconds.
        planned: Whether it was draining.
    """

    found_at: float
    proven_at: float
    planned: bool = False


class CrashDetector:
    """Turns broken attempts into crashes once these are proven."""

    def __init__(
        self,
        runners: registry.Registry,
        sender: int,
        is_alive_since: Callable[[ids.EndpointId, float], bool],
        on_crash: Callable[[ids.RequestDigest, crashes.Crash, float], object],
        count_peers: Callable[[], int],
    ) -> None:
        """Creates a detector without any observations.

        Args:
            runners: The runners of all services.
            sender: A hash of this instance's host.
            is_alive_since: Returns whether a runner has shown this instance
                since a given time that it is alive.
            on_crash: Called with each crash that is proven.
            count_peers: Returns how many other instances there are.
        """
        self._runners = runners
        self._sender = sender
        self._is_alive_since = is_alive_since
        self._on_probe_needed: list[Callable[[model.Runner], object]] = []
        self._on_crash = on_crash
        self._count_peers = count_peers
        self._broken: dict[int, list[_BrokenAttempt]] = {}
        self._ended: dict[int, _EndedRunner] = {}
        self._reported_ended: dict[int, float] = {}
        self._hashes: dict[ids.EndpointId, tuple[model.Runner, int]] = {}

    def when_probe_needed(self, call: Callable[[model.Runner], object]) -> None:
        """Calls `call` with each runner that another instance says crashed."""
        self._on_probe_needed.append(call)

    def record_broken_connection(
        self,
        digest: ids.RequestDigest,
        runner: model.Runner,
        sent_at: float,
        now: float,
        connected_at: float | None = None,
    ) -> None:
        """Records that the connection of an attempt broke.

        Args:
            digest: The digest of the request.
            runner: The runner, as it was when chosen.
            sent_at: When the request was sent, in monotonic seconds.
            now: Monotonic seconds.
            connected_at: When the connection was opened, if known.
        """
        registered = self._runners.find(runner.id)
        if registered is None or registered.leaving or runner.leaving:
            return  # It may have ended as planned.
        if self._runners.get_kept_until(runner.id) is not None:
            return
        runner_hash = evidence.hash_runner(runner)
        waiting = self._broken.setdefault(runner_hash, [])
        # A runner may break connections for hours without crashing.
        waiting[:] = [
            each for each in waiting if now - each.broken_at <= _PROOF_S
        ]
        waiting.append(_BrokenAttempt(digest, sent_at, now, connected_at))
        if registered.incarnation != runner.incarnation:
            self.record_ended(runner_hash, now, "registry")
        elif self._has_ended(runner_hash, now):
            self._confirm(runner_hash, now, "known")

    def record_ended(self, runner_hash: int, now: float, proof: str) -> None:
        """Records that this instance has proof that a runner has ended.

        Args:
            runner_hash: A hash of the runner's incarnation and its address.
            now: Monotonic seconds.
            proof: The kind of proof, for the log.
        """
        if runner_hash not in self._ended and len(self._ended) >= _ENDED_LIMIT:
            del self._ended[next(iter(self._ended))]
        ended = self._ended.setdefault(runner_hash, _EndedRunner(now, now))
        ended.proven_at = now
        self._confirm(runner_hash, now, proof)

    def record_reported_end(self, runner_hash: int, now: float) -> None:
        """Records that an instance found nothing at a runner's address.

        It confirms crashes behind connections that broke here, but isn't held
        against a runner that answers here.
        """
        if len(self._reported_ended) < _ENDED_LIMIT:
            self._reported_ended[runner_hash] = now
        self._confirm(runner_hash, now, "told")

    def is_credible(
        self, crash: crashes.Crash, history: crashes.CrashHistory, now: float
    ) -> bool:
        """Returns whether a reported crash may be genuine.

        A faulty instance may report crashes that never happened, so what this
        instance has observed takes precedence.

        Args:
            crash: The crash.
            history: The history of the request that was in flight.
            now: Monotonic seconds.
        """
        if crash.runner_hash in self._ended:
            return True
        runner = self._find_runner(crash.runner_hash)
        if runner is not None:
            if self._is_alive_since(runner.id, crash.crashed_at):
                return False
            return now - crash.crashed_at > _UNCONFIRMED_S
        return len(history.confirming_hosts) >= min(
            _MIN_CONFIRMATIONS, self._count_peers()
        )

    def list_possible_crashes(
        self, digest: ids.RequestDigest, now: float
    ) -> list[crashes.Crash]:
        """Returns the crashes that may be behind recently broken connections.

        A connection that is opened meanwhile doesn't disprove them: the runner
        may have been restarted, which the registry shows within a second.

        Args:
            digest: The digest of the request.
            now: Monotonic seconds.
        """
        return [
            self._to_crash(runner_hash, each)
            for runner_hash, waiting in self._broken.items()
            for each in waiting
            if each.digest == digest and now - each.broken_at <= _UNCONFIRMED_S
        ]

    def list_unconfirmed(
        self, history: crashes.CrashHistory, now: float
    ) -> list[crashes.Crash]:
        """Returns recent crashes that may yet prove genuine or made up.

        Args:
            history: The history of the request.
            now: Monotonic seconds.
        """
        if not self._is_corroborated(history):
            return []
        return [
            each
            for each in history.crashes
            if now - each.crashed_at <= _UNCONFIRMED_S
        ]

    def list_crashed(self, since: float) -> list[int]:
        """Returns the hashes of runners that ended unplanned.

        Args:
            since: The earliest time at which that was found, in monotonic
                seconds.
        """
        return [
            runner_hash
            for runner_hash, ended in self._ended.items()
            if ended.found_at >= since and not ended.planned
        ]

    def probe(self, runner_hash: int) -> None:
        """Has a connection tried to a runner that is reported to have crashed.

        It must be tried at once: once the runner has been restarted, a
        successful connection would contradict a genuine crash.
        """
        runner = self._find_runner(runner_hash)
        if runner is not None and runner_hash not in self._ended:
            for call in self._on_probe_needed:
                call(runner)

    def record_removed(self, runner: ids.EndpointId, now: float) -> None:
        """Records that the registry dropped a runner or lists a new start.

        Args:
            runner: The runner.
            now: Monotonic seconds.
        """
        if self._runners.find(runner) is not None:
            return  # It is draining, and continues with its requests.
        entry = self._hashes.pop(runner, None)
        if entry is None:
            return
        listed, runner_hash = entry
        self.record_ended(runner_hash, now, "registry")
        self._ended[runner_hash].planned = listed.leaving

    def sweep(self, now: float) -> None:
        """Updates the hashes of registered runners, and forgets old records."""
        self._update_hashes()
        for runner_hash, broken in list(self._broken.items()):
            if now - broken[-1].broken_at > _PROOF_S:
                del self._broken[runner_hash]
        _drop_expired(self._reported_ended, now - _PROOF_S)
        before = now - _ENDED_S
        for runner_hash, ended in list(self._ended.items()):
            if ended.proven_at < before:
                del self._ended[runner_hash]

    def _is_corroborated(self, history: crashes.CrashHistory) -> bool:
        """Returns whether other crashes support those reported of a request.

        A runner that is restarted within milliseconds answers a probe as if it
        had never crashed.
        """
        proven = [
            each for each in history.crashes if each.runner_hash in self._ended
        ]
        observed = any(each.sender == self._sender for each in proven)
        reporting = len(history.reporting_hosts)
        return observed or max(len(proven), reporting) >= _MIN_CORROBORATION

    def _confirm(self, runner_hash: int, now: float, proof: str) -> None:
        """Reports the broken attempts at a runner as crashes."""
        for broken in self._broken.pop(runner_hash, ()):
            if now - broken.broken_at > _PROOF_S:
                continue
            _LOG.warning(
                "event=runner_ended digest=%016x place=%08x proof=%s "
                "ran_ms=%d proven_ms=%d",
                broken.digest,
                runner_hash,
                proof,
                (broken.broken_at - broken.sent_at) * 1000,
                (now - broken.broken_at) * 1000,
            )
            crash = self._to_crash(runner_hash, broken)
            self._on_crash(broken.digest, crash, now)

    def _to_crash(
        self, runner_hash: int, broken: _BrokenAttempt
    ) -> crashes.Crash:
        return crashes.Crash(
            runner_hash,
            broken.sent_at,
            broken.broken_at,
            self._sender,
            broken.connected_at,
        )

    def _has_ended(self, runner_hash: int, now: float) -> bool:
        """Returns whether a runner is proven or reported to have just ended."""
        since = now - _PROOF_S
        ended = self._ended.get(runner_hash)
        proven = ended is not None and ended.proven_at > since
        return proven or self._reported_ended.get(runner_hash, since) > since

    def _update_hashes(self) -> None:
        live = {runner.id: runner for runner in self._runners.list_all()}
        for runner_id in [each for each in self._hashes if each not in live]:
            del self._hashes[runner_id]
        for runner in live.values():
            entry = self._hashes.get(runner.id)
            if entry is None or entry[0] is not runner:
                self._hashes[runner.id] = runner, evidence.hash_runner(runner)

    def _find_runner(self, runner_hash: int) -> model.Runner | None:
        """Returns the registered runner with a hash; None if there is none."""
        # The second pass finds runners that were registered since the last one.
        for _ in range(2):
            for runner, each in self._hashes.values():
                if each == runner_hash:
                    return runner
            self._update_hashes()
        return None


def _drop_expired(moments: dict[int, float], before: float) -> None:
    for runner_hash, at in list(moments.items()):
        if at < before:
            del moments[runner_hash]
