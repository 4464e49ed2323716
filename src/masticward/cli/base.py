"""What the commands share: addresses, output, deadline, progress and exit codes."""

import abc
import asyncio
import collections.abc
import functools
import getpass
import inspect
import logging
import pathlib
import typing

import msgspec
import typer
from returns import result

from masticward import errors, logs
from masticward import settings as settings_module
from masticward.cli import exit_codes
from masticward.transport import instance_list as instance_list_module
from masticward.transport import object_api
from masticward.utils import clocks, programs, tasks

PROGRESS_SECONDS = 2.0

WaitOption = typing.Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force in every process.")
]
ForceOption = typing.Annotated[
    bool, typer.Option("--force", help="Take it out even if a service has nothing left.")
]
PathsArgument = typing.Annotated[
    list[pathlib.Path], typer.Argument(help="Directories or masticward.json files.")
]


class Report(msgspec.Struct, kw_only=True):
    """The result of a command: lines for people, data for ``--json``."""

    lines: list[str]
    data: dict[str, typing.Any]
    exit_code: int = exit_codes.SUCCESS


class Options(msgspec.Struct, kw_only=True):
    """The options that the commands have in common, as ``takes_options`` adds them."""

    object_api: typing.Annotated[
        str,
        typer.Option("--object-api", envvar="MASTICWARD_OBJECT_API", help="URL of the object API."),
    ] = "http://127.0.0.1:7100"
    instance_list: typing.Annotated[
        str,
        typer.Option(
            "--instance-list", envvar="MASTICWARD_INSTANCE_LIST", help="URL of the instance list."
        ),
    ] = "http://127.0.0.1:7200"
    settings: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            "--settings",
            help="Settings file of an entry or agent with the URLs and the key for deliveries.",
        ),
    ] = None
    operator: typing.Annotated[
        str,
        typer.Option(
            "--operator",
            envvar="MASTICWARD_OPERATOR",
            help="Name in the audit trail; the user's name if not given.",
        ),
    ] = ""
    deadline_seconds: typing.Annotated[
        float, typer.Option("--deadline", min=0.1, help="Seconds after which the command gives up.")
    ] = 20.0
    json: typing.Annotated[
        bool, typer.Option("--json", help="Write the result as JSON to standard output.")
    ] = False


# Fields of Options, in the order in which ``--help`` lists them.
OUTPUT_OPTIONS = ("json",)
READ_OPTIONS = ("object_api", "settings", "deadline_seconds", "json")
FLEET_OPTIONS = ("object_api", "instance_list", "settings", "json", "deadline_seconds")
CHANGE_OPTIONS = (
    "object_api",
    "instance_list",
    "settings",
    "operator",
    "deadline_seconds",
    "json",
)

ValueT = typing.TypeVar("ValueT")
CommandFunction = collections.abc.Callable[..., None]


def takes_options(
    *names: str,
) -> collections.abc.Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that adds the options of some fields of Options to a command.

    The decorated function receives them as one Options object in its parameter ``options``.
    ``--help`` lists its other parameters first.
    """

    def decorate(function: CommandFunction) -> CommandFunction:
        @functools.wraps(function)
        def command(**values: typing.Any) -> None:
            options = Options(**{name: values.pop(name) for name in names})
            function(options=options, **values)

        signature = inspect.signature(function)
        own = [item for item in signature.parameters.values() if item.name != "options"]
        # typer reads the command line from the signature.
        command.__signature__ = signature.replace(  # type: ignore[attr-defined]
            parameters=[*own, *(option_parameter(name) for name in names)]
        )
        return command

    return decorate


def option_parameter(name: str) -> inspect.Parameter:
    """Return a field of Options as a function's parameter, with annotation and default."""
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=Options.__struct_defaults__[Options.__struct_fields__.index(name)],
        annotation=Options.__annotations__[name],
    )


class Command(abc.ABC):
    """One run of a subcommand.

    ``run`` is called by the command function and ends the program; it runs ``main`` on uvloop,
    which runs ``execute`` and turns its failures into reports. ``stage`` says what the command is
    doing, for the progress lines.
    """

    def __init__(self, options: Options) -> None:
        self.options = options
        self.stage = "starting"

    @abc.abstractmethod
    async def execute(self, deadline: float) -> Report:
        """Do the work by a deadline in monotonic seconds. Raises MasticwardError."""

    def run(self) -> typing.NoReturn:
        """Run the command and leave the program with its exit code."""
        logs.configure(logging.ERROR)
        report = run_on_uvloop(self)
        if self.options.json:
            typer.echo(msgspec.json.format(msgspec.json.encode(report.data)).decode())
        else:
            stream_is_error = report.exit_code != exit_codes.SUCCESS
            for line in report.lines:
                typer.echo(line, err=stream_is_error)
        raise typer.Exit(report.exit_code)

    async def main(self) -> Report:
        """Execute with progress on standard error; failures become reports."""
        background = tasks.TaskGroup()
        background.spawn(self.show_progress(), "progress")
        try:
            return await self.execute(clocks.deadline_after(self.options.deadline_seconds))
        except errors.MasticwardError as error:
            return failure_report(error)
        finally:
            await background.cancel()

    async def show_progress(self) -> None:
        """Print the stage of a slow command to standard error, every ``PROGRESS_SECONDS``."""
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            typer.echo(f"still {self.stage}", err=True)

    @property
    def operator(self) -> str:
        """The name in the audit trail."""
        return self.options.operator or getpass.getuser()


class PlatformCommand(Command):
    """A command that uses the object API or the instance list, which are open during ``work``."""

    store: object_api.ObjectStore
    instance_list: instance_list_module.InstanceList

    async def execute(self, deadline: float) -> Report:
        """Open the clients, do the work and close them."""
        object_api_url, instance_list_url = self.urls()
        self.store = object_api.HttpObjectStore(object_api_url)
        self.instance_list = instance_list_module.HttpInstanceList(instance_list_url)
        try:
            return await self.work(deadline)
        finally:
            await self.store.close()
            await self.instance_list.close()

    def urls(self) -> tuple[str, str]:
        """Return the URLs of object API and instance list. Raises SettingsError."""
        if self.options.settings is None:
            return self.options.object_api, self.options.instance_list
        platform = load_any(self.options.settings).platform
        return platform.object_api_url, platform.instance_list_url

    @abc.abstractmethod
    async def work(self, deadline: float) -> Report:
        """Do the work by a deadline in monotonic seconds. Raises MasticwardError."""


def value_or_raise(answer: result.Result[ValueT, errors.MasticwardError]) -> ValueT:
    """Return the value of a result, or raise its failure."""
    if isinstance(answer, result.Failure):
        raise answer.failure()
    return answer.unwrap()


def run_on_uvloop(command: Command) -> Report:
    """Run a command to its end and return its report."""
    reports: list[Report] = []

    async def main() -> int:
        reports.append(await command.main())
        return reports[0].exit_code

    programs.run(main())
    return reports[0]


def failure_report(error: errors.MasticwardError) -> Report:
    """Return the report of a failure, every problem on a line of its own."""
    problems = [str(error)]
    if isinstance(error, errors.FileError):
        problems = error.problems
    return Report(
        lines=problems,
        data={"error": type(error).__name__, "problems": problems},
        exit_code=exit_code_of(error),
    )


def exit_code_of(error: errors.MasticwardError) -> int:
    """Return the exit code of a failure."""
    codes: tuple[tuple[type[errors.MasticwardError], int], ...] = (
        (errors.FileError, exit_codes.INVALID_FILES),
        (errors.ChangeConflictError, exit_codes.CONFLICT),
        (errors.ChangeNotMadeError, exit_codes.STORE_UNAVAILABLE),
        (errors.ChangeOutcomeUnknownError, exit_codes.OUTCOME_UNKNOWN),
        (errors.StoreUnavailableError, exit_codes.STORE_UNAVAILABLE),
    )
    return next((code for kind, code in codes if isinstance(error, kind)), exit_codes.FAILURE)


def load_any(
    path: pathlib.Path,
) -> settings_module.EntrySettings | settings_module.AgentSettings:
    """Read the settings of either program; an agent's have a field ``endpoint``."""
    if settings_kind(path) is settings_module.AgentSettings:
        return settings_module.load(path, settings_module.AgentSettings)
    return settings_module.load(path, settings_module.EntrySettings)


def settings_kind(
    path: pathlib.Path,
) -> type[settings_module.EntrySettings] | type[settings_module.AgentSettings]:
    """Return which program's settings a file holds. Raises SettingsError if it cannot be read."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise errors.SettingsError([f"{path}: not valid JSON: {error}"]) from error
    if isinstance(document, dict) and "endpoint" in document:
        return settings_module.AgentSettings
    return settings_module.EntrySettings
