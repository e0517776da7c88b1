"""Asks runners for their start, where it is in doubt which process runs.

A runner may have ended and started again, at another software version, behind
an entry that it couldn't replace. After a loss of all instances nobody knows of
that; beside others a sign of it may mean nothing. The runner names its start if
it is asked what it caches; others are in doubt until their entry has lasted.
"""

import asyncio
import logging

import result

from pollenfork.fleet import continuity
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.loads import messages as loads

_LOG = logging.getLogger(__name__)

# Runners that are asked at a time.
_AT_ONCE = 32
_TIMEOUT_S = 0.7
# A runner's start dismisses only signs that are older than what it sent may be
# on the way, in seconds.
_SIGN_AGE_S = 1.0
# How much of what a runner caches is read. It is of no use here.
_MAX_REPORT_BYTES = 1 << 20


class StartProof:
    """Puts runners in doubt until they show which process runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        codec: edges.CacheCodec,
        runners: registry.Registry,
        judged: continuity.Continuity,
    ) -> None:
        """Creates a proof that has asked nobody.

        Args:
            loop: Provides the clock.
            codec: Encodes and decodes the question.
            runners: The registered runners.
            judged: Tells which runners are in doubt.
        """
        self._loop = loop
        self._codec = codec
        self._runners = runners
        self._judged = judged

    async def run(self) -> None:
        """Puts all runners in doubt, and returns once they have been asked."""
        doubted = [
            runner
            for runner in self._runners.list_all()
            if runner.start is not None
        ]
        for runner in doubted:
            assert runner.start is not None
            doubt = signs.Doubt((runner.start + 1) / 1000.0, _SIGN_AGE_S)
            self._judged.record_told(runner.id, doubt, self._loop.time())
        await self._ask_all(doubted)

    async def check_doubted(self) -> None:
        """Asks the runners that others have told to be in doubt."""
        await asyncio.sleep(continuity.IN_FLIGHT_S)
        await self._ask_all(
            [
                runner
                for runner in self._runners.list_all()
                if runner.start is not None
                and self._judged.has_signs(runner.id)
            ]
        )

    async def _ask_all(self, doubted: list[fleet.Runner]) -> None:
        turn = asyncio.Semaphore(_AT_ONCE)

        async def ask(runner: fleet.Runner) -> None:
            async with turn:
                await self.ask(runner)

        await asyncio.gather(*map(ask, doubted))
        left = [each for each in doubted if self._judged.has_signs(each.id)]
        _LOG.info(
            "event=starts_asked runners=%d in_doubt=%d", len(doubted), len(left)
        )

    async def ask(self, runner: fleet.Runner) -> None:
        """Asks one runner for its start, and believes its answer."""
        calls = client.Client(
            loads.Address(runner.host, runner.port),
            max_bytes=_MAX_REPORT_BYTES,
        )
        try:
            request = self._codec.encode_feed_request(runner, 0, 0.0)
            answer = await calls.call(request, _TIMEOUT_S)
        finally:
            calls.close()
        if answer is None:
            return
        report = self._codec.decode_feed(answer.status, answer.body)
        if isinstance(report, result.Err) or report.ok_value.start is None:
            return
        start = report.ok_value.start
        if start == runner.start:
            self._judged.record_start(runner.id, start, self._loop.time())
        else:
            self._runners.record_start(runner.id, start)
