"""What was relayed of an answer, kept in little memory for a continuation."""

from typing import Any
import zlib

import msgspec

_BLOCK = 32 * 1024
_LEVEL = 1


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[msgspec.Raw] | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    text: str | None = None
    delta: _Delta | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


_decode = msgspec.json.Decoder(_Chunk).decode


class KeptAnswer:
    """The bytes relayed so far, compressed, up to `limit` bytes.

    Over the limit all of it is let go: a part is of no use.
    """

    __slots__ = ("_block", "_limit", "_packed", "_packed_size", "_size", "lost")

    def __init__(self, limit: int) -> None:
        self.lost = limit <= 0
        self._limit = limit
        self._block: list[bytes] = []
        self._size = 0
        self._packed: list[bytes] = []
        self._packed_size = 0

    def add(self, events: bytes) -> None:
        """Keeps whole events."""
        if self.lost:
            return
        self._block.append(events)
        self._size += len(events)
        if self._size >= _BLOCK:
            self._pack()

    def read_text(self) -> str | None:
        """Returns the answer's text so far.

        None when it wasn't kept, has several choices, calls tools, or isn't
        in the form of a completion: then no engine can continue it.
        """
        if self.lost:
            return None
        blocks = [zlib.decompress(packed) for packed in self._packed]
        text = []
        for line in b"".join(blocks + self._block).split(b"\n"):
            if not line.startswith(b"data:") or line == b"data: [DONE]":
                continue
            part = _read_part(line[len(b"data:") :])
            if part is None:
                return None
            text.append(part)
        return "".join(text)

    def _pack(self) -> None:
        # Each block alone: a compressor kept open would hold 256 KiB.
        packed = zlib.compress(b"".join(self._block), _LEVEL)
        self._block.clear()
        self._size = 0
        self._packed.append(packed)
        self._packed_size += len(packed)
        if self._packed_size > self._limit:
            self.lost = True
            self._packed.clear()


def write_continuation(
    body: bytes, text: str | None, tokens: int
) -> bytes | None:
    """Returns the request's body asking to go on after `text`.

    None when the text isn't known or the body isn't a JSON object.
    """
    if text is None:
        return None
    try:
        asked: Any = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return None
    if not isinstance(asked, dict):
        return None
    asked["continue_from"] = {"text": text, "tokens": tokens}
    return msgspec.json.encode(asked)


def _read_part(data: bytes) -> str | None:
    try:
        choices = _decode(data).choices
    except msgspec.MsgspecError:
        return None
    text = ""
    for choice in choices:
        delta = choice.delta or _Delta()
        if choice.index or delta.tool_calls:
            return None
        text += choice.text or delta.content or ""
    return text
