import collections
import random

import pytest

from pollenfork.loads import core
from pollenfork.loads import messages

PORT = 7


class FakeInstance:
    """Keeps what the exchange passes to its instance."""

    def __init__(self, number: int) -> None:
        self.loads = {number: messages.Load(1, 100 + number)}
        self.placements: list[messages.Placement] = []
        self.cached: list[messages.Placement] = []
        self.cached_locally: list[messages.Placement] = []
        self.received: set[messages.Placement] = set()
        self.status: messages.StoreStatus | None = None
        self.store_answers: list[float] = []
        self.statuses: list[tuple[messages.StoreStatus, float]] = []
        self.versions: set[tuple[messages.StoreStatus, str]] = set()
        self.findings: list[messages.Finding] = []
        self.received_findings: list[messages.Finding] = []
        self.departures: set[int] = set()
        self.new_departures: list[int] = []
        self.updates = messages.Updates()
        self.received_updates: list[tuple[messages.Updates, float]] = []

    def take_updates(self, now: float) -> messages.Updates:
        taken, self.updates = self.updates, messages.Updates()
        return taken

    def record_updates(self, updates: messages.Updates, now: float) -> None:
        self.received_updates.append((updates, now))

    def read_loads(self) -> messages.LoadTable:
        return dict(self.loads)

    def take_placements(self) -> list[messages.Placement]:
        placements, self.placements = self.placements, []
        return placements

    def list_placements(self) -> list[messages.Placement]:
        return list(self.cached)

    def list_local_placements(self) -> list[messages.Placement]:
        return list(self.cached_locally)

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        return self.status

    def record_placements(self, placements) -> None:
        self.received.update(placements)

    def record_store_status(
        self, status: messages.StoreStatus, moment: float, sender: str
    ) -> None:
        self.statuses.append((status, moment))

    def record_store_answer(self, moment: float) -> None:
        self.store_answers.append(moment)

    def record_store_versions(
        self, status: messages.StoreStatus, sender: str
    ) -> None:
        self.versions.add((status, sender))

    def take_findings(self) -> list[messages.Finding]:
        findings, self.findings = self.findings, []
        return findings

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        self.received_findings.append(finding)

    def announce(self, announced: int) -> None:
        """A runner announces to this instance that it leaves."""
        self.record_departures([announced])

    def take_departures(self) -> list[int]:
        new, self.new_departures = self.new_departures, []
        return new

    def list_departures(self) -> list[int]:
        return sorted(self.departures)

    def record_departures(self, announced) -> None:
        for each in set(announced) - self.departures:
            self.departures.add(each)
            self.new_departures.append(each)

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        return None

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        return None

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        return [messages.Suspicions("")]

    def record_suspicions(self, suspicions, host, now) -> None:
        pass

    def record_instance_count(self, count: int) -> None:
        """Ignores the count."""


class Network:
    """Simulates instances of three data centres on a clock set by tests."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.now = 100.0
        self.loss = loss
        self.rng = random.Random(4)
        self.down: set[str] = set()
        self.partitioned: set[str] = set()
        self.sent = 0
        self.bytes = 0
        self.crossings = 0
        self.instances: dict[str, FakeInstance] = {}
        self.exchanges: dict[str, core.Exchange] = {}
        self.data_centres: dict[str, str] = {}
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> str:
        host = f"10.{number % 3}.0.{number:03}"
        seeds = [messages.Address(f"10.{n}.0.{n:03}", PORT) for n in range(3)]
        self.data_centres[host] = "abc"[number % 3]
        self.instances[host] = FakeInstance(number)
        self.exchanges[host] = core.Exchange(
            messages.Address(host, PORT),
            self.data_centres[host],
            seeds,
            self.instances[host],
        )
        return host

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += core.PERIOD_S
            for host, exchange in self.exchanges.items():
                if host not in self.down:
                    self.deliver(host, exchange.tick(self.now))

    def deliver(self, sender: str, sends: list[messages.Send]) -> None:
        waiting = collections.deque((sender, send) for send in sends)
        while waiting:
            sender, send = waiting.popleft()
            self.sent += 1
            self.bytes += len(messages.encode(send.message))
            crossing = (
                self.data_centres.get(send.to.host) != self.data_centres[sender]
            )
            self.crossings += crossing
            if self.rng.random() < self.loss or send.to.host in self.down:
                continue
            if (send.to.host in self.partitioned) != (
                sender in self.partitioned
            ):
                continue
            message = messages.decode(messages.encode(send.message))
            exchange = self.exchanges.get(send.to.host)
            if exchange is not None and message is not None:
                answers = exchange.receive(message, sender, self.now)
                waiting.extend((send.to.host, each) for each in answers)

    def check_totals(self) -> None:
        live = [host for host in self.exchanges if host not in self.down]
        for host in live:
            expected = {}
            for other in live:
                if other != host:
                    expected.update(self.instances[other].loads)
            assert self.exchanges[host].read_others(self.now) == expected


def test_every_instance_learns_the_loads_of_all_others() -> None:
    network = Network(8)
    network.run(4.0)
    network.check_totals()
    assert {each.instances for each in network.exchanges.values()} == {8}


def test_lost_datagrams_only_delay_updates() -> None:
    network = Network(12, loss=0.2)
    network.run(8.0)
    network.loss = 0.0
    network.run(2.0)
    network.check_totals()


def test_a_dead_relay_is_replaced_and_its_loads_expire() -> None:
    network = Network(12)
    network.run(4.0)
    network.down = {"10.0.0.000", "10.1.0.001"}
    network.run(6.0)
    network.check_totals()


def test_a_partitioned_data_centre_knows_its_own_loads() -> None:
    network = Network(9)
    network.run(4.0)
    cut = {host for host in network.exchanges if host.startswith("10.2.")}
    rest = set(network.exchanges) - cut
    network.down = cut
    network.run(6.0)
    network.check_totals()
    network.down = rest
    network.run(6.0)
    network.check_totals()
    network.down = set()
    network.run(8.0)
    network.check_totals()


def test_an_instance_that_joins_later_is_found_through_a_seed() -> None:
    network = Network(6)
    network.run(4.0)
    network.down = {"10.0.0.000", "10.1.0.001"}
    host = network.add(6)
    network.run(6.0)
    network.check_totals()
    assert network.exchanges[host].instances >= 5


def test_placements_reach_every_instance() -> None:
    network = Network(10)
    network.run(4.0)
    placement = messages.Placement(5, 6)
    network.instances["10.1.0.004"].placements.append(placement)
    network.run(0.5)
    reached = {
        host
        for host, instance in network.instances.items()
        if placement in instance.received
    }
    assert reached == set(network.instances) - {"10.1.0.004"}


def test_the_status_age_counts_from_when_the_report_was_sent() -> None:
    network = Network(4)
    network.run(3.0)
    relay, reporter = "10.0.0.000", "10.0.0.003"
    network.instances[relay].status = messages.StoreStatus(7, 8, age_s=0.5)
    sent_at = network.now
    network.run(1.0)
    statuses = network.instances[reporter].statuses
    assert statuses
    # A suspended reporter that reads an old answer trusts it no longer.
    for _, moment in statuses:
        assert moment <= network.now - 0.5
    assert statuses[0][1] >= sent_at - 1.5


def test_new_store_versions_are_sent_in_the_next_period() -> None:
    network = Network(6)
    relay = network.instances["10.0.0.000"]
    reporter = network.instances["10.0.0.003"]
    relay.status = messages.StoreStatus(1, 1, 0.0)
    network.run(4.0)
    for number in range(2, 10):
        relay.status = messages.StoreStatus(number, 1, 0.0)
        network.run(core.PERIOD_S * 2.5)
        assert reporter.statuses[-1][0].configuration == number


def test_one_relay_polls_the_store_for_all_and_is_replaced() -> None:
    network = Network(9)
    network.run(4.0)
    poller = "10.0.0.000"
    for exchange in network.exchanges.values():
        assert exchange.find_store_poller(network.now) == poller
    network.instances[poller].status = messages.StoreStatus(7, 7, 0.25)
    network.run(1.0)
    for host in ("10.1.0.001", "10.2.0.002"):
        status, moment = network.instances[host].statuses[-1]
        assert status.configuration == 7
        # The age counts from before it was sent: it looks no newer than it is.
        assert network.now - 1.5 < moment < network.now - 0.25
    network.down = {poller}
    network.run(6.0)
    for host in ("10.0.0.003", "10.1.0.001", "10.2.0.002"):
        found = network.exchanges[host].find_store_poller(network.now)
        assert found == "10.0.0.003"


def test_only_sums_cross_between_data_centres() -> None:
    network = Network(60)
    network.run(4.0)
    network.sent = network.crossings = 0
    network.run(2.0)
    # Six links between three relays, not 60 times 59.
    assert network.crossings < 6 * 2.0 / core.PERIOD_S * 1.2
    assert network.sent / 60 < 3 * 2.0 / core.PERIOD_S


def count_rounds(reporters: int) -> int:
    """Returns how often a relay sends to its reporters in a second."""
    me = messages.Address("10.0.0.000", PORT)
    instance = FakeInstance(0)
    relay = core.Exchange(me, "a", [], instance)
    rounds = 0
    for step in range(40):
        now = 100.0 + step * core.PERIOD_S
        instance.loads = {0: messages.Load(1, step)}
        for number in range(1, reporters + 1):
            report = messages.Report("a", {}, (), now)
            relay.receive(report, f"10.0.0.{number:03}", now)
        if step >= 20:
            sends = relay.tick(now)
            rounds += any(
                isinstance(s.message, messages.OtherLoads) for s in sends
            )
    return rounds


def test_a_relay_sends_less_often_with_more_reporters() -> None:
    assert count_rounds(10) == 20
    # 60 reporters at 2 ms each: every third period.
    assert count_rounds(60) == 7


def test_urgent_changes_are_marked_for_the_relays() -> None:
    network = Network(4)
    network.run(3.0)
    network.instances["10.0.0.003"].loads = {3: messages.Load(2, 9000)}
    sends = network.exchanges["10.0.0.003"].tick(network.now, urgent=True)
    assert [send.message.urgent for send in sends] == [True]


def test_an_invalid_datagram_decodes_to_none() -> None:
    assert messages.decode(b"\x00garbage") is None
    assert messages.decode(b"") is None


def make_placements(count: int) -> set[messages.Placement]:
    return {messages.Placement(part, 1) for part in range(count)}


def test_a_new_instance_receives_all_cached_parts() -> None:
    network = Network(6)
    network.run(4.0)
    cached = make_placements(1500)
    for instance in network.instances.values():
        instance.cached = list(cached)
    host = network.add(6)
    network.run(4.0)
    assert network.instances[host].received == cached


def test_a_relay_receives_the_parts_cached_in_other_data_centres() -> None:
    network = Network(9)
    network.run(4.0)
    local = make_placements(300)
    for host, instance in network.instances.items():
        if network.data_centres[host] == "a":
            instance.cached_locally = list(local)
    network.down = {"10.1.0.001"}
    network.run(4.0)
    network.down = set()
    network.run(8.0)
    assert network.instances["10.1.0.001"].received >= local


def test_a_burst_of_placements_is_sent_completely() -> None:
    network = Network(6)
    network.run(4.0)
    host = next(iter(network.instances))
    placements = make_placements(1000)
    network.instances[host].placements = list(placements)
    network.run(2.0)
    for other, instance in network.instances.items():
        assert other == host or instance.received == placements


def test_a_relay_receives_the_versions_that_reporters_read() -> None:
    network = Network(6)
    status = messages.StoreStatus(3, 7, 0.0)
    network.instances["10.0.0.003"].status = status
    network.run(4.0)
    relay = network.instances["10.0.0.000"]
    assert (status, "10.0.0.003") in relay.versions


@pytest.mark.parametrize("cut_s", [1.5, 4.0, 30.0])
@pytest.mark.parametrize("count", [3, 8, 24])
def test_a_data_centre_reconnects_after_a_partition(count, cut_s) -> None:
    network = Network(count)
    network.run(4.0)
    network.partitioned = {
        host for host in network.exchanges if "10.2." in host
    }
    network.run(cut_s)
    network.partitioned.clear()
    network.run(2.0)
    network.check_totals()


@pytest.mark.parametrize("cut_s", [1.5, 4.0, 30.0])
def test_a_single_relay_reconnects_after_a_partition(cut_s) -> None:
    network = Network(8)
    network.run(4.0)
    # The relay of a data centre of three.
    network.partitioned = {"10.0.0.000"}
    network.run(cut_s)
    network.partitioned.clear()
    # The others gave it up 1.2 s into its silence and retry it 4 s after that;
    # loads received before count for 1.3 s more.
    network.run(1.2 + 4.0 + 1.3)
    network.check_totals()


def test_a_reporters_status_refreshes_that_of_its_relay() -> None:
    network = Network(8)
    network.run(4.0)
    # The store answers only one instance, which isn't a relay.
    lone = network.instances["10.0.0.006"]
    for _ in range(40):
        lone.status = messages.StoreStatus(7, 9, 0.0, 0.0)
        network.run(0.05)
        lone.status = messages.StoreStatus(7, 9, 0.05, 0.05)
    relay = network.instances["10.0.0.000"]
    newest = max(moment for _, moment in relay.statuses)
    assert network.now - newest < 0.5
    assert network.now - max(relay.store_answers) < 0.5


def test_an_echo_from_before_a_restart_bounds_no_time() -> None:
    network = Network(2)
    exchange = next(iter(network.exchanges.values()))
    instance = network.instances["10.0.0.000"]
    status = messages.StoreStatus(7, 9, 0.5)
    report = messages.Report("a", {}, status=status, echo=5000.0)
    exchange.receive(report, "10.0.0.003", network.now)
    assert instance.statuses == []
    assert instance.versions == {(status, "10.0.0.003")}
    assert instance.store_answers == [network.now - 0.5]


def test_a_finding_reaches_all_instances_within_a_third_of_a_second():
    network = Network(24)
    network.run(4.0)
    finding = messages.Finding(7, messages.Symptom.DISPLACED)
    network.instances["10.1.0.004"].findings.append(finding)
    network.run(0.3)
    received = [
        each.received_findings
        for host, each in network.instances.items()
        if host != "10.1.0.004"
    ]
    assert all(len(each) == 1 for each in received)
    observer = messages.hash_name(b"10.1.0.004")
    assert {each[0].observer for each in received} == {observer}
    assert {each[0].data_centre for each in received} == {"b"}


def test_a_relay_hears_others_unless_its_data_centre_is_cut_off() -> None:
    network = Network(9)
    network.run(1.0)
    relay = network.exchanges["10.0.0.000"]
    cut_off = network.exchanges["10.1.0.001"]
    assert relay.hears_others(network.now)
    assert cut_off.hears_others(network.now)
    assert not network.exchanges["10.0.0.003"].hears_others(network.now)
    network.partitioned = {"10.1.0.001", "10.1.0.004", "10.1.0.007"}
    # Longer than it takes to forget the members there.
    network.run(20.0)
    assert relay.hears_others(network.now)
    assert not cut_off.hears_others(network.now)
    network.partitioned.clear()
    network.run(1.0)
    assert cut_off.hears_others(network.now)


# The others report to another relay for 4 s after this one was lost.
def test_a_relay_that_starts_again_hears_its_data_centre_soon() -> None:
    network = Network(9)
    for instance in network.instances.values():
        instance.status = messages.StoreStatus(7, 8, 0.5)
    network.run(1.0)
    network.down = {"10.0.0.000"}
    network.run(3.0)
    network.down = set()
    network.add(0)
    started = network.exchanges["10.0.0.000"]
    assert not started.hears_others(network.now)
    network.run(1.0)
    assert started.hears_others(network.now)


def test_an_instance_without_seeds_has_nobody_to_hear() -> None:
    alone = core.Exchange(
        messages.Address("10.0.0.1", PORT), "a", (), FakeInstance(1)
    )
    assert alone.hears_others(100.0)
    alone.set_seeds([messages.Address("10.0.0.2", PORT)])
    assert not alone.hears_others(100.0)


def test_lost_instances_are_greeted_early_on_request() -> None:
    alone = core.Exchange(
        messages.Address("10.0.0.1", PORT),
        "a",
        [messages.Address("10.0.0.2", PORT)],
        FakeInstance(1),
    )
    assert alone.tick(100.0)
    assert not alone.tick(100.1)
    alone.greet_lost()
    (greeting,) = alone.tick(100.15)
    assert isinstance(greeting.message, messages.Hello)


def test_only_relays_beside_other_data_centres_expect_relays() -> None:
    network = Network(9)
    network.run(1.0)
    expecting = [
        host
        for host, exchange in network.exchanges.items()
        if exchange.expects_relays(network.now)
    ]
    assert expecting == ["10.0.0.000", "10.1.0.001", "10.2.0.002"]
    alone = core.Exchange(
        messages.Address("10.0.0.1", PORT), "a", (), FakeInstance(1)
    )
    assert not alone.expects_relays(100.0)


def make_pair(kind: str) -> tuple[Network, core.Exchange, str]:
    """Returns an exchange and the host that sends it loads of a kind."""
    network = Network(4)
    network.run(3.0)
    relay = network.exchanges["10.0.0.000"].find_relay(network.now)
    other = ({"10.0.0.000", "10.0.0.003"} - {relay}).pop()
    receiver, sender = {
        "report": (relay, other),
        "sum": (relay, "10.1.0.001"),
        "others": (other, relay),
    }[kind]
    return network, network.exchanges[receiver], sender


def send_loads(
    network: Network,
    exchange: core.Exchange,
    kind: str,
    sender: str,
    active: int,
    sent_at: float,
) -> None:
    loads = {99: messages.Load(active, 0)}
    centre = network.data_centres[sender]
    message: messages.Message = messages.OtherLoads(loads, sent_at=sent_at)
    if kind == "report":
        message = messages.Report(centre, loads, sent_at=sent_at)
    elif kind == "sum":
        message = messages.DataCentreLoads(centre, loads, sent_at=sent_at)
    exchange.receive(message, sender, network.now)


# Guards against loads that go back because a datagram was overtaken by a later
# one on the way.
@pytest.mark.parametrize("kind", ["report", "sum", "others"])
def test_an_overtaken_message_does_not_replace_newer_loads(kind: str) -> None:
    network, exchange, sender = make_pair(kind)
    later = network.now + 0.2
    send_loads(network, exchange, kind, sender, 9, later)
    send_loads(network, exchange, kind, sender, 1, later - 0.1)
    assert exchange.read_others(network.now)[99].active == 9


# Guards against a sender that is refused for good as its clock began anew.
@pytest.mark.parametrize("kind", ["report", "sum", "others"])
def test_a_sender_with_an_earlier_clock_is_taken_after_expiry(
    kind: str,
) -> None:
    network, exchange, sender = make_pair(kind)
    send_loads(network, exchange, kind, sender, 9, network.now + 0.2)
    network.now += core._EXPIRY_S + 0.01
    send_loads(network, exchange, kind, sender, 1, 1.0)
    assert exchange.read_others(network.now)[99].active == 1
