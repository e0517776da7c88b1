"""Closes the less urgent tiers of a service while a more urgent one waits.

An instance that finds a tier pressed, as even the least loaded runner would
delay it, tells all others. Each instance derives from what it has been told
which tiers are closed, so that all decide alike without asking one another.
"""

from collections.abc import Sequence
import math

import msgspec

from pollenfork import ids
from pollenfork.loads import messages

# Closed tiers stay closed for this long after a more urgent one was last
# pressed, in seconds, and are opened gradually in the time after that.
_HOLD_S = 0.5
_OPEN_S = 0.5
# A tier is closed, or refused for overload, once all less urgent ones have been
# closed for this long, in seconds: the span over which their order is promised.
SETTLE_S = 5.0
# A tier that stays pressed is announced at this interval, in seconds, by
# whichever instance notices it first.
_ANNOUNCE_S = 0.25
# Older news is of no use, in seconds.
_MAX_AGE_S = _HOLD_S + _OPEN_S
# What is kept is limited: other instances state it.
_MAX_SINCE_S = 60.0
_MAX_SPANS = 1024


class _Span(msgspec.Struct):
    """The time for which a tier has been pressed without a break.

    Attributes:
        since: When it began, in monotonic seconds.
        last: When it was last pressed.
        told: The last time that was announced, here or by another instance.
    """

    since: float
    last: float
    told: float = -math.inf


class TierOrder:
    """The pressed tiers of all services, as all instances have found them."""

    def __init__(self) -> None:
        """Starts without a pressed tier."""
        self._spans: dict[int, dict[ids.Tier, _Span]] = {}
        self._size = 0
        self._news: dict[tuple[int, ids.Tier], _Span] = {}

    def record_pressure(
        self, service: ids.ServiceName, tier: ids.Tier, now: float
    ) -> bool:
        """Records that a tier is pressed; returns whether to announce it."""
        mark = hash_service(service)
        span = self._extend(mark, tier, now, now)
        if now - span.told < _ANNOUNCE_S:
            return False
        span.told = now
        self._news[mark, tier] = span
        return True

    def take_news(self, now: float) -> tuple[messages.TierPressure, ...]:
        """Returns what to announce since the last call."""
        taken, self._news = self._news, {}
        return tuple(
            messages.TierPressure(
                mark,
                tier,
                int((now - span.since) * 1000),
                int((now - span.last) * 1000),
            )
            for (mark, tier), span in taken.items()
        )

    def receive(
        self, news: Sequence[messages.TierPressure], now: float
    ) -> None:
        """Records what other instances have announced."""
        for each in news:
            last = now - each.age_ms / 1000
            since = now - each.since_ms / 1000
            is_valid = 0 <= each.age_ms <= each.since_ms and each.tier >= 0
            if not is_valid or now - last >= _MAX_AGE_S:
                continue
            span = self._extend(
                each.service,
                each.tier,
                max(since, now - _MAX_SINCE_S),
                last,
            )
            span.told = max(span.told, last)

    def find_pressed(
        self, service: ids.ServiceName, now: float
    ) -> dict[ids.Tier, float]:
        """Returns the pressed tiers, and for how long they are, in seconds."""
        return {
            tier: now - span.since
            for tier, span in self._get(service).items()
            if now - span.last < _HOLD_S
        }

    def measure_opening(
        self,
        service: ids.ServiceName,
        tier: ids.Tier,
        tiers: Sequence[ids.Tier],
        now: float,
    ) -> float:
        """Returns the fraction of a tier's requests that may begin.

        Args:
            service: The service.
            tier: The tier.
            tiers: All tiers of the service, the most urgent first.
            now: Monotonic seconds.
        """
        opening = 1.0
        for pressed, span in self._get(service).items():
            if pressed >= tier or now < _find_closing(
                span, pressed, tier, tiers
            ):
                continue
            idle_s = now - span.last - _HOLD_S
            opening = min(opening, max(0.0, idle_s / _OPEN_S))
        return opening

    def may_refuse(
        self,
        service: ids.ServiceName,
        tier: ids.Tier,
        tiers: Sequence[ids.Tier],
        now: float,
    ) -> bool:
        """Returns whether a tier may be refused because of overload.

        It may once all less urgent tiers have been closed for long enough.
        """
        if not tiers or tier >= tiers[-1]:
            return True
        span = self._get(service).get(tier)
        if span is None or now - span.last >= _HOLD_S:
            return False
        less_urgent = sum(each > tier for each in tiers)
        return now - span.since >= SETTLE_S * less_urgent

    def expire(self, now: float) -> None:
        """Forgets tiers that are no longer pressed."""
        for mark, spans in list(self._spans.items()):
            for tier, span in list(spans.items()):
                if now - span.last >= _MAX_AGE_S:
                    del spans[tier]
                    self._size -= 1
            if not spans:
                del self._spans[mark]

    def _get(self, service: ids.ServiceName) -> dict[ids.Tier, _Span]:
        # Called for each request; pressed tiers are rare.
        if not self._spans:
            return {}
        return self._spans.get(hash_service(service), {})

    def _extend(
        self, mark: int, tier: ids.Tier, since: float, last: float
    ) -> _Span:
        span = self._spans.get(mark, {}).get(tier)
        if span is None:
            span = _Span(since, last)
            if self._size < _MAX_SPANS:
                self._spans.setdefault(mark, {})[tier] = span
                self._size += 1
        elif since - span.last >= _HOLD_S:
            # Less urgent requests have begun meanwhile.
            span.since, span.last = since, last
        else:
            span.since = min(span.since, since)
            span.last = max(span.last, last)
        return span


def hash_service(service: ids.ServiceName) -> int:
    """Returns the hash that identifies a service in datagrams."""
    return messages.hash_name(service.encode())


def _find_closing(
    span: _Span,
    pressed: ids.Tier,
    tier: ids.Tier,
    tiers: Sequence[ids.Tier],
) -> float:
    """Returns when a tier is closed because a more urgent one is pressed."""
    between = sum(pressed < each and each > tier for each in tiers)
    return span.since + SETTLE_S * between
