"""Compares what simulated instances believe with what is true."""

import collections
import itertools
import math

import msgspec

from pollenfork.platform.tests.simulation import schedules
from pollenfork.platform.tests.simulation import site as sites

# The clock's resolution of what is checked, in seconds.
STEP_S = 0.05
# What the strictest deployment allows from a leaving's acknowledgement to the
# last request sent to it, in seconds.
STRICTEST_S = 2.0
# An instance that started or was cut off this recently is not judged by what
# it doesn't know yet, in seconds.
_BACK_S = 3.0
# Entries are kept for up to 2 s after an outage, which lasts 2.4 s as instances
# see it: their proof is up to 1 s older than the answer that it came from.
_KEPT_S = 7.0
_LEAST_GAP_S = 1.4
# After a restoration, what the copy lacks is kept for 2 s from when an instance
# learns of it, and what the store says is final 3 s after it.
_RESTORED_S = 3.0
# An instance that can reach the store learns of it within this time.
_LEARNED_S = 1.0
# How long the word of an answer takes to reach all, in seconds.
_WORD_S = 0.5


class Broken(msgspec.Struct, frozen=True):
    """Something that doesn't hold.

    Attributes:
        rule: What should.
        host: Where.
        at: Simulated seconds.
        detail: What was seen.
    """

    rule: str
    host: str
    at: float
    detail: str


class Outcome(msgspec.Struct):
    """What came of a schedule.

    Attributes:
        broken: What didn't hold.
        ages: Seconds from the first instance's knowledge of a leaving to each
            other's.
        keepers: Instances that gave work to a runner whose entry was gone.
        stale_s: Seconds for which instances didn't trust keys.
        calls: Calls to the store.
        versions: The configuration in force at each host at the end.
        leaving_s: Seconds from the store's acknowledgement of a leaving to the
            last instance's knowledge of it, by runner.
    """

    broken: list[Broken] = msgspec.field(default_factory=list)
    ages: list[float] = msgspec.field(default_factory=list)
    keepers: set[str] = msgspec.field(default_factory=set)
    stale_s: float = 0.0
    calls: int = 0
    versions: dict[str, int] = msgspec.field(default_factory=dict)
    leaving_s: dict[str, float] = msgspec.field(default_factory=dict)


class Judge:
    """Compares what instances believe with what is true."""

    def __init__(self, site: sites.Site) -> None:
        self.outcome = Outcome()
        self._site = site
        self._back_at = dict.fromkeys(site.hosts, 0.0)
        self._away: set[str] = set()
        self._restored_at = -math.inf
        self._cuts: dict[str, list[tuple[float, float]]] = {
            host: [] for host in site.hosts
        }
        self._parts: dict[str, list[tuple[float, float]]] = {
            host: [] for host in site.hosts
        }
        self._first_at: dict[str, float] = {}
        self._knew_at: dict[tuple[str, str], float] = {}
        self._knows: dict[str, set[str]] = collections.defaultdict(set)
        self._told: set[tuple[str, str, str]] = set()
        # When a host was first seen with a version in force.
        self._versions: dict[str, dict[int, float]] = {}

    def note(self, step: schedules.Step, now: float) -> None:
        """Takes what has just been done."""
        if step.kind in ("cut", "kill"):
            self._away |= set(step.hosts)
            for host in step.hosts:
                self._cuts[host].append((now, math.inf))
        elif step.kind == "part":
            for host in step.hosts:
                self._parts[host].append((now, math.inf))
        elif step.kind == "restore":
            self._restored_at = now
        elif step.kind in ("heal", "start"):
            for host in step.hosts:
                self._back_at[host] = now
                _end_spell(self._cuts[host], now)
                _end_spell(self._parts[host], now)
            self._away -= set(step.hosts)
            if step.kind == "start":
                for knowing in self._knows.values():
                    knowing.difference_update(step.hosts)

    def note_end(self, each: sites.Instance) -> None:
        """Notes what an instance knows at the end."""
        if each.known is not None and each.known.lookup is not None:
            version = each.known.lookup.configuration.version
            self.outcome.versions[each.host] = version
        for name, gone_at in self._site.gone_at.items():
            known_at = self._knew_at.get((each.host, name), math.inf)
            known = self.outcome.leaving_s.get(name, 0.0)
            self.outcome.leaving_s[name] = max(known, known_at - gone_at)

    def check(self, now: float) -> None:
        """Checks all instances."""
        if now < schedules.SETTLED_S:
            return
        for each in self._site.instances:
            for error in each.list_failures():
                self._tell("raised", each, now, repr(error))
            known = each.known
            if known is None or known.lookup is None or not known.has_runners:
                continue
            self._check_runners(each, now)
            self._check_configuration(each, now)
            self._check_proof(each, now)

    def _check_runners(self, each: sites.Instance, now: float) -> None:
        takers, kept = each.list_takers(), each.list_kept()
        if kept:
            self.outcome.keepers.add(each.host)
        restored = self._is_restored(each.host, now)
        if kept and not restored and not self._was_away(each.host, now):
            self._tell("kept", each, now, f"{kept}, though the store was there")
        for name, gone_at in self._site.gone_at.items():
            knowing = self._knows[name]
            if name not in takers or name in kept:
                if each.host not in knowing:
                    knowing.add(each.host)
                    first_at = self._first_at.setdefault(name, now)
                    self._knew_at[each.host, name] = now
                    if self._is_judged(each.host, gone_at):
                        self.outcome.ages.append(now - first_at)
                continue
            if each.host in knowing and self._starts_from_copy(each.host, now):
                knowing.discard(each.host)
            if each.host in knowing:
                self._tell("goes_back", each, now, f"{name} takes work again")
            first_at = self._find_first(name, now)
            late_s = now - first_at
            if late_s > STRICTEST_S and self._is_judged(each.host, first_at):
                detail = f"{name} takes work {late_s:.2f} s after it is known"
                self._tell("late", each, now, detail, name)

    def _check_configuration(self, each: sites.Instance, now: float) -> None:
        """Checks that what another instance has in force is in force here."""
        assert each.known is not None and each.known.lookup is not None
        version = each.known.lookup.configuration.version
        here = self._versions.setdefault(each.host, {})
        here.setdefault(version, now)
        newer = [
            at
            for host, known in self._versions.items()
            for other, at in known.items()
            if other > version
            and host not in self._away
            and self._back_at[host] <= at
        ]
        late_s = now - min(newer, default=now)
        if late_s > STRICTEST_S and self._is_judged(each.host, min(newer)):
            detail = f"version {version} {late_s:.2f} s after a newer one"
            self._tell("late_version", each, now, detail, str(version))

    def _check_proof(self, each: sites.Instance, now: float) -> None:
        assert each.known is not None and each.known.lookup is not None
        known = each.known
        age_s = known.freshness.age(now)
        if age_s is None:
            return
        if not known.freshness.trusts_keys(now):
            self.outcome.stale_s += STEP_S
        version = each.known.lookup.configuration.version
        newer = [
            at
            for newer_version, at in self._site.configured_at.items()
            if newer_version > version
        ]
        if newer and now - age_s > min(newer) + 1e-6:
            detail = f"version {version} was proven after a newer one"
            self._tell("false_proof", each, now, detail)

    def _starts_from_copy(self, host: str, now: float) -> bool:
        """Returns whether a host that started lately has read only a copy.

        It never knew the runners that were removed before its start.
        """
        return now < self._restored_at + _RESTORED_S and not self._is_judged(
            host, self._restored_at
        )

    def _is_restored(self, host: str, now: float) -> bool:
        """Returns whether a host may keep what a restored store lacks.

        One that was cut off before it could learn of the restoration does so
        from when it is back.
        """
        learned_by = self._restored_at + _LEARNED_S
        missed = [
            back
            for begun, back in self._cuts[host] + self._parts[host]
            if begun < learned_by and back > self._restored_at
        ]
        since = max([self._restored_at, *missed])
        return now < since + _RESTORED_S

    def _was_away(self, host: str, now: float) -> bool:
        """Returns whether the store had answered nobody in reach for long.

        An answer counts for another host once its word had time to arrive.
        """
        heard = [now]
        for at, answered in reversed(self._site.store.answers):
            if at < now - _KEPT_S:
                break
            if self._is_lost(answered, at):
                continue
            ways = self._is_linked(answered, at), self._is_linked(host, at)
            if answered == host or all(ways):
                heard.append(at)
        heard.append(now - _KEPT_S)
        gaps = [later - at for later, at in itertools.pairwise(heard)]
        return max(gaps) > _LEAST_GAP_S

    def _find_first(self, name: str, now: float) -> float:
        """Returns since when somebody knows who was never cut off since."""
        known = [
            self._knew_at[host, name]
            for host in self._knows[name]
            if host not in self._away
            and self._back_at[host] <= self._knew_at[host, name]
        ]
        return min(known, default=now)

    def _is_lost(self, host: str, at: float) -> bool:
        """Returns whether the store's answer didn't arrive at a host."""
        spells = self._cuts[host] + self._parts[host]
        return any(begun <= at <= back for begun, back in spells)

    def _is_linked(self, host: str, at: float) -> bool:
        """Returns whether a host was there long enough to tell or hear."""
        until = at + _WORD_S
        return all(
            begun > until or back < at for begun, back in self._cuts[host]
        )

    def _is_judged(self, host: str, since: float) -> bool:
        """Returns whether a host could hear of what was known since then."""
        return host not in self._away and self._back_at[host] + _BACK_S < since

    def _tell(
        self,
        rule: str,
        each: sites.Instance,
        now: float,
        detail: str,
        about: str = "",
    ) -> None:
        key = rule, each.host, about
        if key not in self._told:
            self._told.add(key)
            self.outcome.broken.append(Broken(rule, each.host, now, detail))


def _end_spell(spells: list[tuple[float, float]], now: float) -> None:
    """Notes when the last of a host's spells ended, if it lasts."""
    if spells:
        begun, back = spells[-1]
        spells[-1] = begun, min(back, now)
