"""Counts of what the engine ran, for tests and for wasted work."""

import dataclasses

import msgspec


@dataclasses.dataclass(slots=True)
class Count:
    """How often something ran, and the tokens generated for it."""

    count: int = 0
    tokens: int = 0


class Runs:
    """Counts by request id, by label and in total; they never shrink."""

    def __init__(self) -> None:
        self.total = Count()
        self._requests: dict[str, Count] = {}
        self._labels: dict[str, Count] = {}

    def count_run(self, request: str, label: str) -> None:
        """A request has entered the batch for the first time."""
        for count in self._find(request, label):
            count.count += 1

    def count_token(self, request: str, label: str) -> None:
        """A token has been generated for a request."""
        for count in self._find(request, label):
            count.tokens += 1

    def encode(self) -> bytes:
        """Returns the counts as JSON."""
        return msgspec.json.encode(
            {
                "total": self.total,
                "requests": self._requests,
                "labels": self._labels,
            }
        )

    def _find(self, request: str, label: str) -> tuple[Count, Count, Count]:
        return (
            self.total,
            self._requests.setdefault(request, Count()),
            self._labels.setdefault(label, Count()),
        )
