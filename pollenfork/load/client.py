"""Sends one request and watches its answer; hundreds share one thread."""

import asyncio

import httptools

from pollenfork import clock as clocks
from pollenfork.load import answer
from pollenfork.load import outcome as outcomes
from pollenfork.load import plan
from pollenfork.load import scenario as scenarios
from pollenfork.standin.engine import prompt as prompts

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

    def take_header(self, name: bytes, value: bytes) -> None:
        """Takes one header; its name is in lower case."""
        if name == b"x-outcome":
            self.not_run = value == b"not_run"

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


class _Receiver(asyncio.Protocol):
    """Sends one request and passes its answer to a watch."""

    def __init__(
        self,
        request: bytes,
        watch: Watch,
        clock: clocks.Clock,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.ended: asyncio.Future[None] = loop.create_future()
        self._request = request
        self._watch = watch
        self._clock = clock
        self._now_s = 0.0
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Passes on what came."""
        self._now_s = self._clock.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(error)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone; the watch judges what came."""
        self._watch.close(self._clock.monotonic())
        self._end(error)

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser read a header."""
        self._watch.take_header(name.lower(), value)

    def on_headers_complete(self) -> None:
        """The parser read the whole head."""
        self._watch.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """The parser read a part of the body."""
        self._watch.take_data(data, self._now_s)

    def on_message_complete(self) -> None:
        """The parser read the whole answer."""
        self._watch.close(self._now_s)
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        if self.ended.done():
            return
        if error is None:
            self.ended.set_result(None)
        else:
            self.ended.set_exception(error)


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
        except (OSError, httptools.HttpParserError) as error:
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
        loop = asyncio.get_running_loop()
        request = _make_request(arrival, kind, address)
        transport, receiver = await loop.create_connection(
            lambda: _Receiver(request, watch, self._clock, loop),
            host,
            int(port),
        )
        try:
            await receiver.ended
        finally:
            transport.abort()

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
) -> bytes:
    lines = [
        f"POST {_PATH} HTTP/1.1",
        f"Host: {address}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(arrival.body)}",
        f"Authorization: Bearer {kind.key}",
    ]
    if kind.service_class:
        lines.append(f"X-Service-Class: {kind.service_class}")
    return "\r\n".join([*lines, "", ""]).encode() + arrival.body


def _is_text_right(arrival: plan.Arrival, watch: Watch) -> bool:
    parsed = prompts.parse(arrival.body, chat=True, default_length=1)
    prompt = parsed.unwrap()
    expected = prompts.make_text(prompt.seed, prompt.length)
    return watch.reader.text == expected
