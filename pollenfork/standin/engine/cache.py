"""The prefix cache, and the log of its events that the engine publishes."""

import collections

import xxhash

from pollenfork.endpoints import edges
from pollenfork.standin.engine import config as configs

_LOG_SIZE = 4096


class PrefixCache:
    """The most recently used prompt blocks, up to a fixed number."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._log: collections.deque[tuple[float, edges.CacheEvent]] = (
            collections.deque(maxlen=_LOG_SIZE)
        )
        self._sequence = 0

    def count_cached(self, blocks: tuple[int, ...]) -> int:
        """Returns how many blocks from the prompt's head are cached."""
        for i, block in enumerate(blocks):
            if block not in self._blocks:
                return i
        return len(blocks)

    def insert(self, blocks: tuple[int, ...], now: float) -> None:
        """Caches the prompt's blocks, and evicts the oldest beyond."""
        for block in blocks[: self._capacity]:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._publish(block, True, now)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, False, now)

    def fetch_events(
        self, after: int, now: float, faults: configs.Faults
    ) -> list[edges.CacheEvent]:
        """Returns the events past `after` that have come out by now."""
        published = now - faults.cache_delay_s
        return [
            event
            for at, event in self._log
            if event.sequence > after
            and at <= published
            and not _is_dropped(event.sequence, faults.drop_cache_events)
        ]

    def _publish(self, block: int, stored: bool, now: float) -> None:
        self._sequence += 1
        event = edges.CacheEvent(
            sequence=self._sequence, prefix=block, stored=stored
        )
        self._log.append((now, event))


def _is_dropped(sequence: int, part: float) -> bool:
    """Whether an event is lost; the same ones are lost in every run."""
    digest: int = xxhash.xxh32_intdigest(sequence.to_bytes(8, "big"))
    return digest < part * 2**32
