"""Writes the first tree into an empty table, for trials."""

import random
import time

import msgspec
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.settings import changes
from pollenfork.settings import errors
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import writer
from pollenfork.store import edges

_OPERATOR = "0" * 64


def write_tree(
    table: edges.TableService, tree: model.Tree, now: clock.Clock
) -> result.Result[ids.Revision, errors.SettingsFailure]:
    """Validates and writes the tree; returns its revision."""
    writes = writer.Writer(
        table,
        now,
        random.Random(),
        wait=time.sleep,
        get_in_force=lambda: None,
        first_operators=(_OPERATOR,),
    )
    value = {"root": tree.root, "teams": tree.teams}
    change = changes.Change(
        path=paths.SettingsPath(""),
        value=msgspec.json.decode(msgspec.json.encode(value)),
        expected=ids.Revision(0),
        write_id=ids.WriteId("first-tree"),
        operator=_OPERATOR,
    )
    return writes.write(change).map(lambda accepted: accepted.revision)
