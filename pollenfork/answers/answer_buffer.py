"""Compressed buffer of a relayed answer, for continuing it elsewhere."""

from typing import Any
import zlib

import msgspec

_BLOCK_BYTES = 32 * 1024
_COMPRESSION_LEVEL = 1


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


class AnswerBuffer:
    """The bytes relayed so far, compressed to at most `limit` bytes.

    Above the limit everything is discarded, since a part of the answer can't
    be continued.
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
        """Appends complete events."""
        if self.lost:
            return
        self._block.append(events)
        self._size += len(events)
        if self._size >= _BLOCK_BYTES:
            self._pack()

    def read_text(self) -> str | None:
        """Returns the answer's text so far.

        None if it was discarded, has several choices, calls tools or isn't a
        completion: then no engine can continue it.
        """
        if self.lost:
            return None
        blocks = [zlib.decompress(packed) for packed in self._packed]
        text = []
        for line in b"".join(blocks + self._block).split(b"\n"):
            if not line.startswith(b"data:") or line == b"data: [DONE]":
                continue
            part = _extract_text(line[len(b"data:") :])
            if part is None:
                return None
            text.append(part)
        return "".join(text)

    def _pack(self) -> None:
        # Blocks are compressed one by one: an open compressor holds 256 KiB.
        packed = zlib.compress(b"".join(self._block), _COMPRESSION_LEVEL)
        self._block.clear()
        self._size = 0
        self._packed.append(packed)
        self._packed_size += len(packed)
        if self._packed_size > self._limit:
            self.lost = True
            self._packed.clear()


def build_continuation(
    body: bytes, text: str | None, tokens: int
) -> bytes | None:
    """Returns the request's body with `continue_from` set to `text`.

    None if the text isn't available or the body isn't a JSON object.
    """
    if text is None:
        return None
    try:
        request: Any = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return None
    if not isinstance(request, dict):
        return None
    request["continue_from"] = {"text": text, "tokens": tokens}
    return msgspec.json.encode(request)


def _extract_text(data: bytes) -> str | None:
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
