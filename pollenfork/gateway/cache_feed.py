"""Follows which parts of prompts runners cache.

Instances know which prompts they have sent to runners, but not what runners
have evicted since, nor, after an instance's restart, what they still cache. One
instance of each data centre asks its runners and informs the others, because
runners accept few such calls and traffic between data centres is paid for.
"""

import asyncio
from collections.abc import Callable
import functools
import logging
import random

import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.fleet import cache_order
from pollenfork.fleet import choice
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import client
from pollenfork.gateway import cluster_state
from pollenfork.gateway import edges
from pollenfork.gateway import messages
from pollenfork.gateway import peers
from pollenfork.loads import messages as loads

_LOG = logging.getLogger(__name__)

# For how many seconds a runner may hold a call without changes, which is the
# longest that runners accept; and the additional time allowed for the answer.
_WAIT_S = 1.0
_SLACK_S = 0.7
# A list of ten thousand cached parts takes half of this.
_MAX_REPORT_BYTES = 1 << 20
# The pause between calls to a runner, in seconds, so that changes of a busy
# runner come in batches. They are some hundred milliseconds old by the time
# they can be fetched.
_REST_S = 0.2
# The minimum pause per followed runner, in seconds. A call costs 0.22 ms of
# processor time, so this keeps an instance near 1% of a core.
_REST_EACH_S = 0.02
# The pause after a failed call. It doubles, as a crashed runner is away for
# seconds.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 2.0
# For how many seconds an instance must have been a relay before it asks
# runners. An instance that has just started considers itself a relay until it
# knows others.
_SETTLED_S = 0.5

OnRunnerHead = Callable[[fleet.Runner, int, list[messages.Header]], None]
ReportResult = result.Result[fleet_messages.CacheReport, failures.Failure]


class CacheFeed:
    """Follows what the runners of this data centre cache."""

    def __init__(
        self,
        codec: edges.CacheCodec,
        chooser: choice.Chooser,
        state: cluster_state.ClusterState,
        data_centre: ids.DataCentre,
        rng: random.Random,
        on_head: OnRunnerHead | None = None,
    ) -> None:
        """Creates a feed that follows no runner yet.

        Args:
            codec: Decodes and encodes the runners' calls.
            chooser: Receives what the runners cache.
            state: The runners, and the services that process prompts.
            data_centre: The data centre whose runners are asked.
            rng: Spreads the calls over time.
            on_head: Called with a runner, and the status and headers of its
                answer.
        """
        self._on_head = on_head
        self._loop = asyncio.get_running_loop()
        self._codec = codec
        self._chooser = chooser
        self._state = state
        self._data_centre = data_centre
        self._rng = rng
        self._relays_since: float | None = None
        self._tasks: dict[fleet.Incarnation, asyncio.Task[None]] = {}

    def check(self, others: peers.Peers) -> None:
        """Starts and stops following runners as the relay or they change."""
        now = self._loop.time()
        if not others.relays:
            self._relays_since = None
        elif self._relays_since is None:
            self._relays_since = now
        since = self._relays_since
        followable = {}
        if since is not None and now - since >= _SETTLED_S:
            followable = self._list_followable()
        for runner in set(self._tasks) - set(followable):
            self._tasks.pop(runner).cancel()
        for runner in set(followable) - set(self._tasks):
            following = self._follow(followable[runner])
            self._tasks[runner] = self._loop.create_task(following)

    def close(self) -> None:
        """Cancels all calls."""
        for task in self._tasks.values():
            task.cancel()

    def _list_followable(self) -> dict[fleet.Incarnation, fleet.Runner]:
        if self._state.lookup is None:
            return {}
        services = self._state.lookup.configuration.services
        reading = {name for name, each in services.items() if each.cache_tokens}
        return {
            runner.incarnation: runner
            for runner in self._state.runners.list_all()
            if runner.data_centre == self._data_centre
            and not runner.leaving
            # Calls to a rate-limited runner would use up requests of callers.
            and not self._chooser.is_limited(runner.id)
            and runner.service in reading
        }

    @property
    def _rest_s(self) -> float:
        return max(_REST_S, _REST_EACH_S * len(self._tasks))

    async def _follow(self, runner: fleet.Runner) -> None:
        """Follows one runner until cancelled."""
        on_head = self._on_head and functools.partial(self._on_head, runner)
        calls = client.Client(
            loads.Address(runner.host, runner.port), on_head, _MAX_REPORT_BYTES
        )
        order = cache_order.CacheOrder()
        pause_s = _FIRST_PAUSE_S
        try:
            while True:
                await self._wait_for_pause(runner)
                reply = await self._ask(calls, runner, order.after)
                if isinstance(reply, result.Err):
                    _LOG.info(
                        "event=cache_news_missing runner=%s detail=%r",
                        runner.id,
                        reply.err_value.detail,
                    )
                    order.start_over()
                    await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
                    pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
                    continue
                if not self._is_current_start(runner, reply.ok_value):
                    order.start_over()
                    await asyncio.sleep(pause_s)
                    pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
                    continue
                report = order.take(reply.ok_value)
                if report is None:
                    continue
                changed = self._chooser.apply_cache_report(
                    runner.incarnation, report
                )
                if report.complete:
                    _LOG.info(
                        "event=cache_known runner=%s parts=%d changed=%d",
                        runner.id,
                        len(report.changes),
                        changed,
                    )
                pause_s = _FIRST_PAUSE_S
                await asyncio.sleep(self._rest_s * self._rng.uniform(0.8, 1.2))
        finally:
            calls.close()

    async def _wait_for_pause(self, runner: fleet.Runner) -> None:
        """Returns once the runner doesn't ask for a pause."""
        pauses = self._chooser.pauses
        while pauses.is_paused(runner.incarnation, self._loop.time()):
            await asyncio.sleep(self._rest_s)

    def _is_current_start(
        self, runner: fleet.Runner, report: fleet_messages.CacheReport
    ) -> bool:
        """Returns whether an answer is of the start that is followed.

        A later start that the runner's entry doesn't show yet is recorded, and
        spreads to all instances from here, unless it lies in the future.
        """
        if report.start is None or report.start == runner.start:
            return True
        arrival = self._state.runners.record_start(runner.id, report.start)
        if arrival is registry.PutResult.RESTARTED:
            _LOG.info(
                "event=runner_restarted runner=%s start=%d before=%s",
                runner.id,
                report.start,
                runner.start,
            )
        elif arrival is registry.PutResult.IMPLAUSIBLE:
            _LOG.warning(
                "event=runner_start_refused runner=%s start=%d before=%s",
                runner.id,
                report.start,
                runner.start,
            )
        return runner.start is None

    async def _ask(
        self, calls: client.Client, runner: fleet.Runner, after: int | None
    ) -> ReportResult:
        """Returns the changes after one, or all cached parts if it is None."""
        write = self._codec.encode_feed_request
        request = write(runner, after or 0, _WAIT_S)
        answer = await calls.call(request, _WAIT_S + _SLACK_S)
        if answer is None:
            return result.Err(NoAnswer(detail="no answer"))
        reply = self._codec.decode_feed(answer.status, answer.body)
        if isinstance(reply, result.Err):
            return reply
        if reply.ok_value.gap:
            return await self._ask_all(calls, runner)
        return reply

    async def _ask_all(
        self, calls: client.Client, runner: fleet.Runner
    ) -> ReportResult:
        await self._wait_for_pause(runner)
        request = self._codec.encode_list_request(runner)
        answer = await calls.call(request, _SLACK_S)
        if answer is None:
            return result.Err(NoAnswer(detail="no answer"))
        return self._codec.decode_list(answer.status, answer.body)


class NoAnswer(failures.Failure, frozen=True, kw_only=True):
    """A runner didn't answer a call."""
