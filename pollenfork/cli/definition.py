"""Declarations of the commands and their arguments.

Each command refers to its implementation as `module:function`, which is only
imported when the command runs, so that `entry` doesn't load the dependencies
of the load tool. The function takes the command and a `context.Environment`
and returns an `ExitStatus`.
"""

import dataclasses
import pathlib
from typing import Annotated, ClassVar

import cappa

from pollenfork.cli import arguments
from pollenfork.cli import operator_commands

Format = arguments.Format
OutputFormat = arguments.OutputFormat
make_examples = arguments.make_examples
SettingsFile = Annotated[
    pathlib.Path,
    cappa.Arg(long="--settings", value_name="FILE", help="JSON settings."),
]


@cappa.command(
    name="entry",
    help="Run one entry instance until SIGTERM.",
    epilog=make_examples("entry --settings entry.json"),
)
@dataclasses.dataclass
class Entry:
    """Arguments of `entry`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.serving:run_entry"

    settings: SettingsFile


@cappa.command(
    name="platform",
    help="Run the platform stand-in: table, objects, instance list, weights.",
    epilog=make_examples("standin platform --settings platform.json"),
)
@dataclasses.dataclass
class StandinPlatform:
    """Arguments of `standin platform`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.serving:run_platform"

    settings: SettingsFile


@cappa.command(
    name="engine",
    help="Run one engine stand-in.",
    epilog=make_examples("standin engine --settings engine.json"),
)
@dataclasses.dataclass
class StandinEngine:
    """Arguments of `standin engine`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.serving:run_engine"

    settings: SettingsFile


@cappa.command(
    name="service",
    help="Run one plain-service stand-in that records postings.",
    epilog=make_examples("standin service --listen 127.0.0.1:9300"),
)
@dataclasses.dataclass
class StandinService:
    """Arguments of `standin service`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.serving:run_service"

    listen: Annotated[
        str, cappa.Arg(long=True, help="host:port; port 0 takes a free one.")
    ] = "127.0.0.1:0"


@cappa.command(
    name="standin",
    help="Run a stand-in for what surrounds the system, with faults.",
    epilog=make_examples("standin engine --help"),
)
@dataclasses.dataclass
class Standin:
    """The subcommands of `standin`."""

    command: cappa.Subcommands[StandinPlatform | StandinEngine | StandinService]


@cappa.command(
    name="load",
    help="Send open-loop load and report attainment, goodput, wasted work.",
    epilog=make_examples(
        "load --scenario benchmarks/scenarios/dawn.json"
        " --to http://127.0.0.1:8000 --engine http://127.0.0.1:9001",
    ),
)
@dataclasses.dataclass
class Load:
    """Arguments of `load`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.loading:run_load"

    scenario: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, value_name="FILE", help="JSON scenario."),
    ]
    to: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            num_args=-1,
            required=True,
            value_name="URL",
            help="Entry instances; each request takes one at random.",
        ),
    ]
    engine: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            num_args=-1,
            value_name="URL",
            help="Engine stand-ins, whose counts give the wasted work.",
        ),
    ] = dataclasses.field(default_factory=list)
    expect: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="Attainment that every class must reach, 0 to 1;"
            " below it the exit status is 6.",
        ),
    ] = 0.0
    format: OutputFormat = Format.TABLE


@cappa.command(
    name="trial",
    help="Run the whole system in one process, with a short dawn burst.",
    epilog=make_examples("trial", "trial --keep", "trial --format json"),
)
@dataclasses.dataclass
class Trial:
    """Arguments of `trial`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.trial:run_trial"

    keep: Annotated[
        bool,
        cappa.Arg(long=True, help="Go on serving until Ctrl-C."),
    ] = False
    format: OutputFormat = Format.TABLE


LogFiles = Annotated[
    list[pathlib.Path],
    cappa.Arg(
        num_args=-1,
        required=True,
        value_name="FILE",
        help="Logs of all instances; - is the standard input.",
    ),
]


@cappa.command(
    name="explain",
    help="Show a request's course through the logs, and why it ended so.",
    epilog=make_examples(
        "explain 82ba9a041bf53345 front-*.log",
        "explain 82ba9a041bf53345 - --format json",
    ),
)
@dataclasses.dataclass
class Explain:
    """Arguments of `explain`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.explaining:run_explain"

    request: Annotated[
        str, cappa.Arg(value_name="ID", help="The id that the caller gave it.")
    ]
    file: LogFiles
    format: OutputFormat = Format.TABLE


@cappa.command(
    name="losses",
    help="Count by route, cause and moment which requests the logs show lost.",
    epilog=make_examples("losses front-*.log"),
)
@dataclasses.dataclass
class Losses:
    """Arguments of `losses`."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.explaining:run_losses"

    file: LogFiles


@cappa.command(
    name="news",
    help="Show from the logs when each instance had each change.",
    epilog=make_examples("news front-*.log"),
)
@dataclasses.dataclass
class News:
    """Arguments of `news`: how late instances learned of each change."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.explaining:run_news"

    file: LogFiles


@cappa.command(
    name="duties",
    help="Show from the logs what one instance did for all, and why.",
    epilog=make_examples("duties front-*.log"),
)
@dataclasses.dataclass
class Duties:
    """Arguments of `duties`: which instance acted, reported and scaled."""

    BEHAVIOUR: ClassVar[str] = "pollenfork.cli.explaining:run_duties"

    file: LogFiles


@cappa.command(
    name="pollenfork",
    help="A router for language-model traffic with service levels.",
    epilog=make_examples("trial", "entry --settings entry.json"),
)
@dataclasses.dataclass
class Pollenfork:
    """The top-level command."""

    command: cappa.Subcommands[
        Entry
        | Trial
        | Load
        | Explain
        | Losses
        | News
        | Duties
        | Standin
        | operator_commands.Settings
        | operator_commands.Endpoints
        | operator_commands.Drain
        | operator_commands.Status
    ]
