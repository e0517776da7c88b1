"""Tests which answers count as complete."""

import json

import pytest

from pollenfork.load import answer

DONE = b"data: [DONE]\n\n"


def make_event(position, text="x", reason=None) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": reason}
    body = json.dumps({"choices": [choice]})
    return f"id: {position}\ndata: {body}\n\n".encode()


COMPLETE = (
    make_event(0, "a")
    + make_event(1, "\n\n")
    + make_event(2, "c", "stop")
    + DONE
)
ERROR = b'data: {"error": {"code": "endpoint_failed"}}\n\n'


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_complete_answer_is_recognized_in_chunks_of_any_size(size):
    reader = answer.StreamReader()
    for i in range(0, len(COMPLETE), size):
        reader.feed(COMPLETE[i : i + size])
    reader.close()
    assert (reader.whole, reader.fault, reader.tokens) == (True, "", 3)
    assert reader.text == "a\n\nc"


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", "cut_off"),
        (make_event(0) + make_event(1, reason="stop"), "cut_off"),
        (make_event(0) + make_event(2, reason="stop") + DONE, "gap"),
        (make_event(0) + make_event(0, reason="stop") + DONE, "repeat"),
        (make_event(1, reason="stop") + DONE, "gap"),
        (make_event(0) + DONE, "no_finish_reason"),
        (COMPLETE + make_event(3), "after_done"),
        (make_event(0) + ERROR, "endpoint_failed"),
        (b"id: 0\ndata: {\n\n", "bad_event"),
        (b"data: {}\n\n" + DONE, "no_position"),
        (make_event(0, reason="stop") + DONE[:-1], "cut_off"),
    ],
)
def test_incomplete_or_malformed_stream_has_fault(data, fault):
    reader = answer.StreamReader()
    reader.feed(data)
    reader.close()
    assert reader.fault == fault


@pytest.mark.parametrize(
    ("data", "whole"),
    [
        (b'{"choices":[{"message":{"content":"a"},"finish_reason":"stop"}],'
         b'"usage":{"completion_tokens":3}}', True),
        (b'{"choices":[{"message":{"content":"a"}}]}', False),
        (b'{"choices":[]}', False),
        (b'{"choices":[{"message":', False),
    ],
)  # fmt: skip
def test_unstreamed_answer_needs_finish_reason(data, whole):
    reader = answer.PlainReader()
    reader.feed(data)
    reader.close()
    assert reader.whole == whole
    assert reader.tokens == (3 if whole else 0)
