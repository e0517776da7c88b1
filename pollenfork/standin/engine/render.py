"""The engine's answers as bytes, in the OpenAI-compatible form."""

from typing import Any

import msgspec

from pollenfork.standin.engine import prompt as prompts

DONE = b"data: [DONE]\n\n"
_CREATED = 1_700_000_000  # Constant, so that a repeat has the same bytes.


class Renderer:
    """Writes the answer to one prompt.

    Nothing in it depends on the engine or the request id, so that a part
    from elsewhere fits on byte for byte.
    """

    def __init__(self, prompt: prompts.Prompt) -> None:
        self._prompt = prompt
        kind = "chatcmpl" if prompt.chat else "cmpl"
        self._head = {
            "id": f"{kind}-{prompt.seed:016x}",
            "created": _CREATED,
            "model": prompt.model,
        }
        self._finish_reason = "length" if prompt.cut else "stop"
        mark = "\x00"
        middle = self._encode_choice(mark, None)
        before, _, after = middle.partition(b'"\\u0000"')
        self._before = before
        self._after = after + b"\n\n"

    def render_event(self, position: int) -> bytes:
        """Returns the event of the token at a position."""
        token = prompts.make_token(self._prompt.seed, position)
        if 0 < position < self._prompt.length - 1:
            text = msgspec.json.encode(token)
            return b"id: %d\ndata: %b%b%b" % (
                position,
                self._before,
                text,
                self._after,
            )
        last = position == self._prompt.length - 1
        reason = self._finish_reason if last else None
        body = self._encode_choice(token, reason, role=position == 0)
        return b"id: %d\ndata: %b\n\n" % (position, body)

    def render_answer(self) -> bytes:
        """Returns the whole answer of a request without streaming."""
        prompt = self._prompt
        text = "".join(
            prompts.make_token(prompt.seed, i)
            for i in range(prompt.first, prompt.length)
        )
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._finish_reason,
        }
        if prompt.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        tokens = prompt.length - prompt.first
        usage = {
            "prompt_tokens": prompt.tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt.tokens + tokens,
        }
        kind = "chat.completion" if prompt.chat else "text_completion"
        return msgspec.json.encode(
            {**self._head, "object": kind, "choices": [choice], "usage": usage}
        )

    def _encode_choice(
        self, token: str, reason: str | None, role: bool = False
    ) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        kind = "text_completion"
        if self._prompt.chat:
            kind = "chat.completion.chunk"
            delta = {"role": "assistant"} if role else {}
            choice["delta"] = {**delta, "content": token}
        else:
            choice["text"] = token
        return msgspec.json.encode(
            {**self._head, "object": kind, "choices": [choice]}
        )


def render_error(code: str, message: str) -> bytes:
    """Returns an error in the OpenAI-compatible form."""
    kind = "invalid_request_error"
    return msgspec.json.encode(
        {"error": {"message": message, "type": kind, "code": code}}
    )
