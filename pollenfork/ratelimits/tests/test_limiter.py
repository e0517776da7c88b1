from pollenfork import ids
from pollenfork.loads import limit_messages
from pollenfork.ratelimits import coordinator
from pollenfork.ratelimits import limiter
from pollenfork.ratelimits import parsing

RUNNER = 7
HOSTS = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]
FIRST, SECOND, THIRD = coordinator.list_candidates(RUNNER, HOSTS)
OTHER = next(host for host in HOSTS if host not in (FIRST, SECOND, THIRD))
TIER = ids.Tier(1)


class Members:
    def __init__(self) -> None:
        self.hosts = list(HOSTS)
        self.sent: list[tuple[str, limit_messages.LimitMessage]] = []

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        return self.hosts

    def pick_fanout(self) -> list[str]:
        return self.hosts[:3]

    def pick_pair(self) -> list[str]:
        return self.hosts[:2]

    def send_limits(self, host, message) -> None:
        self.sent.append((host, message))

    def list_sent(self, kind: type) -> list:
        return [each for _, each in self.sent if isinstance(each, kind)]


def make(host: str = OTHER) -> tuple[limiter.Limiter, Members]:
    members = Members()
    made = limiter.Limiter(host, "a", members)
    made.on_answer(RUNNER, parsing.ParsedLimit(2.0), 0.5, 1.0)
    return made, members


def ask(made: limiter.Limiter, now: float) -> limiter.PendingPermit | bool:
    return made.request_permit(RUNNER, "a", TIER, now)


def reply(
    pending: limiter.PendingPermit, **given
) -> limit_messages.PermitReply:
    fields = {"data_centre": "a", "number": pending.number, "granted": False}
    return limit_messages.PermitReply(**{**fields, **given})


def test_a_permit_is_requested_from_the_first_candidate() -> None:
    made, members = make()
    pending = ask(made, 2.0)
    host, message = members.sent[-1]
    assert host == pending.host == FIRST
    assert message.limit.rate == 2.0
    outcome = made.receive(reply(pending, granted=True), FIRST, 2.01)
    assert outcome == limiter.PermitResult(pending.number, True)


def test_a_candidate_that_doesnt_answer_is_skipped() -> None:
    made, _ = make()
    made.on_timeout(ask(made, 2.0), 2.12)
    assert made.find_blocked_until(RUNNER, TIER, 2.12) > 2.12
    assert ask(made, 2.3).host == SECOND


def test_a_late_answer_grants_nothing() -> None:
    made, _ = make()
    pending = ask(made, 2.0)
    made.on_timeout(pending, 2.12)
    assert made.receive(reply(pending, granted=True), FIRST, 2.2) is None


def test_only_the_host_that_was_asked_may_grant() -> None:
    made, _ = make()
    pending = ask(made, 2.0)
    assert made.receive(reply(pending, granted=True), SECOND, 2.01) is None


def test_a_refusal_says_when_to_ask_again() -> None:
    made, _ = make()
    pending = ask(made, 2.0)
    outcome = made.receive(reply(pending, wait_ms=400), FIRST, 2.0)
    assert not outcome.granted
    assert made.find_blocked_until(RUNNER, TIER, 2.0) == 2.4


def test_a_host_named_as_coordinator_is_asked_again() -> None:
    made, _ = make()
    made.on_timeout(ask(made, 2.0), 2.12)
    pending = ask(made, 2.3)
    made.receive(reply(pending, coordinator=FIRST), SECOND, 2.31)
    assert ask(made, 2.4).host == FIRST


def test_a_coordinator_reports_that_the_limit_has_ended() -> None:
    made, _ = make()
    pending = ask(made, 2.0)
    ended = limit_messages.RateLimit(RUNNER, None, 100, 50)
    made.receive(reply(pending, granted=True, limit=ended), FIRST, 2.0)
    assert made.find_rate(RUNNER) is None
    assert made.find_blocked_until(RUNNER, TIER, 2.0) == 2.0


def test_a_change_is_sent_at_once_and_passed_on() -> None:
    _, members = make()
    sent = members.list_sent(limit_messages.LimitUpdates)
    assert [each.limits[0].rate for each in sent] == [2.0] * 3
    other, others = make(SECOND)
    others.sent.clear()
    other.receive(limit_messages.LimitUpdates("a", sent[0].limits), OTHER, 1.0)
    assert others.sent == []  # It already knew the limit.


def test_an_instance_that_requests_all_limits_gets_them() -> None:
    made, members = make()
    members.sent.clear()
    made.receive(
        limit_messages.LimitUpdates("b", wants_all=True), "10.1.0.1", 2.0
    )
    host, message = members.sent[-1]
    assert host == "10.1.0.1"
    assert [each.runner for each in message.limits] == [RUNNER]
    assert not message.informed  # It has just started itself.


def test_an_uninformed_instance_sends_a_runner_one_request() -> None:
    made = limiter.Limiter(OTHER, "a", Members())
    made.tick(1.0)
    assert made.find_blocked_until(RUNNER, TIER, 1.0) == 1.0
    made.on_sent(RUNNER, 1.0)
    assert made.find_blocked_until(RUNNER, TIER, 1.0) > 1.0
    made.receive(limit_messages.LimitUpdates("a"), FIRST, 1.1)
    assert made.find_blocked_until(RUNNER, TIER, 1.1) == 1.1


def test_the_wait_ends_if_the_others_have_just_started_too() -> None:
    made = limiter.Limiter(OTHER, "a", Members())
    made.tick(1.0)
    for host in (FIRST, SECOND, THIRD):
        assert made.find_informed_at(1.1) > 1.1
        message = limit_messages.LimitUpdates("a", informed=False)
        made.receive(message, host, 1.1)
    assert made.find_informed_at(1.1) == 1.1


def test_a_partitioned_data_centre_grants_for_its_own_runners() -> None:
    made, members = make()
    ask(made, 2.0)
    members.list_hosts = lambda centre=None: [] if centre else [OTHER]
    assert ask(made, 30.0).host == FIRST
    assert isinstance(ask(made, 63.0), bool)


def test_a_suspended_process_requests_all_limits() -> None:
    made, members = make()
    for tick in range(200):
        made.tick(2.0 + tick * 0.05)
    members.sent.clear()
    made.tick(20.0)
    updates = members.list_sent(limit_messages.LimitUpdates)
    assert any(each.wants_all for each in updates)
