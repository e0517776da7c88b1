import random

import pytest

from pollenfork.loads import core
from pollenfork.loads import messages

PORT = 7


class FakeInstance:
    """What an instance has under way, and what it was told."""

    def __init__(self, number: int) -> None:
        self.loads = {number: messages.Load(1, 100 + number)}
        self.placed: list[messages.Placement] = []
        self.kept: list[messages.Placement] = []
        self.kept_here: list[messages.Placement] = []
        self.heard: set[messages.Placement] = set()
        self.proof: messages.StoreStatus | None = None
        self.answered: list[float] = []
        self.proven: list[tuple[messages.StoreStatus, float]] = []
        self.versions: set[tuple[messages.StoreStatus, str]] = set()
        self.found: list[messages.Finding] = []
        self.found_elsewhere: list[messages.Finding] = []

    def read_loads(self) -> messages.LoadTable:
        return dict(self.loads)

    def take_placements(self) -> list[messages.Placement]:
        placed, self.placed = self.placed, []
        return placed

    def list_placements(self) -> list[messages.Placement]:
        return list(self.kept)

    def list_local_placements(self) -> list[messages.Placement]:
        return list(self.kept_here)

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        return self.proof

    def record_placements(self, placed) -> None:
        self.heard.update(placed)

    def record_store_status(
        self, proof: messages.StoreStatus, moment: float, teller: str
    ) -> None:
        self.proven.append((proof, moment))

    def record_store_answer(self, moment: float) -> None:
        self.answered.append(moment)

    def record_store_versions(
        self, proof: messages.StoreStatus, teller: str
    ) -> None:
        self.versions.add((proof, teller))

    def take_findings(self) -> list[messages.Finding]:
        found, self.found = self.found, []
        return found

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        self.found_elsewhere.append(finding)

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        return None

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        return None

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        return [messages.Suspicions("")]

    def record_suspicions(self, told, host, now) -> None:
        pass

    def record_instance_count(self, count: int) -> None:
        """Takes nothing."""


class Network:
    """Instances of three data centres on a clock that tests advance."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.now = 100.0
        self.loss = loss
        self.rng = random.Random(4)
        self.down: set[str] = set()
        self.apart: set[str] = set()
        self.sent = 0
        self.crossed = 0
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
        for send in sends:
            self.sent += 1
            crossing = (
                self.data_centres.get(send.to.host) != self.data_centres[sender]
            )
            self.crossed += crossing
            if self.rng.random() < self.loss or send.to.host in self.down:
                continue
            if (send.to.host in self.apart) != (sender in self.apart):
                continue
            message = messages.decode(messages.encode(send.message))
            exchange = self.exchanges.get(send.to.host)
            if exchange is not None and message is not None:
                answers = exchange.receive(message, sender, self.now)
                self.deliver(send.to.host, answers)

    def check_totals(self) -> None:
        live = [host for host in self.exchanges if host not in self.down]
        for host in live:
            expected = {}
            for other in live:
                if other != host:
                    expected.update(self.instances[other].loads)
            assert self.exchanges[host].read_others(self.now) == expected


def test_everyone_learns_what_all_others_have_under_way() -> None:
    network = Network(8)
    network.run(4.0)
    network.check_totals()
    assert {each.instances for each in network.exchanges.values()} == {8}


def test_lost_datagrams_only_delay_the_news() -> None:
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


def test_a_data_centre_cut_off_knows_its_own() -> None:
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


def test_one_that_joins_later_is_found_through_a_seed() -> None:
    network = Network(6)
    network.run(4.0)
    network.down = {"10.0.0.000", "10.1.0.001"}
    host = network.add(6)
    network.run(6.0)
    network.check_totals()
    assert network.exchanges[host].instances >= 5


def test_placements_reach_everyone_once_or_more() -> None:
    network = Network(10)
    network.run(4.0)
    placed = messages.Placement(5, 6)
    network.instances["10.1.0.004"].placed.append(placed)
    network.run(0.5)
    told = {
        host
        for host, instance in network.instances.items()
        if placed in instance.heard
    }
    assert told == set(network.instances) - {"10.1.0.004"}


def test_proof_counts_from_when_the_report_was_sent() -> None:
    network = Network(4)
    network.run(3.0)
    relay, reporter = "10.0.0.000", "10.0.0.003"
    network.instances[relay].proof = messages.StoreStatus(7, 8, age_s=0.5)
    sent_at = network.now
    network.run(1.0)
    proven = network.instances[reporter].proven
    assert proven
    # A frozen reporter that reads an old answer believes no more than this.
    for _, moment in proven:
        assert moment <= network.now - 0.5
    assert proven[0][1] >= sent_at - 1.5


def test_news_of_the_store_is_told_at_the_next_period() -> None:
    network = Network(6)
    relay = network.instances["10.0.0.000"]
    reporter = network.instances["10.0.0.003"]
    relay.proof = messages.StoreStatus(1, 1, 0.0)
    network.run(4.0)
    for number in range(2, 10):
        relay.proof = messages.StoreStatus(number, 1, 0.0)
        network.run(core.PERIOD_S * 2.5)
        assert reporter.proven[-1][0].configuration == number


def test_one_relay_proves_for_all_and_another_follows_it() -> None:
    network = Network(9)
    network.run(4.0)
    prover = "10.0.0.000"
    for exchange in network.exchanges.values():
        assert exchange.find_store_poller(network.now) == prover
    network.instances[prover].proof = messages.StoreStatus(7, 7, 0.25)
    network.run(1.0)
    for host in ("10.1.0.001", "10.2.0.002"):
        proof, moment = network.instances[host].proven[-1]
        assert proof.configuration == 7
        # Counted from before it was told: no fresher than it is.
        assert network.now - 1.5 < moment < network.now - 0.25
    network.down = {prover}
    network.run(6.0)
    for host in ("10.0.0.003", "10.1.0.001", "10.2.0.002"):
        found = network.exchanges[host].find_store_poller(network.now)
        assert found == "10.0.0.003"


def test_only_sums_cross_between_data_centres() -> None:
    network = Network(60)
    network.run(4.0)
    network.sent = network.crossed = 0
    network.run(2.0)
    # Six lines between three relays, not 60 times 59.
    assert network.crossed < 6 * 2.0 / core.PERIOD_S * 1.2
    assert network.sent / 60 < 3 * 2.0 / core.PERIOD_S


def count_rounds(reporters: int) -> int:
    """Returns how often a relay tells a reporter something in a second."""
    me = messages.Address("10.0.0.000", PORT)
    instance = FakeInstance(0)
    relay = core.Exchange(me, "a", [], instance)
    told = 0
    for step in range(40):
        now = 100.0 + step * core.PERIOD_S
        instance.loads = {0: messages.Load(1, step)}
        for number in range(1, reporters + 1):
            report = messages.Report("a", {}, (), now)
            relay.receive(report, f"10.0.0.{number:03}", now)
        if step >= 20:
            sends = relay.tick(now)
            told += any(
                isinstance(s.message, messages.OtherLoads) for s in sends
            )
    return told


def test_a_relay_tells_more_rarely_the_more_it_has_to_tell() -> None:
    assert count_rounds(10) == 20
    # 60 reporters at 2 ms each: every third period.
    assert count_rounds(60) == 7


def test_urgent_news_is_marked_for_the_relays() -> None:
    network = Network(4)
    network.run(3.0)
    network.instances["10.0.0.003"].loads = {3: messages.Load(2, 9000)}
    sends = network.exchanges["10.0.0.003"].tick(network.now, urgent=True)
    assert [send.message.urgent for send in sends] == [True]


def test_a_datagram_that_is_none_is_told_apart() -> None:
    assert messages.decode(b"\x00garbage") is None
    assert messages.decode(b"") is None


def make_placed(count: int) -> set[messages.Placement]:
    return {messages.Placement(part, 1) for part in range(count)}


def test_one_that_starts_is_told_all_that_runners_keep() -> None:
    network = Network(6)
    network.run(4.0)
    kept = make_placed(1500)
    for instance in network.instances.values():
        instance.kept = list(kept)
    host = network.add(6)
    network.run(4.0)
    assert network.instances[host].heard == kept


def test_a_relay_is_told_what_runners_of_the_others_data_centre_keep() -> None:
    network = Network(9)
    network.run(4.0)
    here = make_placed(300)
    for host, instance in network.instances.items():
        if network.data_centres[host] == "a":
            instance.kept_here = list(here)
    network.down = {"10.1.0.001"}
    network.run(4.0)
    network.down = set()
    network.run(8.0)
    assert network.instances["10.1.0.001"].heard >= here


def test_a_burst_of_placements_is_told_whole_in_small_datagrams() -> None:
    network = Network(6)
    network.run(4.0)
    host = next(iter(network.instances))
    placed = make_placed(1000)
    network.instances[host].placed = list(placed)
    network.run(2.0)
    for other, instance in network.instances.items():
        assert other == host or instance.heard == placed


def test_a_relay_hears_what_those_that_report_to_it_have_read() -> None:
    network = Network(6)
    proof = messages.StoreStatus(3, 7, 0.0)
    network.instances["10.0.0.003"].proof = proof
    network.run(4.0)
    relay = network.instances["10.0.0.000"]
    assert (proof, "10.0.0.003") in relay.versions


@pytest.mark.parametrize("cut_s", [1.5, 4.0, 30.0])
@pytest.mark.parametrize("count", [3, 8, 24])
def test_a_data_centre_that_was_cut_off_is_heard_again(count, cut_s) -> None:
    network = Network(count)
    network.run(4.0)
    network.apart = {host for host in network.exchanges if "10.2." in host}
    network.run(cut_s)
    network.apart.clear()
    network.run(2.0)
    network.check_totals()


@pytest.mark.parametrize("cut_s", [1.5, 4.0, 30.0])
def test_one_that_was_cut_off_alone_is_heard_again(cut_s) -> None:
    network = Network(8)
    network.run(4.0)
    # The relay of a data centre of three.
    network.apart = {"10.0.0.000"}
    network.run(cut_s)
    network.apart.clear()
    # Those that passed it over, 1.2 s into its silence, give it another chance
    # 4 s after that; what it was told before counts for 1.3 s more.
    network.run(1.2 + 4.0 + 1.3)
    network.check_totals()


def test_the_proof_of_one_that_reports_counts_at_its_relay() -> None:
    network = Network(8)
    network.run(4.0)
    # The store answers one instance that relays for nobody.
    lone = network.instances["10.0.0.006"]
    for _ in range(40):
        lone.proof = messages.StoreStatus(7, 9, 0.0, 0.0)
        network.run(0.05)
        lone.proof = messages.StoreStatus(7, 9, 0.05, 0.05)
    relay = network.instances["10.0.0.000"]
    newest = max(moment for _, moment in relay.proven)
    assert network.now - newest < 0.5
    assert network.now - max(relay.answered) < 0.5


def test_a_proof_that_answers_a_former_start_proves_no_moment() -> None:
    network = Network(2)
    exchange = next(iter(network.exchanges.values()))
    seen = network.instances["10.0.0.000"]
    proof = messages.StoreStatus(7, 9, 0.5)
    report = messages.Report("a", {}, proof=proof, echo=5000.0)
    exchange.receive(report, "10.0.0.003", network.now)
    assert seen.proven == []
    assert seen.versions == {(proof, "10.0.0.003")}
    assert seen.answered == [network.now - 0.5]


def test_what_one_found_of_a_runner_reaches_all_within_a_third_of_a_second():
    network = Network(24)
    network.run(4.0)
    finding = messages.Finding(7, messages.Symptom.DISPLACED)
    network.instances["10.1.0.004"].found.append(finding)
    network.run(0.3)
    heard = [
        each.found_elsewhere
        for host, each in network.instances.items()
        if host != "10.1.0.004"
    ]
    assert all(len(each) == 1 for each in heard)
    witness = messages.hash_name(b"10.1.0.004")
    assert {each[0].observer for each in heard} == {witness}
    assert {each[0].data_centre for each in heard} == {"b"}
