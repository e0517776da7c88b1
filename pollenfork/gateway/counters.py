"""What the gateway counts, and how it is shown to a scraper."""

import bisect

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import replies
from pollenfork.routes import model as routes

_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0)


class Latencies:
    """A histogram of seconds with fixed bounds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(_BUCKETS_S) + 1)
        self.total_s = 0.0

    def note(self, seconds: float) -> None:
        """Counts one answer."""
        self.counts[bisect.bisect_left(_BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class Counters:
    """Counts of answers, refusals and repeats."""

    def __init__(self) -> None:
        self._served: dict[str, Latencies] = {}
        self._refused: dict[replies.Reason, int] = {}
        self._repeats: dict[fleet_messages.End, int] = {}

    def note_served(self, route: routes.Route, seconds: float) -> None:
        """Counts an answer of a runner handed to its caller."""
        self._served.setdefault(route.kind.value, Latencies()).note(seconds)

    def note_refused(self, reason: replies.Reason) -> None:
        """Counts an answer of the gateway's own."""
        self._refused[reason] = self._refused.get(reason, 0) + 1

    def note_repeat(self, end: fleet_messages.End) -> None:
        """Counts a further attempt, by how the one before ended."""
        self._repeats[end] = self._repeats.get(end, 0) + 1

    def write(self) -> bytes:
        """Returns all counts in the text format of Prometheus."""
        lines = []
        for reason, count in self._refused.items():
            lines.append(
                f'pollenfork_refused_total{{reason="{reason.value}"}} {count}'
            )
        for end, count in self._repeats.items():
            lines.append(
                f'pollenfork_repeats_total{{after="{end.value}"}} {count}'
            )
        for kind, latencies in self._served.items():
            lines += _write_histogram(kind, latencies)
        return "\n".join([*lines, ""]).encode()


def _write_histogram(kind: str, latencies: Latencies) -> list[str]:
    name = "pollenfork_answer_seconds"
    lines = []
    total = 0
    bounds = [*map(str, _BUCKETS_S), "+Inf"]
    for bound, count in zip(bounds, latencies.counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{kind="{kind}",le="{bound}"}} {total}')
    lines.append(f'{name}_sum{{kind="{kind}"}} {latencies.total_s:.6f}')
    lines.append(f'{name}_count{{kind="{kind}"}} {total}')
    return lines
