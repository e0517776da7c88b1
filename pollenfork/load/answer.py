"""Checks while an answer is received that it is complete."""

import msgspec

_DONE = b"[DONE]"


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = _Delta()
    message: _Delta = _Delta()
    text: str = ""
    finish_reason: str | None = None


class _Error(msgspec.Struct):
    code: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    error: _Error | None = None
    usage: _Usage | None = None


_DECODER = msgspec.json.Decoder(_Event)


class StreamReader:
    """Parses a streamed answer; event ids must count up from 0.

    Attributes:
        tokens: Tokens received in order.
        fault: The first error found; empty as long as there is none.
        whole: Whether `[DONE]` followed a finish reason.
        text: The answer's text so far.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.fault = ""
        self.whole = False
        self._buffer = b""
        self._chunks: list[str] = []
        self._has_finish_reason = False

    @property
    def text(self) -> str:
        """The answer's text so far."""
        return "".join(self._chunks)

    def feed(self, data: bytes) -> int:
        """Adds received bytes; returns how many tokens they completed."""
        before = self.tokens
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if not self.fault:
                self._process_event(event)
        return self.tokens - before

    def close(self) -> None:
        """Handles the end of the connection: an error before `[DONE]`."""
        if not self.whole and not self.fault:
            self.fault = "cut_off"

    def _process_event(self, event: bytes) -> None:
        position, data = _parse_event(event)
        if data is None:
            return  # A keep-alive comment.
        if self.whole:
            self.fault = "after_done"
        elif data == _DONE:
            self.whole = self._has_finish_reason
            self.fault = "" if self._has_finish_reason else "no_finish_reason"
        else:
            self._process_token(position, data)

    def _process_token(self, position: int | None, data: bytes) -> None:
        try:
            parsed = _DECODER.decode(data)
        except msgspec.MsgspecError:
            self.fault = "bad_event"
            return
        if parsed.error:
            self.fault = parsed.error.code or "error"
        elif position is None:
            self.fault = "no_position"
        elif position != self.tokens:
            self.fault = "repeat" if position < self.tokens else "gap"
        elif parsed.choices:
            choice = parsed.choices[0]
            self.tokens += 1
            self._chunks.append(choice.delta.content or choice.text or "")
            self._has_finish_reason = choice.finish_reason is not None


class PlainReader:
    """Parses an answer that isn't streamed."""

    def __init__(self) -> None:
        self.tokens = 0
        self.fault = ""
        self.whole = False
        self.text = ""
        self._chunks: list[bytes] = []

    def feed(self, data: bytes) -> int:
        """Adds received bytes; tokens are counted only in `close`."""
        self._chunks.append(data)
        return 0

    def close(self) -> None:
        """Parses the complete body."""
        try:
            parsed = _DECODER.decode(b"".join(self._chunks))
        except msgspec.MsgspecError:
            self.fault = "cut_off"
            return
        if not parsed.choices or parsed.choices[0].finish_reason is None:
            self.fault = "no_finish_reason"
            return
        choice = parsed.choices[0]
        self.text = choice.message.content or choice.text
        self.tokens = parsed.usage.completion_tokens if parsed.usage else 0
        self.whole = True


def read_error_code(body: bytes) -> str:
    """Returns the `code` of an error body, or `untyped` without one."""
    try:
        error = _DECODER.decode(body).error
    except msgspec.MsgspecError:
        return "untyped"
    return (error and error.code) or "untyped"


def _parse_event(event: bytes) -> tuple[int | None, bytes | None]:
    position, data = None, None
    for line in event.split(b"\n"):
        if line.startswith(b"id: "):
            position = int(line[4:]) if line[4:].isdigit() else None
        elif line.startswith(b"data: "):
            data = line[6:]
    return position, data
