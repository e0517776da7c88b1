"""Sends one request and watches its answer; hundreds share one thread."""

import asyncio

import h11

from pollenfork import clock as clocks
from pollenfork.load import answer
from pollenfork.load import outcome as outcomes
from pollenfork.load import plan
from pollenfork.load import scenario as scenarios
from pollenfork.standin.engine import prompt as prompts

_READ_SIZE = 65_536
_PATH = "/v1/chat/completions"
_US_PER_S = 1_000_000


class Watch:
    """Times and checks one answer."""

    def __init__(self, stream: bool, planned_s: float) -> None:
        self.reader: answer.StreamReader | answer.PlainReader = (
            answer.StreamReader() if stream else answer.PlainReader()
        )
        self.status = 0
        self.not_run = False
        self.first_s: float | None = None
        self.gaps_us: list[int] = []
        self._planned_s = planned_s
        self._last_s = planned_s
        self._error = b""

    @property
    def first_token_ms(self) -> float | None:
        """From the planned arrival to the first token."""
        if self.first_s is None:
            return None
        return 1000 * (self.first_s - self._planned_s)

    @property
    def error_code(self) -> str:
        """The typed code of a refusal."""
        return answer.read_error_code(self._error)

    def take_head(self, response: h11.Response) -> None:
        """Takes the status and the headers."""
        self.status = response.status_code
        self.not_run = (b"x-outcome", b"not_run") in list(response.headers)

    def take_data(self, data: bytes, now_s: float) -> None:
        """Takes bytes of the body."""
        if self.status != 200:
            self._error += data
            return
        for _ in range(self.reader.feed(data)):
            if self.first_s is None:
                self.first_s = now_s
            else:
                self.gaps_us.append(round((now_s - self._last_s) * _US_PER_S))
            self._last_s = now_s

    def close(self, now_s: float) -> None:
        """The answer ended."""
        if self.status != 200:
            return
        self.reader.close()
        if self.first_s is None and self.reader.whole:
            self.first_s = now_s


class Client:
    """Sends requests as callers do, each on its own connection."""

    def __init__(
        self, scenario: scenarios.Scenario, clock: clocks.Clock
    ) -> None:
        self._scenario = scenario
        self._clock = clock

    async def send(
        self, arrival: plan.Arrival, address: str, started_s: float
    ) -> outcomes.Outcome:
        """Sends one request; returns what became of it."""
        kind = self._scenario.classes[arrival.class_name]
        watch = Watch(kind.stream, started_s + arrival.at_s)
        reason = ""
        try:
            async with asyncio.timeout(self._scenario.timeout_s):
                await self._exchange(arrival, kind, address, watch)
        except TimeoutError:
            reason = "timed_out"
        except (OSError, h11.ProtocolError) as error:
            reason = type(error).__name__
        end, why = self._judge(arrival, watch, reason)
        return outcomes.Outcome(
            class_name=arrival.class_name,
            label=arrival.label,
            end=end,
            reason=why,
            first_token_ms=watch.first_token_ms,
            gaps_us=tuple(watch.gaps_us),
            tokens=watch.reader.tokens,
            ended_s=self._clock.monotonic() - started_s,
        )

    async def _exchange(
        self,
        arrival: plan.Arrival,
        kind: scenarios.LoadClass,
        address: str,
        watch: Watch,
    ) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            connection = h11.Connection(h11.CLIENT)
            for event in _make_request(arrival, kind, address):
                writer.write(connection.send(event) or b"")
            await self._receive(connection, reader, watch)
        finally:
            writer.close()

    async def _receive(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        watch: Watch,
    ) -> None:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(_READ_SIZE))
            elif isinstance(event, h11.Response):
                watch.take_head(event)
            elif isinstance(event, h11.Data):
                watch.take_data(bytes(event.data), self._clock.monotonic())
            else:
                watch.close(self._clock.monotonic())
                return

    def _judge(
        self, arrival: plan.Arrival, watch: Watch, reason: str
    ) -> tuple[outcomes.End, str]:
        if reason == "timed_out":
            return outcomes.End.TIMED_OUT, reason
        if watch.status == 0:
            return outcomes.End.FAILED, reason
        if watch.status != 200:
            refused = watch.not_run
            end = outcomes.End.REFUSED if refused else outcomes.End.FAILED
            return end, watch.error_code
        if not watch.reader.whole or watch.reader.fault:
            return outcomes.End.BROKEN, watch.reader.fault or "cut_off"
        if self._scenario.check_text and not _is_text_right(arrival, watch):
            return outcomes.End.WRONG, "text"
        return outcomes.End.WHOLE, ""


def _make_request(
    arrival: plan.Arrival, kind: scenarios.LoadClass, address: str
) -> tuple[h11.Event, ...]:
    headers = [
        ("Host", address),
        ("Connection", "close"),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(arrival.body))),
        ("Authorization", f"Bearer {kind.key}"),
    ]
    if kind.service_class:
        headers.append(("X-Service-Class", kind.service_class))
    return (
        h11.Request(method="POST", target=_PATH, headers=headers),
        h11.Data(data=arrival.body),
        h11.EndOfMessage(),
    )


def _is_text_right(arrival: plan.Arrival, watch: Watch) -> bool:
    parsed = prompts.parse(arrival.body, chat=True, default_length=1)
    prompt = parsed.unwrap()
    expected = prompts.make_text(prompt.seed, prompt.length)
    return watch.reader.text == expected
