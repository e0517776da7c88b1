"""Declarations of the operators' commands; see `definition`."""

import dataclasses
import pathlib
from typing import Annotated, ClassVar

import cappa

from pollenfork.cli import arguments

_URL = "http://10.0.0.1:8000"

Urls = Annotated[
    list[str],
    cappa.Arg(
        long="--to",
        num_args=1,
        value_name="URL",
        help="An entry instance; give several to try one after the other."
        " Without it, POLLENFORK_TO.",
    ),
]
TokenFile = Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long="--token-file",
        value_name="FILE",
        help="Holds the operator's token. Without it, POLLENFORK_TOKEN.",
    ),
]
SettingsPath = Annotated[
    str,
    cappa.Arg(
        value_name="PATH",
        help="Such as root, teams/linework or"
        " teams/linework/classes/morning; / is the whole tree.",
    ),
]
JsonFile = Annotated[
    pathlib.Path,
    cappa.Arg(value_name="FILE", help="JSON; - is the standard input."),
]


@dataclasses.dataclass
class Target:
    """Arguments shared by all commands that call an instance."""

    to: Urls = dataclasses.field(default_factory=list, kw_only=True)
    token_file: TokenFile = dataclasses.field(default=None, kw_only=True)
    format: arguments.OutputFormat = dataclasses.field(
        default=arguments.Format.TABLE, kw_only=True
    )


@cappa.command(
    name="check",
    help="Check a whole tree in a file and name every error.",
    epilog=arguments.make_examples("settings check tree.json"),
)
@dataclasses.dataclass
class Check:
    """Arguments of `settings check`, which calls no instance."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:check_settings"

    file: JsonFile
    format: arguments.OutputFormat = arguments.Format.TABLE


@cappa.command(
    name="get",
    help="Show what is at a path; its revision goes to the error stream.",
    epilog=arguments.make_examples(
        f"settings get teams/linework --to {_URL} > linework.json"
    ),
)
@dataclasses.dataclass
class Get(Target):
    """Arguments of `settings get`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:get_settings"

    path: SettingsPath


@cappa.command(
    name="put",
    help="Write what is at a path, unless another operator was first.",
    epilog=arguments.make_examples(
        f"settings put teams/linework linework.json --revision 41 --to {_URL}",
        f"settings put teams/newcomers newcomers.json --to {_URL}",
    ),
)
@dataclasses.dataclass
class Put(Target):
    """Arguments of `settings put`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:put_settings"

    path: SettingsPath
    file: JsonFile
    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="N",
            help="The revision that FILE was made from, as get showed it."
            " Without it, nothing may be at the path yet.",
        ),
    ] = None
    write_id: Annotated[
        str | None,
        cappa.Arg(
            long="--write-id",
            value_name="ID",
            help="Repeats an earlier write whose outcome stayed unknown.",
        ),
    ] = None


@cappa.command(
    name="history",
    help="List the kept writes of a subtree, or show what one of them left.",
    epilog=arguments.make_examples(
        f"settings history teams/linework --to {_URL}",
        f"settings history teams/linework --revision 40 --to {_URL}",
    ),
)
@dataclasses.dataclass
class History(Target):
    """Arguments of `settings history`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:show_history"

    path: SettingsPath
    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="N",
            help="Show the subtree as this write left it.",
        ),
    ] = None


@cappa.command(
    name="settings",
    help="Check, read and change the settings of the running system.",
    epilog=arguments.make_examples("settings get / --help"),
)
@dataclasses.dataclass
class Settings:
    """The subcommands of `settings`."""

    command: cappa.Subcommands[Check | Get | Put | History]


@cappa.command(
    name="endpoints",
    help="List the endpoints and what one instance sees of them.",
    epilog=arguments.make_examples(f"endpoints --to {_URL}"),
)
@dataclasses.dataclass
class Endpoints(Target):
    """Arguments of `endpoints`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:list_endpoints"


@cappa.command(
    name="drain",
    help="Let an endpoint finish its work and take no new work.",
    epilog=arguments.make_examples(f"drain runner-1 --to {_URL}"),
)
@dataclasses.dataclass
class Drain(Target):
    """Arguments of `drain`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:drain_endpoint"

    endpoint: Annotated[str, cappa.Arg(value_name="ENDPOINT")]


@cappa.command(
    name="status",
    help="Show all entry instances and the settings in force at each.",
    epilog=arguments.make_examples(f"status --to {_URL}"),
)
@dataclasses.dataclass
class Status(Target):
    """Arguments of `status`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.operating:show_status"
