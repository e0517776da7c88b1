from pollenfork import ids
from pollenfork.loads import limit_messages
from pollenfork.ratelimits import coordinator
from pollenfork.ratelimits import figures
from pollenfork.ratelimits import limiter

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
    made.on_answer(RUNNER, figures.Reading(2.0), 0.5, 1.0)
    return made, members


def ask(made: limiter.Limiter, now: float) -> limiter.Asked | bool:
    return made.ask(RUNNER, "a", TIER, now)


def reply(asked: limiter.Asked, **given) -> limit_messages.PermitReply:
    fields = {"data_centre": "a", "number": asked.number, "granted": False}
    return limit_messages.PermitReply(**{**fields, **given})


def test_a_permit_is_asked_of_the_first_candidate() -> None:
    made, members = make()
    asked = ask(made, 2.0)
    host, message = members.sent[-1]
    assert host == asked.host == FIRST
    assert message.limit.rate == 2.0
    answered = made.hear(reply(asked, granted=True), FIRST, 2.01)
    assert answered == limiter.Answered(asked.number, True)


def test_a_candidate_that_doesnt_answer_is_passed_over() -> None:
    made, _ = make()
    made.on_timeout(ask(made, 2.0), 2.12)
    assert made.find_blocked_until(RUNNER, TIER, 2.12) > 2.12
    assert ask(made, 2.3).host == SECOND


def test_a_late_answer_grants_nothing_any_more() -> None:
    made, _ = make()
    asked = ask(made, 2.0)
    made.on_timeout(asked, 2.12)
    assert made.hear(reply(asked, granted=True), FIRST, 2.2) is None


def test_only_who_was_asked_may_grant() -> None:
    made, _ = make()
    asked = ask(made, 2.0)
    assert made.hear(reply(asked, granted=True), SECOND, 2.01) is None


def test_a_refusal_says_when_to_ask_again() -> None:
    made, _ = make()
    asked = ask(made, 2.0)
    answered = made.hear(reply(asked, wait_ms=400), FIRST, 2.0)
    assert not answered.granted
    assert made.find_blocked_until(RUNNER, TIER, 2.0) == 2.4


def test_who_is_named_as_the_coordinator_is_asked_again() -> None:
    made, _ = make()
    made.on_timeout(ask(made, 2.0), 2.12)
    asked = ask(made, 2.3)
    made.hear(reply(asked, coordinator=FIRST), SECOND, 2.31)
    assert ask(made, 2.4).host == FIRST


def test_a_coordinator_that_knows_of_the_end_says_so() -> None:
    made, _ = make()
    asked = ask(made, 2.0)
    ended = limit_messages.RateLimit(RUNNER, None, 100, 50)
    made.hear(reply(asked, granted=True, limit=ended), FIRST, 2.0)
    assert made.find_rate(RUNNER) is None
    assert made.find_blocked_until(RUNNER, TIER, 2.0) == 2.0


def test_a_change_is_told_at_once_and_passed_on() -> None:
    _, members = make()
    told = members.list_sent(limit_messages.LimitUpdates)
    assert [each.limits[0].rate for each in told] == [2.0] * 3
    other, others = make(SECOND)
    others.sent.clear()
    other.hear(limit_messages.LimitUpdates("a", told[0].limits), OTHER, 1.0)
    assert others.sent == []  # It knew.


def test_who_asks_is_told_all() -> None:
    made, members = make()
    members.sent.clear()
    made.hear(limit_messages.LimitUpdates("b", wants_all=True), "10.1.0.1", 2.0)
    host, told = members.sent[-1]
    assert host == "10.1.0.1"
    assert [each.runner for each in told.limits] == [RUNNER]
    assert not told.informed  # It has just started itself.


def test_who_starts_sends_a_runner_one_request_until_it_is_told() -> None:
    made = limiter.Limiter(OTHER, "a", Members())
    made.tick(1.0)
    assert made.find_blocked_until(RUNNER, TIER, 1.0) == 1.0
    made.on_sent(RUNNER, 1.0)
    assert made.find_blocked_until(RUNNER, TIER, 1.0) > 1.0
    made.hear(limit_messages.LimitUpdates("a"), FIRST, 1.1)
    assert made.find_blocked_until(RUNNER, TIER, 1.1) == 1.1


def test_others_that_have_just_started_too_end_the_wait() -> None:
    made = limiter.Limiter(OTHER, "a", Members())
    made.tick(1.0)
    for host in (FIRST, SECOND, THIRD):
        assert made.find_informed_at(1.1) > 1.1
        message = limit_messages.LimitUpdates("a", informed=False)
        made.hear(message, host, 1.1)
    assert made.find_informed_at(1.1) == 1.1


def test_runners_of_a_cut_off_data_centre_stay_with_its_instances() -> None:
    made, members = make()
    ask(made, 2.0)
    members.list_hosts = lambda centre=None: [] if centre else [OTHER]
    assert ask(made, 30.0).host == FIRST
    assert isinstance(ask(made, 63.0), bool)


def test_a_process_that_stood_still_asks_for_what_it_missed() -> None:
    made, members = make()
    for tick in range(200):
        made.tick(2.0 + tick * 0.05)
    members.sent.clear()
    made.tick(20.0)
    asking = members.list_sent(limit_messages.LimitUpdates)
    assert any(each.wants_all for each in asking)
