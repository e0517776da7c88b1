"""The arithmetic of the two-year size: rows derived from measured slopes."""

import msgspec


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """The size to design for, from the users' letter."""

    instances: int = 360
    runners: int = 600
    data_centres: int = 6
    requests_per_s: float = 3600.0
    tokens_per_s: float = 1.5e6
    gap_s: float = 0.049
    accounts: int = 42_000
    changes_a_day: int = 670
    restarts_a_day: int = 140
    platform_reads_per_s: float = 2000.0
    platform_writes_per_s: float = 300.0  # "several hundred", read low.
    control_cores: float = 0.032
    control_mb: float = 64.0
    control_kb_per_s: float = 29.0

    @property
    def requests_each(self) -> float:
        """Requests a second at one instance."""
        return self.requests_per_s / self.instances

    @property
    def tokens_each(self) -> float:
        """Events a second at one instance."""
        return self.tokens_per_s / self.instances

    @property
    def streams_each(self) -> float:
        """Open streams at one instance."""
        return self.tokens_each * self.gap_s

    @property
    def near(self) -> int:
        """Instances of one data centre."""
        return self.instances // self.data_centres


class Slopes(msgspec.Struct, frozen=True, kw_only=True):
    """What was measured, one number each; see the page for how."""

    relay_event_us: float
    relay_bare_event_us: float
    relay_rss_mb_a_stream: float
    relay_gap_p95_ms: float
    request_record_us: float
    decision_submit_us: float
    decision_end_us: float
    members_cpu_cores: float
    members_kb_per_s: float
    members_age_p95_ms: float
    members_rss_mb: float
    exchange_cpu_cores: float
    exchange_kb_per_s: float
    probes_cpu_cores: float
    probes_per_s: float
    loads_per_s: float
    settings_reads_per_s: float
    settings_reads_peak_per_s: float
    settings_everywhere_max_s: float
    settings_change_ms: float
    settings_mb: float
    ledger_writes: float
    start_ready_s: float
    start_ready_small_s: float
    idle_cores: float
    rss_small_mb: float
    rss_full_mb: float


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One derived figure.

    Attributes:
        basis: How much of it is measured, computed or assumed.
        limit: What it must stay under, if anything.
        carrier: The module that carries it.
    """

    what: str
    value: float
    unit: str
    basis: str
    carrier: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether it closes."""
        if self.limit is None:
            return ""
        return "closes" if self.value <= self.limit else "**open**"


def derive_data_path(size: Size, slopes: Slopes) -> list[Row]:
    """Returns what one instance's data path takes at the peak."""
    moved = size.data_centres / (size.data_centres - 1)
    relay = size.tokens_each * slopes.relay_event_us / 1e6
    decide = slopes.decision_submit_us + slopes.decision_end_us
    per_request = decide + slopes.request_record_us
    request = size.requests_each * per_request / 1e6
    relayed = "entry/server.py, answers/pump.py"
    return [
        Row(
            what="requests",
            value=size.requests_each,
            unit="/s",
            basis="computed",
            carrier="entry/front.py",
        ),
        Row(
            what="open streams",
            value=size.streams_each,
            unit="",
            basis="computed",
            carrier=relayed,
            limit=350,
        ),
        Row(
            what="open streams, a data centre lost",
            value=size.streams_each * moved,
            unit="",
            basis="computed; callers spread evenly (assumed)",
            carrier=relayed,
            limit=350,
        ),
        Row(
            what="relay",
            value=relay,
            unit="cores",
            basis="measured slope x events",
            carrier=relayed,
            limit=0.6,
        ),
        Row(
            what="relay, a data centre lost",
            value=relay * moved,
            unit="cores",
            basis="measured slope x events",
            carrier=relayed,
            limit=0.6,
        ),
        Row(
            what="gap, 95 in 100",
            value=slopes.relay_gap_p95_ms,
            unit="ms",
            basis="measured at 200 streams, engine paced at 49 ms",
            carrier=relayed,
            limit=54,
        ),
        Row(
            what="decisions and records of requests",
            value=request,
            unit="cores",
            basis="measured cost x requests",
            carrier="scheduler.py, decisions.py, entry/request_log.py",
        ),
        Row(
            what="memory of open streams",
            value=size.streams_each * slopes.relay_rss_mb_a_stream,
            unit="MB",
            basis="measured slope",
            carrier="answers/answer_buffer.py, answers/stream.py",
        ),
    ]


def derive_control(size: Size, slopes: Slopes) -> list[Row]:
    """Returns what control takes at one instance."""
    probe_bytes = 0.5  # KB of both directions of a probe, assumed.
    calls = slopes.probes_per_s + slopes.loads_per_s
    changes = size.changes_a_day / 86_400
    settings = slopes.settings_change_ms / 1000 * changes
    cores = (
        slopes.members_cpu_cores
        + slopes.exchange_cpu_cores
        + slopes.probes_cpu_cores
        + slopes.idle_cores
        + settings
    )
    network = (
        slopes.members_kb_per_s + slopes.exchange_kb_per_s + calls * probe_bytes
    )
    return [
        Row(
            what="heartbeats and pressure, 60 members",
            value=slopes.members_cpu_cores,
            unit="cores",
            basis="measured, a process a member",
            carrier="membership/",
        ),
        Row(
            what="summaries with 5 other data centres",
            value=slopes.exchange_cpu_cores,
            unit="cores",
            basis="measured with one of 60 members",
            carrier="membership/summaries.py",
        ),
        Row(
            what="probes and load reports, 100 endpoints",
            value=slopes.probes_cpu_cores,
            unit="cores",
            basis="measured",
            carrier="endpoints/",
        ),
        Row(
            what="at rest: timers, polls, housekeeping",
            value=slopes.idle_cores,
            unit="cores",
            basis="measured, an instance alone",
            carrier="timers.py, housekeeping.py",
        ),
        Row(
            what="changes of settings at 42,000 accounts",
            value=settings,
            unit="cores",
            basis="measured cost x 670 a day",
            carrier="settings/core.py",
        ),
        Row(
            what="control, sum",
            value=cores,
            unit="cores",
            basis="sum",
            carrier="",
            limit=size.control_cores,
        ),
        Row(
            what="control, network",
            value=network,
            unit="KB/s",
            basis="heartbeats measured; 0.5 KB a probe assumed",
            carrier="membership/, endpoints/",
            limit=size.control_kb_per_s,
        ),
        Row(
            what="an instance at rest, no accounts",
            value=slopes.rss_small_mb,
            unit="MB",
            basis="measured; 606 idle workers of the data path included",
            carrier="application.py",
        ),
        Row(
            what="an instance at rest, 42,000 accounts",
            value=slopes.rss_full_mb,
            unit="MB",
            basis="measured; 606 idle workers of the data path included",
            carrier="settings/accounts.py",
            limit=size.control_mb,
        ),
        Row(
            what="pressure's age, 95 in 100",
            value=slopes.members_age_p95_ms,
            unit="ms",
            basis="measured at 60 members",
            carrier="membership/pressures.py",
            limit=1000,
        ),
    ]


def derive_platform(size: Size, slopes: Slopes) -> list[Row]:
    """Returns what the fleet asks of the platform."""
    listed = size.instances * (1 / 5 + 1 / 10 + 1 / 10)
    scanned = size.instances / 8
    polled = slopes.settings_reads_per_s
    reads = polled + listed + scanned
    subtrees = size.accounts / 100
    starts = size.restarts_a_day * (subtrees / 50 + 2) / 86_400
    keyed = 0.7 * 0.9 * size.platform_writes_per_s / slopes.ledger_writes
    return [
        Row(
            what="polls of the settings",
            value=polled,
            unit="reads/s",
            basis="measured, manual clock, 360 cores",
            carrier="settings/core.py",
        ),
        Row(
            what="polls after a change, busiest second",
            value=slopes.settings_reads_peak_per_s,
            unit="reads/s",
            basis="measured, manual clock, 360 cores",
            carrier="settings/core.py",
            limit=size.platform_reads_per_s,
        ),
        Row(
            what="reads of the instance list",
            value=listed,
            unit="reads/s",
            basis="computed: three parts, each 5, 10 and 10 s",
            carrier="endpoints/, membership/, application.py",
        ),
        Row(
            what="scans of wishes to drain",
            value=scanned,
            unit="reads/s",
            basis="computed: each 8 s",
            carrier="endpoints/drains.py",
        ),
        Row(
            what="reads at cold starts",
            value=starts,
            unit="reads/s",
            basis="computed: 140 a day, 50 subtrees a read",
            carrier="settings/store.py",
        ),
        Row(
            what="reads, sum",
            value=reads + starts,
            unit="reads/s",
            basis="sum",
            carrier="store/budget.py",
            limit=size.platform_reads_per_s,
        ),
        Row(
            what="new keyed requests that the writes allow",
            value=keyed,
            unit="/s",
            basis="70% of 90% of 300 writes/s, measured writes each",
            carrier="ledger/",
        ),
        Row(
            what="the same as a part of all requests",
            value=keyed / size.requests_per_s * 100,
            unit="%",
            basis="computed",
            carrier="ledger/",
        ),
        Row(
            what="settings in force everywhere, worst write",
            value=slopes.settings_everywhere_max_s,
            unit="s",
            basis="measured, manual clock, 360 cores, a tenth of reads lost",
            carrier="settings/core.py",
            limit=16,
        ),
        Row(
            what="ready after a cold start, 42,000 accounts",
            value=slopes.start_ready_s,
            unit="s",
            basis="measured; within one instance's share of reads",
            carrier="settings/store.py",
        ),
        Row(
            what="instances starting at a moment",
            value=size.restarts_a_day * slopes.start_ready_s / 86_400,
            unit="",
            basis="computed: 140 a day",
            carrier="application.py",
        ),
    ]


TABLES = {
    "One instance's data path at the peak": derive_data_path,
    "One instance's control": derive_control,
    "The platform's service": derive_platform,
}
