"""Asks other instances which runners may have ended before this one started."""

import asyncio
import logging
from typing import Protocol

import xxhash

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway.streams import origin_searches
from pollenfork.loads import messages as loads
from pollenfork.loads import stream_messages
from pollenfork.streams import holders

_LOG = logging.getLogger(__name__)

# How long answers are awaited before more instances are asked, in seconds.
_ROUND_S = 0.06
# For how long no runner is certain once others have been asked, in seconds.
# Earlier builds don't answer.
_MAX_HOLD_S = 0.3
# The same while no other instance is known, in seconds. A hello that was lost
# is repeated after half of it.
_MAX_ALONE_S = 1.0
# For how long others are asked in all, and how often after the hold, in
# seconds.
_MAX_ASK_S = 3.0
_LATE_ROUND_S = 0.5
# With fewer answers a round isn't ended early: more instances are becoming
# known at a start.
_MIN_ANSWERS = 2
# How often it is checked whether the runners have been read, in seconds.
_POLL_S = 0.02
# Runners named in one answer, 21 bytes each: it fits in one packet.
_MAX_NAMED = 60


class State(Protocol):
    """What is known of the runners."""

    has_runners: bool  # Whether the registry has been read completely.

    @property
    def runners(self) -> registry.Registry:
        """The registered runners."""


class StartProof(Protocol):
    """Asks runners for their start; see `version_records.start_proof`."""

    async def run(self) -> None:
        """Puts all runners in doubt, and returns once they have been asked."""

    async def check_doubted(self) -> None:
        """Asks the runners that are in doubt."""


class DoubtExchange:
    """Learns which runners are in doubt at a start, and tells others later."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        judged: continuity.Continuity,
        state: State,
        peers: origin_searches.Peers,
        host: str,
        data_centre: ids.DataCentre,
        proof: StartProof | None = None,
    ) -> None:
        """Creates an exchange that answers others, and asks if `ask` is called.

        Args:
            loop: Provides the clock.
            judged: Tells which runners are in doubt.
            state: What is known of the runners.
            peers: The other instances.
            host: This instance's host.
            data_centre: Where it runs.
            proof: Asks the runners themselves; None: nobody does, and their
                entries are believed if no instance has answered.
        """
        self._proof = proof
        self._loop = loop
        self._judged = judged
        self._state = state
        self._peers = peers
        self._host = host
        self._data_centre = data_centre
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._changed = asyncio.Event()
        self._held_at = 0.0
        self._settled = asyncio.Event()
        self._settled.set()

    def hold(self) -> None:
        """Counts no runner as certain until `ask` has learned more.

        Other instances may know that its process has ended.
        """
        self._held_at = self._loop.time()
        self._settled.clear()
        self._judged.hold()

    async def ask(self) -> None:
        """Asks which runners are in doubt, once the runners are known.

        Only if `hold` has been called: there may be others to ask.
        """
        if self._settled.is_set():
            return
        try:
            while not self._state.has_runners:
                await asyncio.sleep(_POLL_S)
            await self._ask_in_rounds()
            await self._settle()
        finally:
            self._release()
        if self._proof is not None:
            await self._proof.check_doubted()

    async def _ask_in_rounds(self) -> None:
        """Asks until the nearest instances that can be found have answered."""
        begun = self._loop.time()
        held_until = begun + _MAX_ALONE_S
        while self._loop.time() < begun + _MAX_ASK_S:
            chosen = self._choose_asked()
            if self._answered and self._asked.issuperset(chosen):
                return
            if chosen and not self._asked:
                asked_until = self._loop.time() + _MAX_HOLD_S
                held_until = min(held_until, asked_until)
            self._send_queries(chosen)
            if self._settled.is_set():
                await self._wait_for_answers(_LATE_ROUND_S)
                continue
            left_s = held_until - self._loop.time()
            await self._wait_for_answers(min(_ROUND_S, left_s))
            if self._loop.time() >= held_until:
                await self._settle()

    async def _settle(self) -> None:
        """Ends the hold; asks the runners themselves if nobody else told."""
        if self._settled.is_set():
            return
        if not self._answered and self._proof is not None:
            try:
                async with asyncio.timeout(_MAX_HOLD_S):
                    await self._proof.run()
            except TimeoutError:
                pass  # Those that haven't answered stay in doubt.
        self._release()

    def _release(self) -> None:
        if self._settled.is_set():
            return
        self._settled.set()
        self._judged.release()
        _LOG.info(
            "event=doubts_asked asked=%d answered=%d took_ms=%d",
            len(self._asked),
            len(self._answered),
            (self._loop.time() - self._held_at) * 1000,
        )

    async def wait_until_settled(self) -> None:
        """Waits until runners may count as certain, for a short time only."""
        if self._settled.is_set():
            return
        try:
            async with asyncio.timeout(_MAX_HOLD_S):
                await self._settled.wait()
        except TimeoutError:
            return

    def receive(
        self, message: stream_messages.StreamMessage, host: str
    ) -> None:
        """Processes another instance's message."""
        match message:
            case stream_messages.DoubtQuery():
                # What isn't known yet is no answer.
                if self._settled.is_set():
                    self._peers.send(host, self._make_answer())
            case stream_messages.DoubtAnswer():
                if host in self._asked and host not in self._answered:
                    self._answered.add(host)
                    self._record(message)
                    self._changed.set()

    def _choose_asked(self) -> list[str]:
        return holders.choose_asked(
            xxhash.xxh64_intdigest(self._host.encode()),
            self._peers.list_members(),
            self._host,
            self._data_centre,
            widely=bool(self._asked) and not self._answered,
        )

    def _send_queries(self, chosen: list[str]) -> None:
        self._asked.update(chosen)
        query = stream_messages.DoubtQuery(self._data_centre)
        for host in chosen:
            if host not in self._answered:
                self._peers.send(host, query)

    async def _wait_for_answers(self, round_s: float) -> None:
        """Waits until all that were asked have answered, or for a round."""
        try:
            async with asyncio.timeout(round_s):
                while (
                    len(self._answered) < _MIN_ANSWERS
                    or self._asked > self._answered
                ):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return

    def _make_answer(self) -> stream_messages.DoubtAnswer:
        doubts = self._judged.list_doubts(self._loop.time())
        return stream_messages.DoubtAnswer(
            self._data_centre,
            tuple(
                stream_messages.DoubtedRunner(
                    loads.hash_name(runner.encode()),
                    round(doubt.explained_from * 1000),
                    round(doubt.age_s * 1000),
                    round(doubt.current_s * 1000),
                )
                for runner, doubt in doubts[:_MAX_NAMED]
            ),
        )

    def _record(self, answer: stream_messages.DoubtAnswer) -> None:
        told = {each.runner: each for each in answer.doubted}
        for runner in self._state.runners.list_all():
            found = told.get(loads.hash_name(runner.id.encode()))
            if found is None:
                continue
            doubt = signs.Doubt(
                found.explained_ms / 1000.0,
                found.age_ms / 1000.0,
                found.current_ms / 1000.0,
            )
            self._judged.record_told(runner.id, doubt, self._loop.time())
