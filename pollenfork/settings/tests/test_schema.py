"""Checks that `schema` and `msgspec` reject the same values."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from pollenfork.settings import model
from pollenfork.settings import schema

VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 10),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(
        ["", "refuse", "wait", "runner", "a" * 64, "f" * 64 + "\n"]
    ),
    st.lists(st.sampled_from(["a", "b" * 64, 1, None]), max_size=2),
    st.dictionaries(st.sampled_from(["a", "b"]), st.integers(), max_size=1),
)
KINDS = [
    model.ServiceClass,
    model.Account,
    model.Ceiling,
    model.EndpointSettings,
    model.ServiceSettings,
]


@pytest.mark.parametrize("kind", KINDS)
@hypothesis.given(data=st.data())
def test_schema_and_msgspec_reject_the_same_values(kind, data) -> None:
    names = [field.encode_name for field in msgspec.structs.fields(kind)]
    value = data.draw(
        st.dictionaries(st.sampled_from([*names, "other"]), VALUES)
    )
    try:
        expected = msgspec.convert(value, kind)
    except msgspec.ValidationError:
        expected = None
    walked = schema.convert(value, kind, "here")
    assert walked.ok() == expected
    assert all(found.path == "here" for found in walked.err() or ())
    # The walk must find the error itself: `msgspec` reports only the first.
    seen = tuple(schema._walk_struct(value, schema._describe(kind), "here"))
    assert bool(seen) == (expected is None)
