"""Asynchronous HTTP client that sends requests and records the answers."""

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


class AnswerRecorder:
    """Records the timing of one answer and checks its contents."""

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
        self._error_body = b""

    @property
    def first_token_ms(self) -> float | None:
        """Time from the planned arrival to the first token, in ms."""
        if self.first_s is None:
            return None
        return 1000 * (self.first_s - self._planned_s)

    @property
    def error_code(self) -> str:
        """The `code` of an error answer."""
        return answer.read_error_code(self._error_body)

    def record_header(self, name: bytes, value: bytes) -> None:
        """Records one header; its name is in lower case."""
        if name == b"x-outcome":
            self.not_run = value == b"not_run"

    def record_data(self, data: bytes, now_s: float) -> None:
        """Records bytes of the body received at `now_s`."""
        if self.status != 200:
            self._error_body += data
            return
        for _ in range(self.reader.feed(data)):
            if self.first_s is None:
                self.first_s = now_s
            else:
                self.gaps_us.append(round((now_s - self._last_s) * _US_PER_S))
            self._last_s = now_s

    def close(self, now_s: float) -> None:
        """Handles the end of the answer.

        An answer that isn't streamed has its first token at its end.
        """
        if self.status != 200:
            return
        self.reader.close()
        if self.first_s is None and self.reader.whole:
            self.first_s = now_s


class _ClientProtocol(asyncio.Protocol):
    """Sends one request and feeds the parsed answer to a recorder."""

    def __init__(
        self,
        request: bytes,
        recorder: AnswerRecorder,
        clock: clocks.Clock,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.finished: asyncio.Future[None] = loop.create_future()
        self._request = request
        self._recorder = recorder
        self._clock = clock
        self._now_s = 0.0
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._now_s = self._clock.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the answer when the connection closes."""
        self._recorder.close(self._clock.monotonic())
        self._finish(error)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header."""
        self._recorder.record_header(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Called by the parser after the last header."""
        self._recorder.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of the body."""
        self._recorder.record_data(data, self._now_s)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the answer."""
        self._recorder.close(self._now_s)
        self._finish(None)

    def _finish(self, error: Exception | None) -> None:
        if self.finished.done():
            return
        if error is None:
            self.finished.set_result(None)
        else:
            self.finished.set_exception(error)


class Client:
    """Sends each request on a new connection."""

    def __init__(
        self, scenario: scenarios.Scenario, clock: clocks.Clock
    ) -> None:
        self._scenario = scenario
        self._clock = clock

    async def send(
        self, arrival: plan.Arrival, address: str, started_s: float
    ) -> outcomes.Outcome:
        """Sends one request and returns its outcome."""
        load_class = self._scenario.classes[arrival.class_name]
        recorder = AnswerRecorder(load_class.stream, started_s + arrival.at_s)
        error = ""
        try:
            async with asyncio.timeout(self._scenario.timeout_s):
                await self._exchange(arrival, load_class, address, recorder)
        except TimeoutError:
            error = "timed_out"
        except (OSError, httptools.HttpParserError) as raised:
            error = type(raised).__name__
        end, reason = self._classify(arrival, recorder, error)
        return outcomes.Outcome(
            class_name=arrival.class_name,
            label=arrival.label,
            end=end,
            reason=reason,
            first_token_ms=recorder.first_token_ms,
            gaps_us=tuple(recorder.gaps_us),
            tokens=recorder.reader.tokens,
            ended_s=self._clock.monotonic() - started_s,
        )

    async def _exchange(
        self,
        arrival: plan.Arrival,
        load_class: scenarios.LoadClass,
        address: str,
        recorder: AnswerRecorder,
    ) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        request = _make_request(arrival, load_class, address)
        transport, protocol = await loop.create_connection(
            lambda: _ClientProtocol(request, recorder, self._clock, loop),
            host,
            int(port),
        )
        try:
            await protocol.finished
        finally:
            transport.abort()

    def _classify(
        self, arrival: plan.Arrival, recorder: AnswerRecorder, error: str
    ) -> tuple[outcomes.End, str]:
        if error == "timed_out":
            return outcomes.End.TIMED_OUT, error
        if recorder.status == 0:
            return outcomes.End.FAILED, error
        if recorder.status != 200:
            refused = recorder.not_run
            end = outcomes.End.REFUSED if refused else outcomes.End.FAILED
            return end, recorder.error_code
        if not recorder.reader.whole or recorder.reader.fault:
            return outcomes.End.BROKEN, recorder.reader.fault or "cut_off"
        if self._scenario.check_text and not _is_text_correct(
            arrival, recorder
        ):
            return outcomes.End.WRONG, "text"
        return outcomes.End.WHOLE, ""


def _make_request(
    arrival: plan.Arrival, load_class: scenarios.LoadClass, address: str
) -> bytes:
    lines = [
        f"POST {_PATH} HTTP/1.1",
        f"Host: {address}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(arrival.body)}",
        f"Authorization: Bearer {load_class.key}",
    ]
    if load_class.service_class:
        lines.append(f"X-Service-Class: {load_class.service_class}")
    return "\r\n".join([*lines, "", ""]).encode() + arrival.body


def _is_text_correct(arrival: plan.Arrival, recorder: AnswerRecorder) -> bool:
    parsed = prompts.parse(arrival.body, chat=True, default_length=1)
    prompt = parsed.unwrap()
    expected = prompts.make_text(prompt.seed, prompt.length)
    return recorder.reader.text == expected
