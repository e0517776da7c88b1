"""Checks an answer for wholeness as its bytes come in."""

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
    """Reads a streamed answer; positions must grow by one from 0.

    Attributes:
        tokens: Tokens received in order.
        fault: What was wrong, once something was.
        whole: The finish marker came after a finish reason.
        text: The answer's text so far.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.fault = ""
        self.whole = False
        self._buffer = b""
        self._parts: list[str] = []
        self._finished = False

    @property
    def text(self) -> str:
        """The answer's text so far."""
        return "".join(self._parts)

    def feed(self, data: bytes) -> int:
        """Takes bytes; returns how many tokens they completed."""
        before = self.tokens
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if not self.fault:
                self._take(event)
        return self.tokens - before

    def close(self) -> None:
        """The connection ended: without the finish marker it is a fault."""
        if not self.whole and not self.fault:
            self.fault = "cut_off"

    def _take(self, event: bytes) -> None:
        position, data = _split(event)
        if data is None:
            return  # A comment that keeps the connection alive.
        if self.whole:
            self.fault = "after_done"
        elif data == _DONE:
            self.whole = self._finished
            self.fault = "" if self._finished else "no_finish_reason"
        else:
            self._take_token(position, data)

    def _take_token(self, position: int | None, data: bytes) -> None:
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
            self._parts.append(choice.delta.content or choice.text or "")
            self._finished = choice.finish_reason is not None


class PlainReader:
    """Reads an answer without streaming, whole."""

    def __init__(self) -> None:
        self.tokens = 0
        self.fault = ""
        self.whole = False
        self.text = ""
        self._parts: list[bytes] = []

    def feed(self, data: bytes) -> int:
        """Takes bytes; the tokens count only at the end."""
        self._parts.append(data)
        return 0

    def close(self) -> None:
        """The answer ended."""
        try:
            parsed = _DECODER.decode(b"".join(self._parts))
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
    """Returns the typed code of an error's body, or `untyped`."""
    try:
        error = _DECODER.decode(body).error
    except msgspec.MsgspecError:
        return "untyped"
    return (error and error.code) or "untyped"


def _split(event: bytes) -> tuple[int | None, bytes | None]:
    position, data = None, None
    for line in event.split(b"\n"):
        if line.startswith(b"id: "):
            position = int(line[4:]) if line[4:].isdigit() else None
        elif line.startswith(b"data: "):
            data = line[6:]
    return position, data
