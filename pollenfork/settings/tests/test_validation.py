import pytest

from pollenfork.settings import documents
from pollenfork.settings import snapshot
from pollenfork.settings import validation
from pollenfork.settings.tests import support

MORNING = "teams.linework.classes.morning"
DISPATCH = "teams.linework.accounts.dispatch"
DIGEST = r"text that matches ^[0-9a-f]{64}\Z"

# Path, new value (None removes the entry), and all expected errors.
CASES = [
    (f"{MORNING}.target_first_token_ms", 0,
     [f"{MORNING}: target_first_token_ms must be > 0"]),
    (f"{MORNING}.target_gap_ms", "49",
     [f"{MORNING}: target_gap_ms must be an integer"]),
    (f"{MORNING}.target_gap_ms", 49.5,
     [f"{MORNING}: target_gap_ms must be an integer"]),
    (f"{MORNING}.max_waiting", True,
     [f"{MORNING}: max_waiting must be an integer"]),
    (f"{MORNING}.retry_ratio", 2,
     [f"{MORNING}: retry_ratio must be <= 1"]),
    (f"{MORNING}.retry_ratio", "half",
     [f"{MORNING}: retry_ratio must be a number"]),
    (f"{MORNING}.tier", 7, [f"{MORNING}: tier must be < 7"]),
    (f"{MORNING}.tier", -1, [f"{MORNING}: tier must be >= 0"]),
    (f"{MORNING}.tier", None, [f"{MORNING}: tier is required"]),
    (f"{MORNING}.colour", "red", [f"{MORNING}: colour is not a setting"]),
    (f"{MORNING}.protected", 1,
     [f"{MORNING}: protected must be true or false"]),
    (f"{MORNING}.when_late", "panic",
     [f"{MORNING}: when_late must be one of refuse, wait"]),
    (f"{MORNING}.minimum_share", 0.1,
     [f"{MORNING}: minimum_share must be <= 0.05, the ceiling"]),
    (MORNING, [], [f"{MORNING}: must be an object"]),
    ("teams.linework.classes", [],
     ["teams.linework.classes: must be an object"]),
    ("teams", None, [
     ]),
    ("root.operator_sha256", "x",
     ["root: operator_sha256 must be an array"]),
    ("root.operator_sha256", ["x"],
     [f"root: operator_sha256[0] must be {DIGEST}"]),
    ("root.endpoints.runner-1.address", 8000,
     ["root.endpoints.runner-1: address must be a string"]),
    ("root.endpoints.runner-1.address", "runner:8000",
     ["root.endpoints.runner-1: address must be IP:PORT, "
      "such as 10.0.0.7:8000"]),
    ("root.endpoints.runner-1.address", "10.0.0.7:70000",
     ["root.endpoints.runner-1: address must be IP:PORT, "
      "such as 10.0.0.7:8000"]),
    ("root.endpoints.runner-1.address", "10.0.0.7:08000",
     ["root.endpoints.runner-1: address must be IP:PORT, "
      "such as 10.0.0.7:8000"]),
    ("root.endpoints.runner-1.address", "10.0.0.9:8100",
     ["root.endpoints.photos-1: address is also that of endpoint runner-1"]),
    ("root.services.photos.endpoints", ["runner-9"],
     ["root.services.photos: endpoints[0] must be a known endpoint, "
      "not runner-9"]),
    ("root.services.photos.endpoints", ["photos-1", "runner-1"],
     ["root.services.photos: endpoints[1] must be of kind service, "
      "which runner-1 is not"]),
    ("root.ceilings.ledger", None,
     ["teams.ledger: the team must have a ceiling at root.ceilings.ledger"]),
    ("root.ceilings.linework.best_tier", 2,
     [f"{MORNING}: tier must be >= 2, the ceiling"]),
    ("root.ceilings.linework.may_protect", False,
     [f"{MORNING}: protected must be false: the ceiling's may_protect is "
      "false"]),
    ("teams.ledger.max_in_flight", 501,
     ["teams.ledger: max_in_flight must be <= 500, the ceiling"]),
    (f"{DISPATCH}.classes", ["morning", "night"],
     [f"{DISPATCH}: classes[1] must be a class of the team, not night"]),
    (f"{DISPATCH}.default_class", "night",
     [f"{DISPATCH}: default_class must be one of the account's classes"]),
    (f"{DISPATCH}.max_in_flight", 1025,
     [f"{DISPATCH}: max_in_flight must be <= 1024, the team's"]),
    (f"{DISPATCH}.key_sha256", snapshot.hash_key("treasury-key"),
     ["teams.ledger.accounts.treasury: key_sha256 is also that of "
      "linework/dispatch"]),
    (f"{DISPATCH}.key_sha256", snapshot.hash_key("x") + "\n",
     [f"{DISPATCH}: key_sha256 must be {DIGEST}"]),
    (f"{DISPATCH}.key_sha256", "ABC", [f"{DISPATCH}: key_sha256 must be "
                                       f"{DIGEST}"]),
    ("teams.linework.accounts", {"a/b": {}},
     ["teams.linework.accounts: 'a/b' must be a name of letters, digits, "
      "'.', '_' and '-', 64 at most"]),
]  # fmt: skip


@pytest.mark.parametrize(("place", "value", "expected"), CASES)
def test_every_violation_is_reported(place, value, expected) -> None:
    checked = validation.check_tree(support.edit(support.TREE, place, value))
    found = checked.err().violations if checked.is_err() else ()
    assert [str(violation) for violation in found] == expected


def test_all_violations_are_reported_together() -> None:
    tree = support.edit(support.TREE, f"{MORNING}.tier", 9)
    tree = support.edit(tree, f"{MORNING}.target_gap_ms", 0)
    tree = support.edit(tree, "root.services.photos.timeout_ms", 0)
    found = validation.check_tree(tree).err().violations
    assert [str(violation) for violation in found] == [
        "root.services.photos: timeout_ms must be > 0",
        f"{MORNING}: tier must be < 7",
        f"{MORNING}: target_gap_ms must be > 0",
    ]


def test_two_accounts_of_a_team_may_not_share_a_key() -> None:
    twin = support.LINEWORK["accounts"]["dispatch"]
    tree = support.edit(support.TREE, "teams.linework.accounts.twin", twin)
    found = validation.check_tree(tree).err().violations
    assert [str(violation) for violation in found] == [
        "teams.linework.accounts.twin: key_sha256 is also that of "
        "linework/dispatch"
    ]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"\xff", b"[" * 100_000, b'{"a": NaN}', b"Infinity"]
)
def test_invalid_json_is_rejected(body) -> None:
    found = documents.decode(body).err().violations
    assert [violation.path for violation in found] == [""]
    assert found[0].rule.startswith("not JSON: ")


def test_duplicate_names_are_reported_with_their_path() -> None:
    body = b"""{"teams": {"a": {"classes": {"x": {"tier": 1}, "x": {}}}},
        "root": {"operator_sha256": [], "operator_sha256": []},
        "list": [{"y": 1, "y": 2, "y": 3}]}"""
    found = documents.decode(body).err().violations
    assert [str(violation) for violation in found] == [
        "teams.a.classes: x stands twice",
        "root: operator_sha256 stands twice",
        "list.0: y stands twice",
    ]


def test_deep_nesting_is_rejected() -> None:
    body = b'{"a":' * 900 + b"1" + b"}" * 900
    found = documents.decode(body).err().violations
    assert [violation.rule for violation in found] == ["is nested too deep"]


def test_duplicates_in_a_discarded_object_are_not_attributed_to_another() -> (
    None
):
    body = b'[{"a": {"x": 1, "x": 2}, "a": 0}, {"y": 1}, {"y": 1}]'
    found = documents.decode(body).err().violations
    assert [str(violation) for violation in found] == ["0: a stands twice"]


def test_a_good_tree_passes() -> None:
    tree = validation.check_tree(support.TREE).unwrap()
    assert set(tree.teams) == {"linework", "ledger"}
