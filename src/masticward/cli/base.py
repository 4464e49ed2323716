"""What the commands share: addresses, output, deadline, progress and exit codes."""

import abc
import asyncio
import getpass
import logging
import pathlib
import typing

import msgspec
import typer

from masticward import errors, logs
from masticward import settings as settings_module
from masticward.cli import exit_codes
from masticward.transport import instance_list as instance_list_module
from masticward.transport import object_api
from masticward.utils import clocks, programs, tasks

PROGRESS_SECONDS = 2.0
DEFAULT_DEADLINE_SECONDS = 20.0
DEFAULT_OBJECT_API = "http://127.0.0.1:7100"
DEFAULT_INSTANCE_LIST = "http://127.0.0.1:7200"

ObjectApiOption = typing.Annotated[
    str,
    typer.Option("--object-api", envvar="MASTICWARD_OBJECT_API", help="URL of the object API."),
]
InstanceListOption = typing.Annotated[
    str,
    typer.Option(
        "--instance-list", envvar="MASTICWARD_INSTANCE_LIST", help="URL of the instance list."
    ),
]
SettingsOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--settings",
        help="Settings file of an entry or agent that holds the URLs and the key for deliveries.",
    ),
]
JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Write the result as JSON to standard output.")
]
DeadlineOption = typing.Annotated[
    float, typer.Option("--deadline", min=0.1, help="Seconds after which the command gives up.")
]
OperatorOption = typing.Annotated[
    str,
    typer.Option(
        "--operator",
        envvar="MASTICWARD_OPERATOR",
        help="Name in the audit trail; the user's name if not given.",
    ),
]
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
    """The options that the commands have in common."""

    object_api: str = DEFAULT_OBJECT_API
    instance_list: str = DEFAULT_INSTANCE_LIST
    settings: pathlib.Path | None = None
    json: bool = False
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    operator: str = ""


class Command(abc.ABC):
    """One run of a subcommand."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.stage = "starting"

    @abc.abstractmethod
    async def execute(self, deadline: float) -> Report:
        """Do the work by a monotonic deadline. Raises MasticwardError."""

    def run(self) -> typing.NoReturn:
        """Run the command and leave the program with its exit code."""
        logs.configure(logging.ERROR)
        report = programs_result(self)
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
        """Tell on standard error what a slow command is doing."""
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            typer.echo(f"still {self.stage}", err=True)

    @property
    def operator(self) -> str:
        """The name in the audit trail."""
        return self.options.operator or getpass.getuser()

    def urls(self) -> tuple[str, str]:
        """Return the URLs of object API and instance list. Raises SettingsError."""
        if self.options.settings is None:
            return self.options.object_api, self.options.instance_list
        platform = load_any(self.options.settings).platform
        return platform.object_api_url, platform.instance_list_url

    def open_store(self) -> object_api.ObjectStore:
        """Return a client of the object API; the caller closes it."""
        return object_api.HttpObjectStore(self.urls()[0])

    def open_instance_list(self) -> instance_list_module.InstanceList:
        """Return a client of the instance list; the caller closes it."""
        return instance_list_module.HttpInstanceList(self.urls()[1])


class StoreCommand(Command):
    """A command that uses the object API and the instance list."""

    async def execute(self, deadline: float) -> Report:
        """Open the clients, work with them and close them."""
        store, instance_list = self.open_store(), self.open_instance_list()
        try:
            return await self.work(store, instance_list, deadline)
        finally:
            await store.close()
            await instance_list.close()

    @abc.abstractmethod
    async def work(
        self,
        store: object_api.ObjectStore,
        instance_list: instance_list_module.InstanceList,
        deadline: float,
    ) -> Report:
        """Do the work by a monotonic deadline. Raises MasticwardError."""


def programs_result(command: Command) -> Report:
    """Run a command's coroutine on uvloop and return its report."""
    reports: list[Report] = []

    async def main() -> int:
        reports.append(await command.main())
        return reports[0].exit_code

    programs.run(main())
    return reports[0]


def failure_report(error: errors.MasticwardError) -> Report:
    """Return the report of a failure, every problem on a line of its own."""
    problems = [str(error)]
    if isinstance(error, errors.ConfigurationError | errors.SettingsError):
        problems = error.problems
    return Report(
        lines=problems,
        data={"error": type(error).__name__, "problems": problems},
        exit_code=exit_code_of(error),
    )


def exit_code_of(error: errors.MasticwardError) -> int:
    """Return the exit code of a failure."""
    codes: tuple[tuple[type[errors.MasticwardError], int], ...] = (
        (errors.ConfigurationError, exit_codes.INVALID_FILES),
        (errors.SettingsError, exit_codes.INVALID_FILES),
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
    """Tell whose settings a file holds. Raises SettingsError if it cannot be read."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise errors.SettingsError([f"{path}: not valid JSON: {error}"]) from error
    if isinstance(document, dict) and "endpoint" in document:
        return settings_module.AgentSettings
    return settings_module.EntrySettings
