"""Logs which runners declare a rate limit, and what they are sent."""

import collections
import logging

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.ratelimits import parsing

_LOG = logging.getLogger(__name__)

_WINDOW_S = 4.0
_INTERVAL_S = 1.0


class LimitEvents:
    """Logs each change of a runner's limit, and requests sent under a limit."""

    def __init__(self) -> None:
        self._rates: dict[ids.EndpointId, float] = {}
        self._sent: dict[ids.EndpointId, collections.deque[float]] = {}
        self._logged_at: dict[ids.EndpointId, float] = {}
        self._irregular: set[ids.EndpointId] = set()

    def on_sent(self, runner: fleet.Runner, now: float) -> None:
        """Counts a request sent to a runner that has a limit."""
        rate = self._rates.get(runner.id)
        if rate is None:
            return
        sent = self._sent.setdefault(runner.id, collections.deque())
        sent.append(now)
        while sent[0] <= now - _WINDOW_S:
            sent.popleft()
        if now < self._logged_at.get(runner.id, 0.0) + _INTERVAL_S:
            return
        self._logged_at[runner.id] = now
        _LOG.info(
            "event=limited_sends runner=%s rate=%g sent=%d window_ms=%d",
            runner.id,
            rate,
            len(sent),
            _WINDOW_S * 1000,
        )

    def on_answer(
        self, runner: fleet.Runner, read: parsing.ParsedLimit
    ) -> None:
        """Logs the limit of an answer if it differs from the previous one."""
        if not read.well_formed and runner.id not in self._irregular:
            self._irregular.add(runner.id)
            _LOG.warning(
                "event=limit_irregular runner=%s rate=%s readable=%s",
                runner.id,
                _format(read.rate),
                read.readable,
            )
        previous = self._rates.get(runner.id)
        if not read.readable or read.rate == previous:
            return
        _LOG.info(
            "event=limit_named runner=%s rate=%s before=%s",
            runner.id,
            _format(read.rate),
            _format(previous),
        )
        if read.rate is None:
            self.forget(runner.id)
        else:
            self._rates[runner.id] = read.rate

    def forget(self, runner: ids.EndpointId) -> None:
        """Drops a runner that is gone or has no limit any more."""
        self._rates.pop(runner, None)
        self._sent.pop(runner, None)
        self._logged_at.pop(runner, None)
        self._irregular.discard(runner)


def _format(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:g}"
