"""Bytes that arrive in pieces."""

import tracemalloc

import pytest

from pollenfork.gateway.bounds import pieces

SIZE = 4 << 20


def measure(size: int) -> tuple[float, float]:
    """Returns the memory for each byte in pieces of a size: held, at most."""
    piece = b"a" * size
    tracemalloc.start()
    try:
        joined = pieces.Pieces()
        for _ in range(SIZE // size):
            joined.append(bytes(bytearray(piece)))
        held, _ = tracemalloc.get_traced_memory()
        assert len(joined.take()) == SIZE
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return held / SIZE, most / SIZE


# Guards against a message in small pieces that takes many times its size.
@pytest.mark.parametrize("size", [1, 4, 64, 65_536])
def test_memory_is_in_proportion_to_the_bytes(size: int) -> None:
    held, most = measure(size)
    assert held <= 1.2
    assert most <= 2.0


# Guards against bytes that are lost, reordered or left over from a message.
def test_taken_bytes_are_those_appended_in_order() -> None:
    joined = pieces.Pieces()
    for number in range(1000):
        joined.append(b"%d," % number)
    expected = b"".join(b"%d," % number for number in range(1000))
    assert len(joined) == len(expected)
    assert joined.take() == expected
    assert len(joined) == 0 and joined.take() == b""
    joined.append(b"next")
    joined.clear()
    joined.append(b"last")
    assert joined.take() == b"last"
