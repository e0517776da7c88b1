"""Random writes with lost answers, compared with a model of the table."""

from hypothesis import stateful
from hypothesis import strategies as st

from pollenfork import clock
from pollenfork import ids
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import fake
from pollenfork.store import edges
from pollenfork.store import errors

KEYS = st.sampled_from(["a", "a/1", "b"])
EXPECTED = st.integers(edges.ANY_VERSION, 3)
WRITE_ID_TTL_S = 600.0


class TableMachine(stateful.RuleBasedStateMachine):
    """The model holds the rows and, by write id, the time and the answer."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock()
        self.platform = fake.FakePlatform(self.clock)
        self.rows: dict[str, edges.Row] = {}
        self.answers: dict[str, tuple[float, object]] = {}
        self.effects = 0

    def expect(self, transaction: edges.Transaction) -> object:
        """Applies the transaction to the model and returns its answer."""
        previous = self.answers.get(transaction.write_id)
        if previous and self.clock.monotonic() < previous[0] + WRITE_ID_TTL_S:
            return previous[1]
        answer = self.apply(transaction)
        self.answers[transaction.write_id] = (self.clock.monotonic(), answer)
        return answer

    def apply(self, transaction: edges.Transaction) -> object:
        writes = (*transaction.puts, *transaction.deletes)
        failed = tuple(w.key for w in writes if not self.condition_holds(w))
        if failed:
            return failed
        self.effects += 1
        versions = []
        for put in transaction.puts:
            version = self.get_version(put.key) + 1
            self.rows[put.key] = edges.Row(put.key, put.value, version)
            versions.append(version)
        for delete in transaction.deletes:
            self.rows.pop(delete.key, None)
        return edges.Committed(tuple(versions))

    def condition_holds(self, write) -> bool:
        any_version = write.expected == edges.ANY_VERSION
        return any_version or write.expected == self.get_version(write.key)

    def get_version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else edges.ABSENT

    @stateful.rule(
        write_id=st.integers(0, 5),
        puts=st.lists(
            st.builds(edges.Put, KEYS, st.binary(max_size=2), EXPECTED),
            max_size=2,
            unique_by=lambda put: put.key,
        ),
        deletes=st.lists(st.builds(edges.Delete, KEYS, EXPECTED), max_size=1),
        lose=st.sampled_from([None, *configs.Loss]),
    )
    def commit(self, write_id, puts, deletes, lose) -> None:
        transaction = edges.Transaction(
            ids.WriteId(str(write_id)), tuple(puts), tuple(deletes)
        )
        self.platform.set_faults(configs.Faults(lose=lose, times=1))
        answer = self.platform.table.commit(transaction)
        if lose is not configs.Loss.BEFORE_EFFECT:
            expected = self.expect(transaction)
        if lose is not None:
            assert isinstance(answer.unwrap_err(), errors.Unanswered)
        elif isinstance(expected, edges.Committed):
            assert answer.unwrap() == expected
        else:
            assert answer.unwrap_err().keys == expected

    @stateful.rule(seconds=st.sampled_from([1.0, 300.0, 601.0]))
    def advance(self, seconds) -> None:
        self.clock.advance(seconds)

    @stateful.invariant()
    def the_table_equals_the_model(self) -> None:
        self.clock.advance(0.1)
        found = self.platform.table.scan("").unwrap()
        assert list(found) == [self.rows[key] for key in sorted(self.rows)]
        assert self.platform.state.effects == self.effects


TestTable = TableMachine.TestCase
