"""Requests as the engine reads them, and the answers it makes of them.

An answer is a pure function of the model and the prompt: every engine gives
the same tokens, so a test can check an answer byte for byte and a stream can
go on elsewhere.
"""

from typing import Any

import msgspec
import result
import xxhash

from pollenfork import failures

BLOCK_BYTES = 1024
_BYTES_PER_TOKEN = 4
_WORDS = (
    "insulator", "crack", "tower", "span", "conductor", "patrol", "clamp",
    "corona", "sag", "report", "defect", "line", "crew", "photo", "log",
    "inspect", "repair", "urgent", "minor", "none", "clause", "strike",
    "price", "meter", "invoice", "volume", "curve", "term", "party", "notice",
    "settle", "review", "naïve", "€/MWh", "برج", "—", "\n", "\\", '"quoted"',
    "data: [DONE]", "id: 7", "🗲",
)  # fmt: skip


class BadPrompt(failures.Failure, frozen=True, kw_only=True):
    """The body is no request that the engine understands."""


class Continuation(msgspec.Struct, frozen=True):
    """The part of an answer that was generated elsewhere."""

    text: str
    tokens: int


class _Message(msgspec.Struct):
    role: str
    content: Any = ""


class _Body(msgspec.Struct):
    model: str
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    metadata: dict[str, str] = {}
    continue_from: Continuation | None = None


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """One request.

    Attributes:
        label: `metadata.label` of the body, by which runs are counted
            besides the request id.
        blocks: Hash of each prefix of whole blocks of the JSON text of
            `messages` or `prompt`, shortest first.
        length: Tokens of the whole answer.
        cut: The caller's bound ended the answer.
        first: Position of the first token to generate.
        seed: Seed of the answer's tokens.
    """

    model: str
    chat: bool
    stream: bool
    label: str
    tokens: int
    blocks: tuple[int, ...]
    length: int
    cut: bool
    first: int
    seed: int


def parse(
    body: bytes, chat: bool, default_length: int, stated: int | None = None
) -> result.Result[Prompt, BadPrompt]:
    """Returns the request in `body`.

    Args:
        body: JSON of a chat completion or a completion.
        chat: Which of the two.
        default_length: Median length of answers that state none.
        stated: The answer's length; else `metadata.answer_tokens`, else it
            follows from the prompt.
    """
    try:
        fields = msgspec.json.decode(body, type=_Body)
        text = _read_text(fields, chat)
        if stated is None and "answer_tokens" in fields.metadata:
            stated = int(fields.metadata["answer_tokens"])
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err(BadPrompt(detail=str(error)))
    return result.Ok(_build(fields, text, chat, default_length, stated))


def hash_blocks(text: bytes) -> tuple[int, ...]:
    """Returns the hash of each prefix of whole blocks, shortest first."""
    count = len(text) // BLOCK_BYTES
    return tuple(
        xxhash.xxh3_64_intdigest(text[: (i + 1) * BLOCK_BYTES])
        for i in range(count)
    )


def make_token(seed: int, position: int) -> str:
    """Returns the token of an answer at a position."""
    digest = xxhash.xxh3_64_intdigest(position.to_bytes(4, "big"), seed)
    word = _WORDS[digest % len(_WORDS)]
    return word if position == 0 else " " + word


def make_text(seed: int, length: int) -> str:
    """Returns an answer's whole text."""
    return "".join(make_token(seed, i) for i in range(length))


def _read_text(fields: _Body, chat: bool) -> str:
    if not chat:
        return msgspec.json.decode(fields.prompt, type=str)
    messages = msgspec.json.decode(fields.messages, type=list[_Message])
    return "".join(f"{m.role}\n{m.content}\n" for m in messages)


def _build(
    fields: _Body, text: str, chat: bool, default: int, stated: int | None
) -> Prompt:
    encoded = text.encode()
    model = fields.model.encode()
    seed = xxhash.xxh64_intdigest(encoded, xxhash.xxh32_intdigest(model))
    wanted = stated if stated is not None else default // 2 + seed % default
    bound = fields.max_completion_tokens or fields.max_tokens or wanted
    length = max(1, min(wanted, bound))
    first = fields.continue_from.tokens if fields.continue_from else 0
    return Prompt(
        model=fields.model,
        chat=chat,
        stream=fields.stream,
        label=fields.metadata.get("label", ""),
        tokens=max(1, len(encoded) // _BYTES_PER_TOKEN),
        blocks=hash_blocks(bytes(fields.messages if chat else fields.prompt)),
        length=length,
        cut=length < wanted,
        first=min(max(first, 0), length),
        seed=seed,
    )
